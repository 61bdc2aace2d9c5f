#include "common/json_spans.h"

#include <string.h>
#include <xxhash.h>

#define DEPTH_MAX 32 /* of nested brackets, the limit of json-c */

struct span_scanner {
	const char *at;
	const char *end;
	const char *nesting;
	size_t nesting_depth;
	char open[DEPTH_MAX];
	size_t depth;
	const char *member; /* key in the root object; NULL: none */
	size_t member_size;
	struct json_span text; /* the last string of the root object */
	const char *span; /* start of the current span; NULL: none */
	size_t span_depth;
	GArray *spans;
};

/* True if the text from start to end ends in an odd number of backslashes. */
static bool is_escaped(const char *start, const char *end)
{
	const char *at = end;

	while (at > start && at[-1] == '\\')
		at--;
	return (end - at) % 2;
}

/* Moves from the opening quote of a string past the closing one. */
static bool skip_string(struct span_scanner *scanner)
{
	const char *start = scanner->at + 1;
	const char *quote = start;

	do {
		quote = memchr(quote, '"', (size_t)(scanner->end - quote));
		if (!quote)
			return false;
		scanner->at = ++quote;
	} while (is_escaped(start, quote - 1));
	if (scanner->depth == 1) {
		scanner->text.at = start;
		scanner->text.size = (size_t)(quote - 1 - start);
	}
	return true;
}

static bool is_in_named_list(const struct span_scanner *scanner)
{
	return scanner->depth == scanner->nesting_depth &&
	       memcmp(scanner->open, scanner->nesting, scanner->depth) == 0;
}

/* In the root object, the last string before a bracket is its key. */
static bool is_under_member(const struct span_scanner *scanner)
{
	return scanner->member && scanner->text.at && scanner->depth == 1 &&
	       scanner->text.size == scanner->member_size &&
	       memcmp(scanner->text.at, scanner->member, scanner->member_size) ==
		       0;
}

static bool begins_span(const struct span_scanner *scanner)
{
	if (scanner->span)
		return false;
	return is_under_member(scanner) ||
	       (*scanner->at == '{' && is_in_named_list(scanner));
}

static bool open_bracket(struct span_scanner *scanner)
{
	if (scanner->depth == DEPTH_MAX)
		return false;
	if (begins_span(scanner)) {
		scanner->span = scanner->at;
		scanner->span_depth = scanner->depth;
	}
	scanner->open[scanner->depth++] = *scanner->at++;
	return true;
}

static bool close_bracket(struct span_scanner *scanner)
{
	char open = *scanner->at == '}' ? '{' : '[';
	struct json_span span = {.at = scanner->span};

	if (scanner->depth == 0 || scanner->open[--scanner->depth] != open)
		return false;
	scanner->at++;
	if (scanner->span && scanner->depth == scanner->span_depth) {
		span.size = (size_t)(scanner->at - span.at);
		g_array_append_val(scanner->spans, span);
		scanner->span = NULL;
	}
	return true;
}

static bool step(struct span_scanner *scanner)
{
	switch (*scanner->at) {
	case '"':
		return skip_string(scanner);
	case '{':
	case '[':
		return open_bracket(scanner);
	case '}':
	case ']':
		return close_bracket(scanner);
	case '\'':
	case '/':
	case '-':
	case '\0':
		return false;
	default:
		scanner->at++;
		return true;
	}
}

static bool is_blank(const char *at, const char *end)
{
	while (at < end && strchr(" \t\r\n", *at) && *at)
		at++;
	return at == end;
}

bool json_spans_find(const char *text, size_t size, const char *nesting,
		     const char *member, GArray *spans)
{
	struct span_scanner scanner = {
		.at = text,
		.end = text + size,
		.nesting = nesting,
		.nesting_depth = strlen(nesting),
		.member = member,
		.member_size = member ? strlen(member) : 0,
		.spans = spans,
	};

	if (size == 0 || *text != '{')
		return false;
	do {
		if (!step(&scanner))
			return false;
	} while (scanner.depth > 0 && scanner.at < scanner.end);
	return scanner.depth == 0 && is_blank(scanner.at, scanner.end);
}

GString *json_spans_replace(const char *text, size_t size, const GArray *spans)
{
	GString *rest = g_string_new(NULL);
	const char *at = text;

	for (guint i = 0; i < spans->len; i++) {
		const struct json_span *span =
			&g_array_index(spans, struct json_span, i);
		char index[24];
		/* The blanks keep digits beside the span out of the number. */
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
