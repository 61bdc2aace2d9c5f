#include "comfreydockd/caller/entry_key.h"

#include <string.h>
#include <strings.h>

#include "comfreydockd/config/key_digest.h"
#include "comfreydockd/config/store.h"
#include "common/api_key.h"
#include "common/counters.h"

#define STATUS_NO_KEY 401
#define FIELD_KEY "Authorization"
#define SCHEME "Bearer"
#define BLANKS " \t"

enum key_verdict {
	KEY_KNOWN,
	KEY_MISSING,
	KEY_BAD,
	KEY_UNKNOWN,
};

/* RETURN VALUE: the key, which the caller frees, or NULL. */
static char *copy_key(const char *value)
{
	size_t scheme = strlen(SCHEME);
	const char *start = value + scheme;
	size_t size;

	if (g_ascii_strncasecmp(value, SCHEME, scheme) != 0 || *start != ' ')
		return NULL;
	start += strspn(start, " ");
	size = strlen(start);
	while (size && strchr(BLANKS, start[size - 1]))
		size--;
	return api_key_find_fault(start, size) ? NULL : g_strndup(start, size);
}

static bool find_holder(const struct entry *entry, const char *key,
			struct entry_match *match)
{
	key_digest_of(entry->daemon->settings, key, match->key_digest);
	match->organisation = config_snapshot_organisation_by_digest(
		config_store_current(entry->daemon->config), match->key_digest);
	if (!match->organisation)
		match->key_digest[0] = '\0';
	return match->organisation;
}

static enum key_verdict read_key(const struct entry *entry,
				 const struct fields *fields,
				 struct entry_match *match)
{
	bool is_known;
	const char *value = NULL;
	char *key;

	for (size_t i = 0; i < fields->count; i++) {
		if (strcasecmp(fields->items[i]->name, FIELD_KEY) != 0)
			continue;
		if (value)
			return KEY_BAD;
		value = fields->items[i]->value;
	}
	if (!value)
		return KEY_MISSING;
	key = copy_key(value);
	if (!key)
		return KEY_BAD;
	is_known = find_holder(entry, key, match);
	g_free(key);
	return is_known ? KEY_KNOWN : KEY_UNKNOWN;
}

static void log_refused(const struct entry *entry,
			const struct call_request *request,
			const struct entry_match *match,
			const struct entry_refusal *refusal)
{
	const struct config_store *store = entry->daemon->config;
	char *trace = entry_dup_trace(entry->daemon, request->fields);

	timeline_log(&entry->daemon->timeline, trace, EV_ENTRY_KEY_REFUSED,
		     LOG_STR("service", match->service->name),
		     LOG_STR("rule", match->rule->name),
		     LOG_STR("caller", request->caller),
		     LOG_STR("reason", refusal->reason),
		     LOG_INT("status", refusal->status),
		     LOG_INT("head", config_store_head(store)),
		     LOG_INT("known_head", config_store_known_head(store)));
	g_free(trace);
}

static void fill_refusal(const struct entry *entry, enum key_verdict verdict,
			 struct entry_refusal *refusal)
{
	refusal->status = STATUS_NO_KEY;
	switch (verdict) {
	case KEY_MISSING:
		counters.caller_key_missing++;
		refusal->reason = "no-key";
		refusal->text = "not run: a key is needed\n";
		break;
	case KEY_BAD:
		counters.caller_key_bad++;
		refusal->reason = "bad-key";
		refusal->text = "not run: the key can't be read\n";
		break;
	case KEY_UNKNOWN:
	case KEY_KNOWN:
		counters.caller_key_unknown++;
		refusal->reason = "unknown-key";
		refusal->text = "not run: the key is not known\n";
		if (entry_defer_refusal(entry, refusal))
			counters.caller_key_doubted++;
		break;
	}
}

bool entry_key_check(const struct entry *entry,
		     const struct call_request *request,
		     struct entry_match *match, struct entry_refusal *refusal)
{
	enum key_verdict verdict;

	match->organisation = NULL;
	match->key_digest[0] = '\0';
	if (!match->service->needs_key)
		return true;
	verdict = read_key(entry, request->fields, match);
	if (verdict == KEY_KNOWN || match->rule->is_public)
		return true;
	fill_refusal(entry, verdict, refusal);
	log_refused(entry, request, match, refusal);
	return false;
}

/* Some servers take '-' and '_' in the name of a field for the same. */
static bool is_same_name(const char *a, const char *b)
{
	for (; *a && *b; a++, b++) {
		char left = *a == '_' ? '-' : g_ascii_tolower(*a);
		char right = *b == '_' ? '-' : g_ascii_tolower(*b);

		if (left != right)
			return false;
	}
	return *a == *b;
}

bool entry_key_removes_field(const struct headers *headers,
			     const struct config_service *service,
			     const char *name)
{
	if (!service->needs_key)
		return false;
	return strcasecmp(name, FIELD_KEY) == 0 ||
	       (headers->organisation &&
		is_same_name(name, headers->organisation));
}
