#include "bench/decide/doc_tables.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/decide/outcome.h"
#include "bench/decide/row.h"

#define PAGE "docs/design/decisions.md"
#define RAW "docs/measurements/decisions.txt"
#define MARK_BEGIN "<!-- bench-decide --table begins -->\n"
#define MARK_END "<!-- bench-decide --table ends -->\n"
#define SEED 1
#define MANY_ENTRIES 500
#define US_PER_SECOND INT64_C(1000000)
#define DEFAULT_POLICY "least-score+all"
#define SLOW_SPELLS "slow-spells"

struct pattern {
	const char *title;
	const char *kind;
	double load;
	double seconds;
	double deadline_s; /* 0: the deadline of the trace */
};

static const struct pattern patterns[] = {
	{"steady at 0.8", "steady", 0.8, 10, 1},
	{"steady at 0.6", "steady", 0.6, 10, 1},
	{"one upstream 10x slower, 0.6", "slow-upstream", 0.6, 10, 1},
	{"one upstream 10x slower, 0.9", "slow-upstream", 0.9, 10, 1},
	{"one upstream fails fast, 0.6", "fail-fast", 0.6, 10, 1},
	{"one upstream answers nothing, 0.6", "black-hole", 0.6, 10, 1},
	{"burst of 10x for 200 ms, 0.5", "burst", 0.5, 4, 1},
	{"hot caller, 1.5", "hot-caller", 1.5, 6, 1},
	{"hot key, 1.5", "hot-key", 1.5, 6, 1},
	{"1 s among 5 ms, 0.8", "long-jobs", 0.8, 20, 5},
	{"overload 1.5 for 10 s", "overload", 1.5, 14, 1},
	{"overload 3 for 10 s", "overload", 3, 14, 1},
	{"cold start of one, 0.8", "cold-start", 0.8, 6, 1},
	{"nearly idle, 0.0005", "steady", 0.0005, 60, 1},
	{"slow spells, 0.23", SLOW_SPELLS, 0.23, 30, 0},
	{"slow spells, 0.46", SLOW_SPELLS, 0.46, 30, 0},
	{"slow spells, 0.58", SLOW_SPELLS, 0.58, 30, 0},
	{"slow spells, 0.7", SLOW_SPELLS, 0.7, 30, 0},
};

static const char *const policies[] = {
	"one-queue",
	"random",
	"round-robin",
	"least-outstanding",
	"two-choices",
	"random+all",
	"least-outstanding+all",
	"two-choices+all",
	DEFAULT_POLICY,
};

/* The default policy without one module at a time; with MANY_ENTRIES only. */
static const char *const ablations[] = {
	DEFAULT_POLICY "+no-busy",  DEFAULT_POLICY "+no-health",
	DEFAULT_POLICY "+no-limit", DEFAULT_POLICY "+no-queue",
	DEFAULT_POLICY "+no-fair",  DEFAULT_POLICY "+no-retry",
	DEFAULT_POLICY "+no-hedge", DEFAULT_POLICY "+no-deadline",
	DEFAULT_POLICY "+no-warm",
};

/* For the slow-spells patterns. */
static const char *const pace_ablations[] = {
	"random+all+no-pace",
	DEFAULT_POLICY "+no-pace",
	DEFAULT_POLICY "+no-tell",
	DEFAULT_POLICY "+no-rejudge",
};

static const char *const shapes[] = {"lookup-desk", "reservas"};
static const uint32_t entries[] = {7, MANY_ENTRIES};

struct table {
	FILE *raw;
	GString *page;
	const struct trace *trace;
	const char *shape;
	const struct pattern *pattern;
};

static bool has_spells(const struct table *table)
{
	return strcmp(table->pattern->kind, SLOW_SPELLS) == 0;
}

static void page_head(struct table *table)
{
	g_string_append_printf(
		table->page,
		"\n### %s: %s, %u entries\n\n"
		"| policy | in time | refused | failed | p50 | p99 | p99.9 | "
		"others' p99 | goodput | wasted | extra | probes | on target "
		"| slow starts |\n"
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
		table->shape, table->pattern->title, table->trace->entries);
}

