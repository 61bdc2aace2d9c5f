/*
 * NAME
 *	json_spans - finds the objects in the arrays of a JSON text without
 *	parsing them
 *
 * DESCRIPTION
 *	Parsing a large text again takes milliseconds, in which a daemon serves
 *	nothing, although most of its objects are unchanged since the version
 *	before. Once the position of each object is known, an unchanged object
 *	is recognised by its text alone.
 *
 *	nesting selects the arrays by the open brackets around their objects:
 *	"{{{[" selects the arrays inside three nested objects. member selects
 *	one more span, the object or array under that key of the root object.
 *	The scan interprets only brackets, double quotes and escapes.
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
 * Appends the objects in the order of the text to spans, an array of struct
 * json_span. member may be NULL. The value under it is one span, and nothing
 * inside is selected by nesting. A key with escapes is not recognised.
 *
 * RETURN VALUE
 *	false if the text must be parsed as a whole: it is not a single object,
 *	its brackets don't match, or it holds extensions of JSON that some
 *	parsers accept, such as comments or single quotes, or a negative
 *	number, as json_spans_replace() reserves these for its placeholders.
 */
bool json_spans_find(const char *text, size_t size, const char *nesting,
		     const char *member, GArray *spans);

/* RETURN VALUE: a copy of the text with the spans replaced by the placeholders
 * " -1 ", " -2 " and so on. */
GString *json_spans_replace(const char *text, size_t size, const GArray *spans);

/* Hash and compare the text of spans, for hash tables. */
guint json_span_hash(gconstpointer span);
gboolean json_span_equal(gconstpointer a, gconstpointer b);

#endif
