/*
 * NAME
 *	jsonc - JSON with comments and line numbers
 *
 * DESCRIPTION
 *	json-c parses the text. It silently keeps only the last of duplicate
 *	keys and accepts a trailing comma, so the first of two entries of an
 *	operator would be lost without a message. A second pass over the same
 *	text detects both and records the line of every path for findings.
 *
 *	A path is written as "services.lookup-desk.rules[2].deadline_ms". The
 *	path of the root is "".
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
	GHashTable *lines; /* path to line; NULL: not recorded */
	GArray *omitted; /* struct json_span, not parsed; NULL: none */
	bool is_accepted; /* not parsed by jsonc_parse() */
};

/* RETURN VALUE: NULL if the text has errors; all of them are added to
 * findings. */
struct jsonc_doc *jsonc_parse(const char *file, const char *text,
			      struct findings *findings);

/* Parses text that somebody has accepted before. It records no lines and
 * skips the checks that jsonc_parse() makes beyond JSON syntax. */
struct jsonc_doc *jsonc_parse_accepted(const char *file, const char *text,
				       struct findings *findings);

/* Like jsonc_parse_accepted(), but leaves the objects of the arrays that nesting
 * selects and the value under member unparsed, see json_spans.h. The text must
 * outlive the document. If json_spans_find() refuses the text, all of it is
 * parsed. */
struct jsonc_doc *jsonc_parse_without_items(const char *file, const char *text,
					    const char *nesting,
					    const char *member,
					    struct findings *findings);

/* RETURN VALUE: the text of a value that was left unparsed, or NULL if item is
 * something else. */
const struct json_span *jsonc_omitted_item(const struct jsonc_doc *doc,
					   json_object *item);
void jsonc_doc_destroy(struct jsonc_doc *doc);

/* RETURN VALUE: the line of the path, or of its nearest recorded ancestor. */
int jsonc_line(const struct jsonc_doc *doc, const char *path);

/*
 * Runs json_tokener_parse_ex() in steps and calls slice_yield() after each.
 *
 * RETURN VALUE: as for json_tokener_parse_ex(); *end is the offset at which the
 * tokener stopped.
 */
json_object *jsonc_feed(json_tokener *tokener, const char *text, size_t size,
			size_t *end);

/* Appends ".key" to a path, or "key" to an empty one. The caller frees the
 * result. */
char *jsonc_path_key(const char *path, const char *key);
char *jsonc_path_item(const char *path, size_t index);

/* Adds a string; a text of NULL becomes null. */
void jsonc_add_text(json_object *object, const char *key, const char *text);
void jsonc_add_uint(json_object *object, const char *key, uint64_t number);
void jsonc_add_bool(json_object *object, const char *key, bool value);

/* Takes ownership of root.
 * RETURN VALUE: the JSON text; the caller frees it with g_free(). */
char *jsonc_to_text(json_object *root);

/* RETURN VALUE: an array of {severity, file, line, path, text}. */
json_object *jsonc_from_findings(const struct findings *findings);

/* These read values from a document of any form; root may be of any type.
 * RETURN VALUE: "" or 0 if the key is absent. root owns the text. */
const char *jsonc_get_text(json_object *root, const char *key);
uint64_t jsonc_get_uint(json_object *root, const char *key);

/* RETURN VALUE: the array under key, or NULL. */
json_object *jsonc_get_array(json_object *root, const char *key);

#endif
