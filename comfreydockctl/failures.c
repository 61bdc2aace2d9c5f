#include <stdio.h>
#include <string.h>

#include "comfreydockctl/ctl.h"
#include "comfreydockctl/logs.h"
#include "common/jsonc.h"

#define FAILED_EVENT "entry.failed"
#define REFUSED_EVENT "entry.quota-refused"

/* Calls that failed with the same outcome, reason, rule and last attempt. */
struct failure {
	char *key;
	uint64_t count;
	char *example; /* trace id of the first such call */
};

struct summary {
	uint64_t since_us;
	uint64_t until_us;
	GHashTable *failures; /* key -> struct failure */
	uint64_t count;
};

static char *since;
static char *until;

static void failure_free(gpointer data)
{
	struct failure *failure = data;

	g_free(failure->key);
	g_free(failure->example);
	g_free(failure);
}

/* RETURN VALUE: "HOST:END" of the last attempt, which decided the outcome. */
static const char *last_attempt(json_object *line)
{
	const char *attempts = jsonc_get_text(line, "attempts");
	const char *comma = strrchr(attempts, ',');

	if (!*attempts)
		return "none";
	return comma ? comma + 1 : attempts;
}

static void handle_line(json_object *line, void *data)
{
	struct summary *summary = data;
	struct failure *failure;
	const char *name = jsonc_get_text(line, "name");
	uint64_t time_us;
	char *key;

	if (strcmp(name, FAILED_EVENT) != 0 && strcmp(name, REFUSED_EVENT) != 0)
		return;
	time_us = logs_time_us(line);
	if (time_us < summary->since_us || time_us >= summary->until_us)
		return;
	summary->count++;
	key = g_strdup_printf("%-8s %-14s %-24s %s",
			      jsonc_get_text(line, "outcome"),
			      jsonc_get_text(line, "reason"),
			      jsonc_get_text(line, "rule"), last_attempt(line));
	failure = g_hash_table_lookup(summary->failures, key);
	if (failure) {
		failure->count++;
		g_free(key);
		return;
	}
	failure = g_new0(struct failure, 1);
	failure->key = key;
	failure->count = 1;
	failure->example = g_strdup(jsonc_get_text(line, "trace"));
	g_hash_table_insert(summary->failures, failure->key, failure);
}

static int compare(gconstpointer a, gconstpointer b)
{
	const struct failure *left = *(const struct failure *const *)a;
	const struct failure *right = *(const struct failure *const *)b;

	if (left->count != right->count)
		return left->count < right->count ? 1 : -1;
	return strcmp(left->key, right->key);
}

static void print_failures(const struct summary *summary)
{
	GPtrArray *sorted = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, summary->failures);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(sorted, value);
	g_ptr_array_sort(sorted, compare);
	printf("%7s  %-8s %-14s %-24s %-28s %s\n", "calls", "outcome", "reason",
	       "rule", "last attempt", "for example");
	for (guint i = 0; i < sorted->len; i++) {
		const struct failure *failure = sorted->pdata[i];

		printf("%7" G_GUINT64_FORMAT "  %-77s %s\n", failure->count,
		       failure->key, failure->example);
	}
	g_ptr_array_unref(sorted);
}

static bool read_bound(const char *name, const char *text, uint64_t default_us,
		       uint64_t *out)
{
	*out = text ? logs_parse_time_us(text) : default_us;
	if (text && !*out)
		ctl_print_error("--%s: \"%s\" is not a time such as "
				"2026-01-31T12:00:00Z",
				name, text);
	return !text || *out;
}

static int run(struct ctl *ctl, char **arguments)
{
	struct summary summary = {.count = 0};
	size_t unreadable;
	bool ok;

	(void)ctl;
	if (!read_bound("since", since, 0, &summary.since_us) ||
	    !read_bound("until", until, UINT64_MAX, &summary.until_us))
		return CTL_USAGE;
	summary.failures = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 failure_free);
	ok = logs_read(arguments, handle_line, &summary, &unreadable);
	if (ok && unreadable)
		ctl_print_error("skipped %zu lines that are not JSON objects",
				unreadable);
	if (ok)
		print_failures(&summary);
	g_hash_table_unref(summary.failures);
	return ok ? CTL_OK : CTL_USAGE;
}

static const GOptionEntry options[] = {
	{"since", 0, 0, G_OPTION_ARG_STRING, &since,
	 "Calls that ended then or later", "TIME"},
	{"until", 0, 0, G_OPTION_ARG_STRING, &until, "Calls that ended before",
	 "TIME"},
	{NULL},
};

const struct ctl_command ctl_failures = {
	.name = "failures",
	.arguments = "FILE...",
	.summary = "summarize from logs why calls failed",
	.min_arguments = 1,
	.max_arguments = 4096,
	.options = options,
	.run = run,
};
