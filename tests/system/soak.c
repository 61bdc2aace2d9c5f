/*
 * NAME
 *	soak - faults of every kind over a running load, for as long as told
 *
 * SYNOPSIS
 *	soak [--seconds N] [--seed N]
 *
 * DESCRIPTION
 *	Callers use daemons 0 and 1 with both kinds of calls. Hosts 2 and 3 are
 *	killed, paused, drained, slowed down and cut off, the platform's table is
 *	paused, one fault at a time or two together, drawn with the seed. What
 *	callers were told is held against what the upstreams ran.
 *
 *	Prints a line per point that must always hold: tried, held, violated.
 *
 * RETURN VALUE
 *	0 if nothing was violated and the service came back after the last
 *	fault.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "ledger.h"

#define CALLERS (1u << 0 | 1u << 1)
#define FIRST_VICTIM 2
#define VICTIMS 2
#define RELAYED 3
#define BACK_MS 20000
#define LAST_WORK_MS 2000
#define DRAIN_WATCH_MS 500

static const struct cluster_options options = {
	.count = 4,
	.config = LEDGER_CONFIG,
	.slots = "8",
	.service_time_us = "20000",
	.relayed = 1u << RELAYED,
};
static struct cluster cluster;

struct point {
	const char *text;
	uint64_t tried;
	uint64_t violated;
};

struct soak {
	GRand *random;
	unsigned int faults;
	unsigned int loads; /* number of the next; each has its own ids */
	struct point own;
	struct point not_run;
	struct point once;
	struct point leaving;
	struct point planned;
	struct point hanging;
};

static void begin_host_kill(unsigned int i)
{
	rig_kill(cluster.daemons[i]);
	rig_kill(cluster.upstreams[i]);
}

static void end_host_kill(unsigned int i)
{
	cluster_start_daemon(&cluster, i, &options);
	cluster_start_upstream(&cluster, i, &options);
}

static void begin_daemon_kill(unsigned int i)
{
	rig_kill(cluster.daemons[i]);
}

static void end_daemon_kill(unsigned int i)
{
	cluster_start_daemon(&cluster, i, &options);
	cluster_announce(&cluster, i, &options);
}

static void begin_upstream_kill(unsigned int i)
{
	rig_kill(cluster.upstreams[i]);
}

static void end_upstream_kill(unsigned int i)
{
	cluster_start_upstream(&cluster, i, &options);
}

static void begin_daemon_pause(unsigned int i)
{
	rig_signal(cluster.daemons[i], SIGSTOP);
}

static void end_daemon_pause(unsigned int i)
{
	rig_signal(cluster.daemons[i], SIGCONT);
}

static void begin_upstream_pause(unsigned int i)
{
	rig_signal(cluster.upstreams[i], SIGSTOP);
}

static void end_upstream_pause(unsigned int i)
{
	rig_signal(cluster.upstreams[i], SIGCONT);
}

static void begin_slow(unsigned int i)
{
	cluster_set_upstream(&cluster, i, "{\"factor\": 20}");
}

static void end_slow(unsigned int i)
{
	cluster_set_upstream(&cluster, i, "{\"factor\": 1}");
}

static void begin_drops(unsigned int i)
{
	cluster_set_upstream(&cluster, i,
			     "{\"drop_next\": 5, \"drop_runs\": true}");
}

static void end_drops(unsigned int i)
{
	cluster_set_upstream(&cluster, i, "{\"drop_next\": 0}");
}

static void begin_cut(unsigned int i)
{
	(void)i;
	cluster_set_relay(&cluster, RELAYED, "{\"cut\": true}");
}

static void end_cut(unsigned int i)
{
	(void)i;
	cluster_set_relay(&cluster, RELAYED, "{\"cut\": false}");
}

static void begin_hold(unsigned int i)
{
	(void)i;
	cluster_set_relay(&cluster, RELAYED, "{\"hold_backward\": true}");
}

static void end_hold(unsigned int i)
{
	(void)i;
	cluster_set_relay(&cluster, RELAYED, "{\"hold_backward\": false}");
}

static void begin_outage(unsigned int i)
{
	(void)i;
	rig_signal(cluster.platform, SIGSTOP);
}

static void end_outage(unsigned int i)
{
	(void)i;
	rig_signal(cluster.platform, SIGCONT);
}

static const struct fault {
	const char *name;
	void (*begin)(unsigned int i);
	void (*end)(unsigned int i);
} faults[] = {
	{"host killed", begin_host_kill, end_host_kill},
	{"daemon killed", begin_daemon_kill, end_daemon_kill},
	{"upstream killed", begin_upstream_kill, end_upstream_kill},
	{"daemon paused", begin_daemon_pause, end_daemon_pause},
	{"upstream paused", begin_upstream_pause, end_upstream_pause},
	{"upstream slow", begin_slow, end_slow},
	{"connections dropped", begin_drops, end_drops},
	{"link cut", begin_cut, end_cut},
	{"answers held back", begin_hold, end_hold},
	{"platform paused", begin_outage, end_outage},
};

static const struct fault *draw_fault(struct soak *soak)
{
	return &faults[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(faults))];
}

/* One fault, or two at once on different hosts. */
static void run_faults(struct soak *soak)
{
	const struct fault *first = draw_fault(soak);
	const struct fault *second = draw_fault(soak);
	unsigned int host = FIRST_VICTIM +
			    (unsigned int)g_rand_int_range(soak->random, 0, 2);
	unsigned int other = FIRST_VICTIM + (host - FIRST_VICTIM + 1) % VICTIMS;
	bool both = g_rand_boolean(soak->random) && first != second;

	printf("%s, host %u%s%s\n", first->name, host, both ? "; " : "",
	       both ? second->name : "");
	fflush(stdout);
	first->begin(host);
	if (both)
		second->begin(other);
	rig_sleep_ms(g_rand_int_range(soak->random, 300, 2800));
	first->end(host);
	if (both)
		second->end(other);
	soak->faults += both ? 2 : 1;
	rig_sleep_ms(g_rand_int_range(soak->random, 100, 500));
}

