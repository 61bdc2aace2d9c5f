/*
 * NAME
 *	json_spans_find - finds the objects of a JSON text's lists without reading them
 *
 * DESCRIPTION
 *	Reading a large text anew takes milliseconds, in which a daemon serves
 *	nothing, although most of its objects stood in the text before. With
 *	their places known, those can be told by their text alone.
 *
 *	nesting names the lists by the brackets around their objects: "{{{[" are
 *	the lists three objects deep. Only brackets, double quotes and escapes
 *	are looked at.
 */
#ifndef COMMON_JSON_SPANS_H
#define COMMON_JSON_SPANS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct json_span {
	const char *at;
	size_t size;
};

/*
 * Appends to spans, of struct json_span, the objects in the order of the text.
 *
 * RETURN VALUE
 *	false where the text is to be read as a whole: it isn't one object, its
 *	brackets don't match, or it has what a parser may take for more than
 *	JSON, such as comments or single quotes, or a number below 0, which
 *	is kept for what stands in place of an object.
 */
bool json_spans_find(const char *text, size_t size, const char *nesting,
		     GArray *spans);

/* RETURN VALUE: the text with " -1 ", " -2 " and so on in place of the spans. */
GString *json_spans_replace(const char *text, size_t size, const GArray *spans);

/* For hash tables: by the text. */
guint json_span_hash(gconstpointer span);
gboolean json_span_equal(gconstpointer a, gconstpointer b);

#endif
