/*
 * NAME
 *	jsonc - JSON with comments, and where each part of it stands
 *
 * DESCRIPTION
 *	json-c parses the text. It silently keeps the last of duplicate keys
 *	and takes a trailing comma, so an operator's first entry would vanish
 *	without a word; a second pass over the same text finds both, and keeps
 *	the line of every path for findings.
 *
 *	A path is written as "services.lookup-desk.rules[2].deadline_ms"; the
 *	root's is "".
 */
#ifndef COMMON_JSONC_H
#define COMMON_JSONC_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/findings.h"
#include "common/json_spans.h"

struct jsonc_doc {
	char *file;
	json_object *root;
	GHashTable *lines; /* path to line; NULL: not kept */
	GArray *omitted; /* of struct json_span, not read; NULL: all is read */
};

/* RETURN VALUE: NULL where the text has errors, all of them in findings. */
struct jsonc_doc *jsonc_parse(const char *file, const char *text,
			      struct findings *findings);

/* For text that a check has passed before: keeps no lines, and what is legal
 * in JSON but refused by jsonc_parse() is not looked for. */
struct jsonc_doc *jsonc_parse_accepted(const char *file, const char *text,
				       struct findings *findings);

/* The same without the objects of the lists that nesting names, see json_spans_find; the
 * text must outlive the document. Text that can't be cut is read as a whole. */
struct jsonc_doc *jsonc_parse_without_items(const char *file, const char *text,
					    const char *nesting,
					    struct findings *findings);

/* RETURN VALUE: the text of a list's object that was not read, or NULL. */
const struct json_span *jsonc_omitted_item(const struct jsonc_doc *doc,
					   json_object *item);
void jsonc_doc_destroy(struct jsonc_doc *doc);

/* RETURN VALUE: the line of the path, or of the nearest part above it. */
int jsonc_line(const struct jsonc_doc *doc, const char *path);

/*
 * json_tokener_parse_ex() in steps, with a slice_yield() after each.
 *
 * RETURN VALUE: as there; *end is where the tokener stopped.
 */
json_object *jsonc_feed(json_tokener *tokener, const char *text, size_t size,
			size_t *end);

/* Appends ".key", or "key" to an empty path; the caller frees the result. */
char *jsonc_path_key(const char *path, const char *key);
char *jsonc_path_item(const char *path, size_t index);

/* Building: text NULL becomes null. */
void jsonc_add_text(json_object *object, const char *key, const char *text);
void jsonc_add_uint(json_object *object, const char *key, uint64_t number);
void jsonc_add_bool(json_object *object, const char *key, bool value);

/* RETURN VALUE: the text, to be freed with g_free(); gives root up. */
char *jsonc_to_text(json_object *root);

/* RETURN VALUE: an array of {severity, file, line, path, text}. */
json_object *jsonc_from_findings(const struct findings *findings);

/* Reading what a program of ours wrote; root may be anything.
 * RETURN VALUE: "" or 0 where absent; the text is the document's. */
const char *jsonc_get_text(json_object *root, const char *key);
uint64_t jsonc_get_uint(json_object *root, const char *key);

/* RETURN VALUE: the array under key, or NULL. */
json_object *jsonc_get_array(json_object *root, const char *key);

#endif