static struct ledger_load start_load(struct soak *soak, const char *rate,
				     int seconds)
{
	char *seed = g_strdup_printf("%u", 900 + soak->loads++);
	char *time = g_strdup_printf("%d", seconds);
	struct ledger_load load =
		ledger_start_load(&cluster, CALLERS, rate, time, seed);

	g_free(seed);
	g_free(time);
	return load;
}

static unsigned int count_runs(unsigned int i)
{
	unsigned int count = 0;
	char *text = NULL;

	g_assert_true(
		g_file_get_contents(cluster.runs_files[i], &text, NULL, NULL));
	for (const char *at = text; (at = strchr(at, '\n')); at++)
		count++;
	g_free(text);
	return count;
}

static void take_ledger(struct soak *soak, const struct ledger *ledger)
{
	soak->own.tried += ledger->run;
	soak->own.violated += ledger->wrong + ledger->false_run + ledger->unsaid;
	soak->not_run.tried += ledger->not_run;
	soak->not_run.violated += ledger->false_not_run;
	soak->once.tried += ledger->posts;
	soak->once.violated += ledger->doubles;
	soak->hanging.tried += ledger->calls;
	soak->hanging.violated += ledger->late;
}

/* A planned stop, with no other fault: none of its callers may notice. */
static void run_drain(struct soak *soak, unsigned int host)
{
	struct ledger ledger = {0};
	struct ledger_load load;
	unsigned int before;

	cluster_wait_up(&cluster, cluster.count, BACK_MS);
	rig_sleep_ms(1000); /* what was ejected is tried again by then */
	load = start_load(soak, "100", 3);
	rig_sleep_ms(300);
	g_free(rig_http_ok("POST", cluster.daemons[host]->admin_port,
			   "/v1/upstream/drain", ""));
	rig_sleep_ms(LAST_WORK_MS);
	before = count_runs(host);
	rig_sleep_ms(DRAIN_WATCH_MS);
	soak->leaving.tried++;
	soak->leaving.violated += count_runs(host) > before;
	g_free(rig_http_ok("POST", cluster.daemons[host]->admin_port,
			   "/v1/upstream/resume", ""));
	ledger_add(&ledger, &cluster, &load);
	take_ledger(soak, &ledger);
	soak->planned.tried += ledger.calls;
	soak->planned.violated += ledger.calls - ledger.served;
	printf("drained and resumed, host %u\n", host);
}

static void print_point(const struct point *point)
{
	printf("%-58s tried %6" G_GUINT64_FORMAT ", held %6" G_GUINT64_FORMAT
	       ", violated %" G_GUINT64_FORMAT "\n",
	       point->text, point->tried, point->tried - point->violated,
	       point->violated);
}

static uint64_t report(const struct soak *soak, const struct ledger *ledger)
{
	const struct point *points[] = {&soak->own,	&soak->not_run,
					&soak->once,	&soak->leaving,
					&soak->planned, &soak->hanging};
	uint64_t violated = 0;

	printf("%u faults; %u calls: run %u (served %u), not run %u, unknown "
	       "%u, broken %u\n",
	       soak->faults, ledger->calls, ledger->run, ledger->served,
	       ledger->not_run, ledger->unknown, ledger->broken);
	for (size_t i = 0; i < G_N_ELEMENTS(points); i++) {
		print_point(points[i]);
		violated += points[i]->violated;
	}
	return violated;
}

static uint64_t run(struct soak *soak, int seconds)
{
	gint64 end_us = g_get_monotonic_time() + seconds * G_TIME_SPAN_SECOND;
	struct ledger ledger = {0};
	struct ledger_load load = start_load(soak, "120", seconds);

	for (unsigned int step = 0; g_get_monotonic_time() < end_us; step++) {
		if (step % 6 == 5)
			run_drain(soak, FIRST_VICTIM + step / 6 % VICTIMS);
		else
			run_faults(soak);
	}
	cluster_wait_up(&cluster, cluster.count, BACK_MS);
	ledger_add_within(&ledger, &cluster, &load, seconds);
	run_drain(soak, FIRST_VICTIM);
	take_ledger(soak, &ledger);
	return report(soak, &ledger);
}

int main(int argc, char **argv)
{
	static int seconds = 20;
	static int seed = 1;
	static const GOptionEntry entries[] = {
		{"seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		 "how long faults come", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "of the faults", "N"},
		{0},
	};
	GOptionContext *context = g_option_context_new(NULL);
	struct soak soak = {
		.own = {.text = "the whole answer to its own request"},
		.not_run = {.text = "told \"not run\": did not run"},
		.once = {.text = "not repeatable: at most once"},
		.leaving = {.text = "leaving: no new work after two seconds"},
		.planned = {.text = "planned stop: nobody cut off or refused"},
		.hanging = {.text = "an end by the deadline and a second"},
	};
	uint64_t violated;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	g_test_init(&argc, &argv, NULL);
	soak.random = g_rand_new_with_seed((guint32)seed);
	cluster_start(&cluster, &options);
	violated = run(&soak, seconds);
	cluster_stop(&cluster);
	g_rand_free(soak.random);
	return violated > 0;
}
