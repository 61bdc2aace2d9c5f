/*
 * NAME
 *	schema - reads and validates one object of a JSON document
 *
 * DESCRIPTION
 *	Each getter takes a key, its type and its range, and adds a finding
 *	with the location if the document does not match. schema_finish() then
 *	reports every key that no getter asked for, and suggests a similar known
 *	key. Keys passed to getters must live as long as the schema, and a
 *	parent must outlive its children. After a finding a getter returns a
 *	usable default, so that reading continues and all findings are reported
 *	together.
 *
 *	A document that was accepted before is not refused: its findings are
 *	warnings, names may be of any length and hold any character, and a
 *	number out of its range becomes the nearest one within.
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
	json_object *object; /* NULL: absent, and no key is required */
	/* The location. The path is built only for a finding. */
	const struct schema *parent; /* NULL: the root */
	const char *key; /* in parent */
	int index; /* in the array under key; -1: not an array */
	GPtrArray *known; /* keys that getters asked for; not owned */
	int present; /* number of known keys that the object has */
};

void schema_init(struct schema *schema, const struct jsonc_doc *doc,
		 struct findings *findings);

/* Opens the object under key. An absent optional object reads as empty.
 * RETURN VALUE: true if the object is present. */
bool schema_init_child(struct schema *child, struct schema *parent,
		       const char *key, enum schema_need need);

/* Opens an object in the array under key. One that was left unparsed reads as
 * empty. */
bool schema_init_item(struct schema *child, struct schema *parent,
		      const char *key, size_t index);
void schema_finish(struct schema *schema);

/* RETURN VALUE: whether what the operator should correct is to be reported,
 * though it can be used. */
bool schema_is_strict(const struct schema *schema);

/* RETURN VALUE: the text under key, if it was left unparsed, or NULL. */
const struct json_span *schema_omitted(struct schema *schema, const char *key);

/* RETURN VALUE: the array under key, owned by the document, or NULL. */
json_object *schema_array(struct schema *schema, const char *key,
			  enum schema_need need);

/* RETURN VALUE: a copy, or NULL if absent or invalid. */
char *schema_string(struct schema *schema, const char *key,
		    enum schema_need need);

/* Reads a string of up to max_bytes letters, digits, '-', '_' and '.'. */
char *schema_name(struct schema *schema, const char *key, enum schema_need need,
		  size_t max_bytes);
/* RETURN VALUE: whether text may be a name in this document. */
bool schema_is_name(const struct schema *schema, const char *text,
		    size_t max_bytes);

/* RETURN VALUE: a NULL-terminated copy, or NULL if absent, empty or invalid. */
char **schema_strings(struct schema *schema, const char *key,
		      enum schema_need need);
bool schema_bool(struct schema *schema, const char *key, bool fallback);
uint64_t schema_uint(struct schema *schema, const char *key,
		     enum schema_need need, uint64_t fallback, uint64_t min,
		     uint64_t max);

/* Reads a number from 0 to max, with or without a fraction. */
double schema_double(struct schema *schema, const char *key, double fallback,
		     double max);

/* RETURN VALUE: the index in the NULL-terminated names. */
int schema_enum(struct schema *schema, const char *key,
		const char *const *names, int fallback);

/* Adds an error at a key of this object, or at the object if key is NULL. In a
 * document that was accepted before it is a warning. */
void schema_error(struct schema *schema, const char *key, const char *format,
		  ...) G_GNUC_PRINTF(3, 4);

/* RETURN VALUE: the name most similar to word, or NULL if none is similar. */
const char *schema_nearest(const char *word, const GPtrArray *names);

#endif
