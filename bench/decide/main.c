#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "bench/decide/replay.h"

#define PERCENT_99 0.99
#define PERCENT_99_9 0.999
#define MEDIAN 0.5

struct candidate_policy {
	const struct pick_policy *policy;
	bool busy_refusal;
	const struct health_policy *health;
};

static const struct candidate_policy compared[] = {
	{NULL, false},
	{&pick_random, false},
	{&pick_round_robin, false},
	{&pick_least_outstanding, false},
	{&pick_two_choices, false},
	{&pick_two_scores, false},
	{&pick_least_score, false},
	{&pick_random, true},
	{&pick_least_outstanding, true},
	{&pick_two_choices, true},
	{&pick_two_scores, true},
	{&pick_least_score, true},
	{&pick_least_outstanding, true, &health_outlier},
	{&pick_least_score, true, &health_outlier},
};

static gboolean write_trace;
static gchar *kind;
static gchar *path;
static gdouble load = 0.8;
static gint calls = 100000;
static gint entries = 7;
static gint seed = 1;
static gint attempts = 3;

static const GOptionEntry options[] = {
	{"trace", 't', 0, G_OPTION_ARG_FILENAME, &path, "Replay FILE", "FILE"},
	{"kind", 'k', 0, G_OPTION_ARG_STRING, &kind,
	 "Generate a trace of this KIND", "KIND"},
	{"write", 'w', 0, G_OPTION_ARG_NONE, &write_trace,
	 "Write the trace instead of replaying it", NULL},
	{"load", 'l', 0, G_OPTION_ARG_DOUBLE, &load, "Share of all slots",
	 "SHARE"},
	{"calls", 'c', 0, G_OPTION_ARG_INT, &calls, "How many calls", "N"},
	{"entries", 'e', 0, G_OPTION_ARG_INT, &entries, "How many entries", "N"},
	{"seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed", "N"},
	{"attempts", 'a', 0, G_OPTION_ARG_INT, &attempts,
	 "Attempts of a call, at most", "N"},
	{0},
};

static double milliseconds(const struct replay_result *result, double share)
{
	return (double)replay_percentile(result, share) / 1000;
}

static void print_result(const struct replay_options *run,
			 const struct replay_result *result)
{
	double n = (double)result->calls;

	printf("%-18s %-4s %8.1f %8.1f %9.1f %8.4f %8.4f %8.4f %8.3f %8.3f\n",
	       run->policy ? run->policy->name : "one-queue",
	       run->health	 ? "+hlt" :
	       run->busy_refusal ? "yes" :
				   "no",
	       milliseconds(result, MEDIAN), milliseconds(result, PERCENT_99),
	       milliseconds(result, PERCENT_99_9), (double)result->late / n,
	       (double)result->not_run / n,
	       (double)(result->errors + result->timeouts) / n,
	       (double)result->refusals / n,
	       (double)result->remote / (double)result->attempts);
}

static void compare(const struct trace *trace)
{
	printf("policy             busy   p50_ms   p99_ms  p99.9_ms     late  "
	       "not_run   failed  refused   remote\n");
	for (size_t i = 0; i < G_N_ELEMENTS(compared); i++) {
		struct replay_options run = {
			.policy = compared[i].policy,
			.busy_refusal = compared[i].busy_refusal,
			.health = compared[i].health,
			.max_attempts = (uint32_t)attempts,
			.seed = (uint64_t)seed,
		};
		struct replay_result result;

		replay_run(trace, &run, &result);
		print_result(&run, &result);
		replay_result_finish(&result);
	}
}

static enum trace_status get_trace(struct trace *trace, int *line)
{
	struct trace_plan plan = {
		.kind = kind ? kind : "steady",
		.load = load,
		.calls = (uint32_t)calls,
		.seed = (uint64_t)seed,
	};

	*line = 0;
	if (path)
		return trace_load(trace, path, line);
	trace->entries = (uint32_t)entries;
	return trace_generate(trace, &plan);
}

static bool parse(int *argc, char ***argv)
{
	GOptionContext *context = g_option_context_new("- compare policies");
	GError *error = NULL;
	bool good;

	g_option_context_add_main_entries(context, options, NULL);
	good = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (good && entries > 0 && calls > 0 && load > 0 && attempts > 0)
		return true;
	g_printerr("bench-decide: %s\n",
		   error ? error->message : "sizes must be above 0");
	g_clear_error(&error);
	return false;
}

int main(int argc, char **argv)
{
	struct trace trace;
	enum trace_status status;
	int line;

	if (!parse(&argc, &argv))
		return EXIT_FAILURE;
	trace_init(&trace);
	status = get_trace(&trace, &line);
	if (status != TRACE_OK)
		g_printerr("bench-decide: no trace (line %d); kinds: %s\n",
			   line, trace_kinds());
	else if (write_trace)
		trace_write(&trace, stdout);
	else
		compare(&trace);
	trace_finish(&trace);
	return status == TRACE_OK ? EXIT_SUCCESS : EXIT_FAILURE;
}
