#include "common/json_cut.h"

#include <string.h>
#include <xxhash.h>

#define DEPTH_MAX 32 /* of brackets, as json-c has it */

struct cutter {
	const char *at;
	const char *end;
	const char *shape;
	size_t shape_depth;
	char open[DEPTH_MAX];
	size_t depth;
	const char *object; /* begins here; NULL: not in one of the lists */
	GArray *spans;
};

/* Whether an odd number of backslashes ends what lies from start to end. */
static bool is_escaped(const char *start, const char *end)
{
	const char *at = end;

	while (at > start && at[-1] == '\\')
		at--;
	return (end - at) % 2;
}

/* Stands on the first quote; steps past the last. */
static bool skip_string(struct cutter *cutter)
{
	const char *start = cutter->at + 1;
	const char *quote = start;

	do {
		quote = memchr(quote, '"', (size_t)(cutter->end - quote));
		if (!quote)
			return false;
		cutter->at = ++quote;
	} while (is_escaped(start, quote - 1));
	return true;
}

static bool is_in_list(const struct cutter *cutter)
{
	return cutter->depth == cutter->shape_depth &&
	       memcmp(cutter->open, cutter->shape, cutter->depth) == 0;
}

static bool open_bracket(struct cutter *cutter)
{
	if (cutter->depth == DEPTH_MAX)
		return false;
	if (*cutter->at == '{' && is_in_list(cutter))
		cutter->object = cutter->at;
	cutter->open[cutter->depth++] = *cutter->at++;
	return true;
}

static bool close_bracket(struct cutter *cutter)
{
	char open = *cutter->at == '}' ? '{' : '[';
	struct json_span span = {.at = cutter->object};

	if (cutter->depth == 0 || cutter->open[--cutter->depth] != open)
		return false;
	cutter->at++;
	if (cutter->object && cutter->depth == cutter->shape_depth) {
		span.size = (size_t)(cutter->at - span.at);
		g_array_append_val(cutter->spans, span);
		cutter->object = NULL;
	}
	return true;
}

static bool step(struct cutter *cutter)
{
	switch (*cutter->at) {
	case '"':
		return skip_string(cutter);
	case '{':
	case '[':
		return open_bracket(cutter);
	case '}':
	case ']':
		return close_bracket(cutter);
	case '\'':
	case '/':
	case '-':
	case '\0':
		return false;
	default:
		cutter->at++;
		return true;
	}
}

static bool is_blank(const char *at, const char *end)
{
	while (at < end && strchr(" \t\r\n", *at) && *at)
		at++;
	return at == end;
}

bool json_cut(const char *text, size_t size, const char *shape, GArray *spans)
{
	struct cutter cutter = {
		.at = text,
		.end = text + size,
		.shape = shape,
		.shape_depth = strlen(shape),
		.spans = spans,
	};

	if (size == 0 || *text != '{')
		return false;
	do {
		if (!step(&cutter))
			return false;
	} while (cutter.depth > 0 && cutter.at < cutter.end);
	return cutter.depth == 0 && is_blank(cutter.at, cutter.end);
}

GString *json_cut_rest(const char *text, size_t size, const GArray *spans)
{
	GString *rest = g_string_new(NULL);
	const char *at = text;

	for (guint i = 0; i < spans->len; i++) {
		const struct json_span *span =
			&g_array_index(spans, struct json_span, i);
		char index[24];
		/* With blanks: else digits of the text might lengthen it. */
		int written = g_snprintf(index, sizeof(index), " -%u ", i + 1);

		g_string_append_len(rest, at, span->at - at);
		g_string_append_len(rest, index, written);
		at = span->at + span->size;
	}
	g_string_append_len(rest, at, text + size - at);
	return rest;
}

guint json_span_hash(gconstpointer span)
{
	const struct json_span *key = span;

	return (guint)XXH3_64bits(key->at, key->size);
}

gboolean json_span_equal(gconstpointer a, gconstpointer b)
{
	const struct json_span *left = a;
	const struct json_span *right = b;

	return left->size == right->size &&
	       memcmp(left->at, right->at, left->size) == 0;
}