static void page_row(struct table *table, const struct row *row,
		     const char *policy)
{
	g_string_append_printf(
		table->page,
		"| %s | %.4f | %.4f | %.4f | %.1f | %.1f | %.1f "
		"| %.1f | %.3f | %.4f | %.3f | %.5f | %.4f | %.4f |\n",
		policy, row->in_time, row->refused, row->failed, row->p50_ms,
		row->p99_ms, row->p999_ms, row->others_p99_ms, row->goodput,
		row->wasted, row->extra, row->probed, row->on_target,
		row->slow_starts);
}

static void table_replay(struct table *table, const char *policy)
{
	struct replay_options options = {.seed = SEED};
	struct replay_result result;
	struct row row;

	outcome_parse_policy(policy, &options);
	replay_run(table->trace, &options, &result);
	row_fill(&row, &result);
	replay_result_finish(&result);
	row_print(&row, policy, table->raw);
	if (table->trace->entries == MANY_ENTRIES)
		page_row(table, &row, policy);
}

static void table_replay_all(struct table *table)
{
	bool many = table->trace->entries == MANY_ENTRIES;

	fprintf(table->raw, "\n# %s: %s, %u entries\n", table->shape,
		table->pattern->title, table->trace->entries);
	row_print_head(table->raw);
	if (many)
		page_head(table);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		table_replay(table, policies[i]);
	for (size_t i = 0; many && i < G_N_ELEMENTS(ablations); i++)
		table_replay(table, ablations[i]);
	for (size_t i = 0;
	     has_spells(table) && i < G_N_ELEMENTS(pace_ablations); i++)
		table_replay(table, pace_ablations[i]);
}

static void table_pattern(struct table *table, uint32_t entry_count)
{
	const struct pattern *pattern = table->pattern;
	struct trace_plan plan = {
		.kind = pattern->kind,
		.load = pattern->load,
		.seconds = pattern->seconds,
		.seed = SEED,
	};
	struct trace trace;

	trace_init(&trace);
	trace_set_shape(&trace, table->shape);
	trace.entries = entry_count;
	if (pattern->deadline_s > 0)
		trace.deadline_us =
			(int64_t)(pattern->deadline_s * US_PER_SECOND);
	trace_generate(&trace, &plan);
	table->trace = &trace;
	table_replay_all(table);
	trace_finish(&trace);
}

static void table_fill(struct table *table)
{
	fprintf(table->raw, "bench-decide --table\n");
	for (size_t s = 0; s < G_N_ELEMENTS(shapes); s++) {
		table->shape = shapes[s];
		for (size_t p = 0; p < G_N_ELEMENTS(patterns); p++) {
			table->pattern = &patterns[p];
			for (size_t e = 0; e < G_N_ELEMENTS(entries); e++)
				table_pattern(table, entries[e]);
		}
	}
}

/* Replaces the tables between the markers of the page. */
static bool page_write(const GString *tables)
{
	GError *error = NULL;
	GString *page;
	char *old;
	const char *begin;
	const char *end;
	bool good = false;

	if (!g_file_get_contents(PAGE, &old, NULL, &error)) {
		g_printerr("bench-decide: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	begin = strstr(old, MARK_BEGIN);
	end = strstr(old, MARK_END);
	if (begin && end && begin < end) {
		begin += strlen(MARK_BEGIN);
		page = g_string_new_len(old, begin - old);
		g_string_append_printf(page, "%s\n%s", tables->str, end);
		good = g_file_set_contents(PAGE, page->str, -1, NULL);
		g_string_free(page, TRUE);
	}
	g_free(old);
	if (!good)
		g_printerr("bench-decide: can't write %s, or its table markers "
			   "are missing\n",
			   PAGE);
	return good;
}

bool doc_tables_write(void)
{
	struct table table = {.raw = fopen(RAW, "we")};
	bool good;

	if (!table.raw) {
		g_printerr("bench-decide: can't write %s\n", RAW);
		return false;
	}
	table.page = g_string_new(NULL);
	table_fill(&table);
	good = page_write(table.page);
	g_string_free(table.page, TRUE);
	return fclose(table.raw) == 0 && good;
}
