#include <stdio.h>
#include <string.h>

#include "comfreydockctl/ctl.h"
#include "common/clock.h"
#include "common/jsonc.h"

#define APPLY_TIMEOUT_MS 15000 /* above the timeout of the daemon */
#define ASK_TIMEOUT_MS 1000
#define DEFAULT_WAIT_S 30
#define POLL_S 0.2

static gint64 base;
static gboolean wait_for_all;
static gint wait_s = DEFAULT_WAIT_S;

static const GOptionEntry options[] = {
	{"base", 0, 0, G_OPTION_ARG_INT64, &base,
	 "The version that the file replaces; 0 for a new namespace", "VERSION"},
	{"wait", 0, 0, G_OPTION_ARG_NONE, &wait_for_all,
	 "Wait until every daemon holds the version", NULL},
	{"timeout", 0, 0, G_OPTION_ARG_INT, &wait_s,
	 "Longest time that --wait waits (30)", "SECONDS"},
	{NULL},
};

/* RETURN VALUE: true if the answer of a daemon has the version or a later one. */
static bool has_version(const struct ctl_call *call, const char *name,
			uint64_t version)
{
	json_object *root = json_tokener_parse(call->text->str);
	json_object *array = jsonc_get_array(root, "namespaces");
	bool found = false;

	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *item = json_object_array_get_idx(array, i);

		found = found ||
			(strcmp(jsonc_get_text(item, "name"), name) == 0 &&
			 jsonc_get_uint(item, "version") >= version);
	}
	json_object_put(root);
	return found;
}

static void add_holder(GHashTable *holders, const char *url)
{
	const char *path = strstr(url, "/v1/");

	g_hash_table_add(holders, g_strndup(url, (gsize)(path - url)));
}

/* Asks the daemons that are not yet in holders, the set of URLs of daemons that
 * have the version. RETURN VALUE: the number of daemons that have it. */
static size_t count_holders(struct ctl *ctl, const GPtrArray *urls,
			    GHashTable *holders, const char *name,
			    uint64_t version)
{
	struct ctl_call *calls = g_new0(struct ctl_call, urls->len);
	char *escaped = g_uri_escape_string(name, NULL, FALSE);
	char *path = g_strdup_printf("/v1/config?held=1&namespace=%s", escaped);
	size_t known = 0;
	size_t asked = 0;

	for (guint i = 0; i < urls->len; i++) {
		if (g_hash_table_contains(holders, urls->pdata[i])) {
			known++;
			continue;
		}
		ctl_call_init(&calls[asked], "GET", urls->pdata[i], path);
		calls[asked++].timeout_ms = ASK_TIMEOUT_MS;
	}
	ctl_run_calls(ctl, calls, asked);
	for (size_t i = 0; i < asked; i++) {
		if (has_version(&calls[i], name, version)) {
			add_holder(holders, calls[i].url);
			known++;
		}
		ctl_call_finish(&calls[i]);
	}
	g_free(path);
	g_free(escaped);
	g_free(calls);
	return known;
}

