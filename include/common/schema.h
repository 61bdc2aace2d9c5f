/*
 * NAME
 *	schema - checked reading of one object of a JSON document
 *
 * DESCRIPTION
 *	Each getter names a key, its type and its range, and adds a finding
 *	with the place if the document differs. schema_finish() then reports
 *	every key that no getter asked for, with "did you mean" for near
 *	names. Keys that are given live as long as the schema, and a parent
 *	longer than its children. All getters return a usable default after a finding, so that
 *	reading goes on and all findings come out together.
 */
#ifndef COMMON_SCHEMA_H
#define COMMON_SCHEMA_H

#include <stdbool.h>
#include <stdint.h>

#include "common/jsonc.h"

enum schema_need {
	SCHEMA_OPTIONAL,
	SCHEMA_REQUIRED,
};

struct schema {
	const struct jsonc_doc *doc;
	struct findings *findings;
	json_object *object; /* NULL: absent, all keys optional */
	/* Where it stands; its path is made only for a finding. */
	const struct schema *parent; /* NULL: the root */
	const char *key; /* in the parent */
	int index; /* in the parent's array of that key; -1: no array */
	GPtrArray *known; /* keys that were asked for; not owned */
	int present; /* of them */
};

void schema_init(struct schema *schema, const struct jsonc_doc *doc,
		 struct findings *findings);

/* Opens the object under key; an absent optional one reads as empty.
 * RETURN VALUE: whether the object is there. */
bool schema_init_child(struct schema *child, struct schema *parent,
		       const char *key, enum schema_need need);

/* The same for an array's object; one that was cut out reads as empty. */
bool schema_init_item(struct schema *child, struct schema *parent,
		      const char *key, size_t index);
void schema_finish(struct schema *schema);

/* RETURN VALUE: the key's array, or NULL; the document's. */
json_object *schema_array(struct schema *schema, const char *key,
			  enum schema_need need);

/* RETURN VALUE: a copy, NULL where absent or wrong. */
char *schema_string(struct schema *schema, const char *key,
		    enum schema_need need);

/* A string of up to max_bytes letters, digits, '-', '_' and '.'. */
char *schema_name(struct schema *schema, const char *key, enum schema_need need,
		  size_t max_bytes);
bool schema_is_name(const char *text, size_t max_bytes);

/* RETURN VALUE: a NULL-terminated copy, NULL where absent, empty or wrong. */
char **schema_strings(struct schema *schema, const char *key,
		      enum schema_need need);
bool schema_bool(struct schema *schema, const char *key, bool fallback);
uint64_t schema_uint(struct schema *schema, const char *key,
		     enum schema_need need, uint64_t fallback, uint64_t min,
		     uint64_t max);

/* A number with or without a fraction, up to max. */
double schema_double(struct schema *schema, const char *key, double fallback,
		     double max);

/* RETURN VALUE: the index in names, which ends with NULL. */
int schema_enum(struct schema *schema, const char *key,
		const char *const *names, int fallback);

/* Adds an error at a key of this object; key may be NULL. */
void schema_error(struct schema *schema, const char *key, const char *format,
		  ...) G_GNUC_PRINTF(3, 4);

/* RETURN VALUE: the nearest of the names, or NULL if none is near. */
const char *schema_nearest(const char *word, const GPtrArray *names);

#endif
