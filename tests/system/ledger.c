#include "ledger.h"

#include <string.h>

#include "call_log.h"
#include "runs.h"

#define LOAD_END_MS 60000

struct ledger_load ledger_start_load(struct cluster *cluster,
				     unsigned int daemons, const char *rate,
				     const char *seconds, const char *seed)
{
	struct ledger_load load;
	char *targets[CLUSTER_MAX];
	unsigned int count = 0;

	load.calls_file = rig_write_file(cluster->rig, "calls", "%s", "");
	for (unsigned int i = 0; i < cluster->count; i++) {
		if (daemons & (1u << i))
			targets[count++] =
				g_strdup_printf("--target=http://127.0.0.1:%u",
						cluster->daemons[i]->caller_port);
	}
	g_assert_cmpuint(count, >, 0);
	/* Targets repeat if there are fewer than three, as an option may be
	 * given more than once. The shares are even for one and for three. */
	load.process =
		rig_start(cluster->rig, "standin/load/standin-load", "--calls",
			  load.calls_file, "--rate", rate, "--seconds", seconds,
			  "--seed", seed, "--share-nonidempotent", "0.5",
			  "--path", "/", "--path", "/bytes/100000", targets[0],
			  targets[1 % count], targets[2 % count], NULL);
	for (unsigned int i = 0; i < count; i++)
		g_free(targets[i]);
	return load;
}

static GHashTable *read_runs(const struct cluster *cluster)
{
	GHashTable *runs = runs_create();

	for (unsigned int i = 0; i < cluster->count; i++)
		runs_read_file(runs, cluster->runs_files[i]);
	return runs;
}

static bool is_idempotent(const struct call_record *line)
{
	return strcmp(line->method, "GET") == 0;
}

static void count_outcome(struct ledger *ledger, const struct call_record *line)
{
	bool run = strcmp(line->outcome, "run") == 0;

	ledger->calls++;
	ledger->posts += !is_idempotent(line);
	ledger->run += run;
	ledger->served += run && line->status / 100 == 2;
	ledger->not_run += strcmp(line->outcome, "not-run") == 0;
	ledger->unknown += strcmp(line->outcome, "unknown") == 0;
	ledger->broken += strcmp(line->outcome, "broken") == 0;
	ledger->unconnected += strcmp(line->outcome, "unconnected") == 0;
	ledger->without_outcome += strcmp(line->outcome, "unsaid") == 0;
}

static void check_call(struct ledger *ledger, const struct call_record *line,
		       guint runs)
{
	bool late = strcmp(line->outcome, "timed-out") == 0 ||
		    line->duration_us >
			    (LEDGER_DEADLINE_MS + LEDGER_MARGIN_MS) * 1000;
	bool doubled = !is_idempotent(line) && runs > 1;
	bool false_not_run = strcmp(line->outcome, "not-run") == 0 && runs > 0;
	bool false_run = strcmp(line->outcome, "run") == 0 &&
			 line->status / 100 == 2 && runs == 0;

	ledger->duplicate_runs += doubled;
	ledger->false_not_run += false_not_run;
	ledger->false_run += false_run;
	ledger->wrong += line->is_wrong;
	ledger->late += late;
	if (doubled || false_not_run || false_run || line->is_wrong || late)
		g_test_message("%s %s %d %s after %" G_GINT64_FORMAT
			       " us, ran %u times%s",
			       line->id, is_idempotent(line) ? "GET" : "POST",
			       line->status, line->outcome, line->duration_us,
			       runs, line->is_wrong ? ", wrong answer" : "");
}

struct check_context {
	struct ledger *ledger;
	GHashTable *runs;
};

static void handle_record(const struct call_record *line, void *data)
{
	struct check_context *check_context = data;

	count_outcome(check_context->ledger, line);
	check_call(check_context->ledger, line,
		   runs_count_id(check_context->runs, line->id));
}

void ledger_collect_within(struct ledger *ledger, struct cluster *cluster,
			   struct ledger_load *load, int seconds)
{
	struct check_context check_context = {.ledger = ledger};

	rig_wait_end(load->process, seconds * 1000 + LOAD_END_MS);
	check_context.runs = read_runs(cluster);
	call_log_read(load->calls_file, handle_record, &check_context);
	g_hash_table_unref(check_context.runs);
}

void ledger_collect(struct ledger *ledger, struct cluster *cluster,
		    struct ledger_load *load)
{
	ledger_collect_within(ledger, cluster, load, 0);
}

unsigned int ledger_violations(const struct ledger *ledger)
{
	return ledger->duplicate_runs + ledger->false_not_run +
	       ledger->false_run + ledger->wrong + ledger->late +
	       ledger->without_outcome;
}

void ledger_assert_no_violations(const struct ledger *ledger)
{
	g_test_message("%u calls: run %u (served %u), not run %u, unknown %u, "
		       "broken %u, unconnected %u",
		       ledger->calls, ledger->run, ledger->served,
		       ledger->not_run, ledger->unknown, ledger->broken,
		       ledger->unconnected);
	g_assert_cmpuint(ledger->duplicate_runs, ==, 0);
	g_assert_cmpuint(ledger->false_not_run, ==, 0);
	g_assert_cmpuint(ledger->false_run, ==, 0);
	g_assert_cmpuint(ledger->wrong, ==, 0);
	g_assert_cmpuint(ledger->late, ==, 0);
	g_assert_cmpuint(ledger->without_outcome, ==, 0);
	g_assert_cmpuint(ledger->calls, >, 0);
}