static void handle_pause(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void pause_between_polls(struct ctl *ctl)
{
	ev_timer timer;

	ev_timer_init(&timer, handle_pause, POLL_S, 0.0);
	ev_timer_start(ctl->loop, &timer);
	ev_run(ctl->loop, 0);
}

/* Fetches the list of daemons at each poll, because daemons can join and leave. */
static int wait_for_daemons(struct ctl *ctl, json_object *outcome)
{
	int64_t end_us = clock_mono_us() + wait_s * US_PER_S;
	const char *name = jsonc_get_text(outcome, "namespace");
	uint64_t version = jsonc_get_uint(outcome, "version");
	GHashTable *known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t holders = 0;
	size_t all = 1;

	do {
		GPtrArray *urls = ctl_list_daemon_urls(ctl);

		if (!urls)
			break;
		all = urls->len;
		holders = count_holders(ctl, urls, known, name, version);
		g_ptr_array_free(urls, TRUE);
		if (holders < all)
			pause_between_polls(ctl);
	} while (holders < all && clock_mono_us() < end_us);
	g_hash_table_unref(known);
	jsonc_add_uint(outcome, "daemons", all);
	jsonc_add_uint(outcome, "daemons_holding", holders);
	return holders == all ? CTL_OK : CTL_WAIT_TIMED_OUT;
}

static void print_conflict(json_object *outcome)
{
	const char *name = jsonc_get_text(outcome, "namespace");
	uint64_t version = jsonc_get_uint(outcome, "version");

	if (json_object_get_boolean(
		    json_object_object_get(outcome, "was_in_force")))
		printf("the file was in force as version %" G_GUINT64_FORMAT
		       " and has been replaced since\n",
		       jsonc_get_uint(outcome, "base") + 1);
	printf("conflict: %s is at version %" G_GUINT64_FORMAT " by %s; see "
	       "\"comfreydockctl show --body %s\", then apply with --base "
	       "%" G_GUINT64_FORMAT "\n",
	       name, version, jsonc_get_text(outcome, "winner"), name, version);
}

static void print_unknown(const char *file)
{
	printf("unknown: the answer was lost; to find out, run "
	       "\"comfreydockctl apply --base %" G_GINT64_FORMAT " %s\"\n",
	       base, file);
}

static void print_outcome(json_object *outcome, int status, const char *file)
{
	ctl_print_findings(jsonc_get_array(outcome, "findings"));
	switch (status) {
	case CTL_CONFLICT:
		print_conflict(outcome);
		return;
	case CTL_UNKNOWN:
		print_unknown(file);
		return;
	case CTL_REFUSED:
		puts("refused: nothing was changed");
		return;
	default:
		break;
	}
	printf("in force as version %" G_GUINT64_FORMAT " of %s\n",
	       jsonc_get_uint(outcome, "version"),
	       jsonc_get_text(outcome, "namespace"));
	if (wait_for_all)
		printf("held by %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
		       " daemons\n",
		       jsonc_get_uint(outcome, "daemons_holding"),
		       jsonc_get_uint(outcome, "daemons"));
}

static int status_of(const char *result)
{
	if (strcmp(result, "in-force") == 0)
		return CTL_OK;
	if (strcmp(result, "refused") == 0)
		return CTL_REFUSED;
	if (strcmp(result, "conflict") == 0)
		return CTL_CONFLICT;
	return strcmp(result, "unknown") == 0 ? CTL_UNKNOWN : CTL_FAILED;
}

static char *apply_path(const char *file)
{
	char *who =
		g_strdup_printf("%s@%s", g_get_user_name(), g_get_host_name());
	char *who_escaped = g_uri_escape_string(who, NULL, FALSE);
	char *file_escaped = g_uri_escape_string(file, NULL, FALSE);
	char *path = g_strdup_printf("/v1/config/apply?base=%" G_GINT64_FORMAT
				     "&who=%s&file=%s",
				     base, who_escaped, file_escaped);

	g_free(file_escaped);
	g_free(who_escaped);
	g_free(who);
	return path;
}

/* A daemon that received the file may have applied it without answering. */
static json_object *outcome_without_answer(const struct ctl_call *call)
{
	json_object *outcome = json_object_new_object();

	ctl_print_error("no answer from %s", call->url);
	jsonc_add_text(outcome, "result",
		       call->never_sent ? "failed" : "unknown");
	return outcome;
}

static json_object *send_file(struct ctl *ctl, const char *file, const char *text)
{
	char *path = apply_path(file);
	json_object *outcome = NULL;
	struct ctl_call call;

	ctl_call_init(&call, "POST", ctl->admin, path);
	call.body = text;
	call.timeout_ms = APPLY_TIMEOUT_MS;
	ctl_run_calls(ctl, &call, 1);
	if (call.answered)
		outcome = json_tokener_parse(call.text->str);
	if (!outcome)
		outcome = outcome_without_answer(&call);
	else if (!*jsonc_get_text(outcome, "result"))
		ctl_print_error("%s answered %ld %s", ctl->admin, call.status,
				jsonc_get_text(outcome, "error"));
	ctl_call_finish(&call);
	g_free(path);
	return outcome;
}

static int run(struct ctl *ctl, char **arguments)
{
	char *text = ctl_read_file(arguments[0]);
	json_object *outcome;
	int status;

	if (!text)
		return CTL_USAGE;
	outcome = send_file(ctl, arguments[0], text);
	g_free(text);
	status = status_of(jsonc_get_text(outcome, "result"));
	if (status == CTL_OK && wait_for_all)
		status = wait_for_daemons(ctl, outcome);
	if (ctl->json) {
		ctl_print_json(outcome);
		return status;
	}
	if (status != CTL_FAILED)
		print_outcome(outcome, status, arguments[0]);
	json_object_put(outcome);
	return status;
}

const struct ctl_command ctl_apply = {
	.name = "apply",
	.arguments = "FILE",
	.summary = "apply a file, either completely or not at all",
	.min_arguments = 1,
	.max_arguments = 1,
	.options = options,
	.run = run,
};
