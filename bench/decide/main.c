#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "bench/decide/doc_tables.h"
#include "bench/decide/outcome.h"
#include "bench/decide/replay.h"
#include "bench/decide/row.h"

static const char *const compared[] = {
	"one-queue",	   "random+all",
	"round-robin+all", "least-outstanding+all",
	"two-choices+all", "two-scores+all",
	"least-score+all",
};

static gboolean write_trace;
static gboolean write_table;
static gchar *kind;
static gchar *path;
static gchar **policies;
static gchar *shape;
static gdouble load = 0.8;
static gdouble seconds = 10;
static gint calls;
static gint entries = 7;
static gint seed = 1;

static const GOptionEntry options[] = {
	{"table", 0, 0, G_OPTION_ARG_NONE, &write_table,
	 "Write the tables of docs/ in this folder", NULL},
	{"trace", 't', 0, G_OPTION_ARG_FILENAME, &path,
	 "Replay the trace in FILE", "FILE"},
	{"kind", 'k', 0, G_OPTION_ARG_STRING, &kind,
	 "Generate a trace of this KIND", "KIND"},
	{"write", 'w', 0, G_OPTION_ARG_NONE, &write_trace,
	 "Write the trace instead of replaying it", NULL},
	{"policy", 'p', 0, G_OPTION_ARG_STRING_ARRAY, &policies,
	 "Replay POLICY[+[no-]MODULE...]; may be repeated", "POLICY"},
	{"shape", 'd', 0, G_OPTION_ARG_STRING, &shape,
	 "Sizes of a deployment: lookup-desk or reservas", "NAME"},
	{"load", 'l', 0, G_OPTION_ARG_DOUBLE, &load,
	 "Mean share of all slots in use", "SHARE"},
	{"seconds", 'n', 0, G_OPTION_ARG_DOUBLE, &seconds,
	 "Length of the generated trace", "S"},
	{"calls", 'c', 0, G_OPTION_ARG_INT, &calls,
	 "Number of calls, instead of a length", "N"},
	{"entries", 'e', 0, G_OPTION_ARG_INT, &entries, "Number of entries", "N"},
	{"seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed", "N"},
	{0},
};

static bool replay_one(const struct trace *trace, const char *policy)
{
	struct replay_options run = {.seed = (uint64_t)seed};
	struct replay_result result;
	struct row row;

	if (!outcome_parse_policy(policy, &run)) {
		g_printerr("bench-decide: unknown policy or module in %s\n",
			   policy);
		return false;
	}
	replay_run(trace, &run, &result);
	row_fill(&row, &result);
	row_print(&row, policy, stdout);
	replay_result_finish(&result);
	return true;
}

static bool compare(const struct trace *trace)
{
	bool good = true;

	row_print_head(stdout);
	for (char **policy = policies; policy && *policy; policy++)
		good &= replay_one(trace, *policy);
	for (size_t i = 0; !policies && i < G_N_ELEMENTS(compared); i++)
		good &= replay_one(trace, compared[i]);
	return good;
}

static enum trace_status get_trace(struct trace *trace, int *line)
{
	struct trace_plan plan = {
		.kind = kind ? kind : "steady",
		.load = load,
		.calls = (uint32_t)calls,
		.seconds = seconds,
		.seed = (uint64_t)seed,
	};

	*line = 0;
	if (path)
		return trace_load(trace, path, line);
	if (shape && !trace_set_shape(trace, shape))
		return TRACE_UNKNOWN_KIND;
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
	if (good && entries > 0 && calls >= 0 && load > 0 && seconds > 0)
		return true;
	g_printerr("bench-decide: %s\n",
		   error ? error->message :
			   "entries, load and seconds must be positive, calls "
			   "must not be negative");
	g_clear_error(&error);
	return false;
}

static bool run(void)
{
	struct trace trace;
	enum trace_status status;
	bool good = true;
	int line;

	trace_init(&trace);
	status = get_trace(&trace, &line);
	if (status != TRACE_OK)
		g_printerr("bench-decide: can't read or generate the trace "
			   "(line %d); known kinds: %s\n",
			   line, trace_kinds());
	else if (write_trace)
		trace_write(&trace, stdout);
	else
		good = compare(&trace);
	trace_finish(&trace);
	return good && status == TRACE_OK;
}

int main(int argc, char **argv)
{
	bool good;

	if (!parse(&argc, &argv))
		return EXIT_FAILURE;
	good = write_table ? doc_tables_write() : run();
	g_strfreev(policies);
	g_free(kind);
	g_free(path);
	g_free(shape);
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
