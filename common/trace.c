#include "common/trace.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "common/id.h"

#define HASH_DIGITS 8
#define TRACE_LENGTH (HASH_DIGITS + 1 + 16)

static void format_hash(const char *host, char out[HASH_DIGITS + 1])
{
	snprintf(out, HASH_DIGITS + 1, "%08x", XXH32(host, strlen(host), 0));
}

void trace_create(const char *host, char trace[TIMELINE_TRACE_MAX])
{
	char hash[HASH_DIGITS + 1];

	format_hash(host, hash);
	snprintf(trace, TIMELINE_TRACE_MAX, "%s-%016" PRIx64, hash,
		 id_random_u64());
}

bool trace_is_from(const char *trace, const char *host)
{
	char hash[HASH_DIGITS + 1];

	format_hash(host, hash);
	return strncmp(trace, hash, HASH_DIGITS) == 0;
}

bool trace_is_valid(const char *trace)
{
	size_t length = trace ? strlen(trace) : 0;

	if (length == 0 || length >= TIMELINE_TRACE_MAX)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!isalnum((unsigned char)trace[i]) && !strchr("-_.", trace[i]))
			return false;
	}
	return true;
}

bool trace_has_host_form(const char *trace)
{
	if (strlen(trace) != TRACE_LENGTH || trace[HASH_DIGITS] != '-')
		return false;
	for (size_t i = 0; i < TRACE_LENGTH; i++) {
		if (i != HASH_DIGITS && !isxdigit((unsigned char)trace[i]))
			return false;
	}
	return true;
}
