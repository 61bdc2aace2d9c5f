#include "common/trace.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "common/id.h"

/* The end of the label of an id that isn't shown as it is. */
#define LABEL_HASH_FORMAT "~%016" PRIx64
#define LABEL_HASH_LENGTH 17
#define HASH_DIGITS 8
#define TRACE_LENGTH (HASH_DIGITS + 1 + 16)

static void format_hash(const char *host, char out[HASH_DIGITS + 1])
{
	snprintf(out, HASH_DIGITS + 1, "%08x", XXH32(host, strlen(host), 0));
}

char *trace_create(const char *host)
{
	char hash[HASH_DIGITS + 1];

	format_hash(host, hash);
	return g_strdup_printf("%s-%016" PRIx64, hash, id_random_u64());
}

bool trace_is_from(const char *trace, const char *host)
{
	char hash[HASH_DIGITS + 1];

	format_hash(host, hash);
	return strncmp(trace, hash, HASH_DIGITS) == 0;
}

/* Quotes and backslashes would be escaped in a JSON line. */
static bool is_label_character(char c)
{
	return g_ascii_isgraph(c) && c != '"' && c != '\\';
}

const char *trace_label(const char *trace, char label[TRACE_LABEL_SIZE])
{
	size_t length = strlen(trace);
	size_t shown = MIN(length, TRACE_LABEL_SIZE - 1);
	bool is_whole = shown == length;

	for (size_t i = 0; i < shown; i++) {
		is_whole &= is_label_character(trace[i]);
		label[i] = is_label_character(trace[i]) ? trace[i] : '_';
	}
	label[shown] = '\0';
	if (!is_whole) {
		shown = MIN(shown, TRACE_LABEL_SIZE - 1 - LABEL_HASH_LENGTH);
		snprintf(label + shown, LABEL_HASH_LENGTH + 1, LABEL_HASH_FORMAT,
			 (uint64_t)XXH3_64bits(trace, length));
	}
	return label;
}

bool trace_has_host_form(const char *trace)
{
	if (strlen(trace) != TRACE_LENGTH || trace[HASH_DIGITS] != '-')
		return false;
	for (size_t i = 0; i < TRACE_LENGTH; i++) {
		if (i != HASH_DIGITS && !g_ascii_isxdigit(trace[i]))
			return false;
	}
	return true;
}
