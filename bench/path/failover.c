/*
 * NAME
 *	bench-failover - what callers see when a host loses power
 *
 * SYNOPSIS
 *	bench-failover
 *
 * DESCRIPTION
 *	Runs four hosts. Callers at two of them send GET and POST calls. The
 *	daemon and the upstream of the fourth host get a SIGKILL, ROUNDS times.
 *	The time lines of the other three show when the last call was sent to
 *	the killed host, and how the calls ended that ended between the kill and
 *	one deadline after that last call. Each of the three daemons is polled
 *	for the time at which it regards the host as dead.
 */
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "ledger.h"

#define ROUNDS 4
#define HOSTS 4
#define KILLED_HOST 3
/* Bits of the hosts that have callers: d0 and d1. Each gets more load than its
 * own upstream can take, so that the excess goes to the other hosts. */
#define CALLER_MASK 3u
#define DETECT_TIMEOUT_MS 30000
#define POLL_MS 10
/* Time until the other hosts send work to a restarted host: a host whose load
 * is unknown gets little. */
#define IN_USE_MS 7000
#define EVENT_TAKEN 1500
#define EVENT_SENT 1501
#define EVENT_ENDED 1506

static const struct cluster_options options = {
	.count = HOSTS,
	.config = LEDGER_CONFIG,
	.slots = "6",
	.service_time_us = "60000",
};
static struct cluster cluster;

enum ending {
	ENDED_RUN,
	ENDED_NOT_RUN,
	ENDED_UNKNOWN,
	ENDINGS
};

struct round {
	int64_t killed_us; /* wall clock, like the times of the time lines */
	int64_t last_sent_us; /* last call sent to the killed host; 0: none */
	int64_t detected_us[HOSTS];
	unsigned int sent_before; /* calls in the last second before the kill */
	unsigned int sent; /* calls after the kill */
	unsigned int ended[2][ENDINGS]; /* [0]: GET, [1]: POST */
};

static bool reports_dead(unsigned int i)
{
	char *hosts = rig_http_ok("GET", cluster.daemons[i]->admin_port,
				  "/v1/hosts", NULL);
	char *at = strstr(hosts, "\"host\":\"d3\"");
	char *state = at ? strstr(at, "\"state\":\"") : NULL;
	bool dead = state && g_str_has_prefix(state, "\"state\":\"dead\"");

	g_free(hosts);
	return dead;
}

static void wait_detected(struct round *round)
{
	unsigned int known = 0;

	for (int waited = 0; known < KILLED_HOST && waited < DETECT_TIMEOUT_MS;
	     waited += POLL_MS) {
		for (unsigned int i = 0; i < KILLED_HOST; i++) {
			if (round->detected_us[i] || !reports_dead(i))
				continue;
			round->detected_us[i] = g_get_real_time();
			known++;
		}
		rig_sleep_ms(POLL_MS);
	}
	g_assert_cmpuint(known, ==, KILLED_HOST);
}

static const char *json_text(struct json_object *entry, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(entry, name, &value);
	return json_object_get_string(value);
}

static int64_t json_int(struct json_object *entry, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(entry, name, &value);
	return json_object_get_int64(value);
}

static void read_sent(struct round *round, struct json_object *entry)
{
	int64_t time = json_int(entry, "time");

	if (!strstr(json_text(entry, "note"), "to=d3 "))
		return;
	if (time < round->killed_us) {
		round->sent_before += time > round->killed_us - G_USEC_PER_SEC;
		return;
	}
	round->sent++;
	round->last_sent_us = MAX(round->last_sent_us, time);
}

static void read_ended(struct round *round, struct json_object *entry,
		       const GHashTable *posts)
{
	const char *note = json_text(entry, "note");
	int64_t time = json_int(entry, "time");
	int64_t until = MAX(round->last_sent_us, round->killed_us) +
			LEDGER_DEADLINE_MS * 1000;
	bool post = g_hash_table_contains((GHashTable *)posts,
					  json_text(entry, "trace"));
	enum ending ending = g_str_has_prefix(note, "not-run") ? ENDED_NOT_RUN :
			     g_str_has_prefix(note, "run")     ? ENDED_RUN :
								 ENDED_UNKNOWN;

	if (time >= round->killed_us && time <= until)
		round->ended[post][ending]++;
}

/* Reads the sent and taken calls if read_ends is false, and the ends of calls
 * otherwise. The ends are read in a second pass, since their time window
 * depends on the last call that any daemon sent. A time line also has events of
 * other daemons, which are skipped here, since each daemon's own time line is
 * read. */
static void read_time_line(struct round *round, struct json_object *line,
			   const char *process, GHashTable *posts, bool read_ends)
{
	struct json_object *entries = NULL;

	json_object_object_get_ex(line, "events", &entries);
	for (size_t i = 0; i < json_object_array_length(entries); i++) {
		struct json_object *entry = json_object_array_get_idx(entries, i);
		int64_t event = json_int(entry, "event");

		if (strcmp(json_text(entry, "process"), process) != 0)
			continue;
		if (read_ends && event == EVENT_ENDED)
			read_ended(round, entry, posts);
		else if (!read_ends && event == EVENT_SENT)
			read_sent(round, entry);
		else if (!read_ends && event == EVENT_TAKEN &&
			 strstr(json_text(entry, "note"), "rule=post"))
			g_hash_table_add(posts,
					 g_strdup(json_text(entry, "trace")));
	}
}

static void read_time_lines(struct round *round)
{
	GHashTable *posts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	static const char *const hosts[KILLED_HOST] = {"d0", "d1", "d2"};
	struct json_object *lines[KILLED_HOST];

	for (unsigned int i = 0; i < KILLED_HOST; i++) {
		char *text = rig_http_ok("GET", cluster.daemons[i]->admin_port,
					 "/v1/timeline", NULL);

		lines[i] = json_tokener_parse(text);
		g_free(text);
		read_time_line(round, lines[i], hosts[i], posts, false);
	}
	for (unsigned int i = 0; i < KILLED_HOST; i++) {
		read_time_line(round, lines[i], hosts[i], posts, true);
		json_object_put(lines[i]);
	}
	g_hash_table_unref(posts);
}

static void print_round(const struct round *round, int round_number)
{
	static const char *const kinds[] = {"GET", "POST"};
	int64_t first = INT64_MAX;
	int64_t last = 0;

	for (unsigned int i = 0; i < KILLED_HOST; i++) {
		first = MIN(first, round->detected_us[i]);
		last = MAX(last, round->detected_us[i]);
	}
	printf("round %d: %u calls sent to the host in the second before the "
	       "kill\n",
	       round_number, round->sent_before);
	if (round->sent)
		printf("  last call sent to it %.0f ms after the kill, %u sent "
		       "until then\n",
		       (double)(round->last_sent_us - round->killed_us) / 1000,
		       round->sent);
	else
		printf("  no call sent to it after the kill\n");
	printf("  known dead to the first after %.0f ms, to all after %.0f "
	       "ms\n",
	       (double)(first - round->killed_us) / 1000,
	       (double)(last - round->killed_us) / 1000);
	for (int kind = 0; kind < 2; kind++)
		printf("  %-4s run %u, not run %u, unknown %u\n", kinds[kind],
		       round->ended[kind][ENDED_RUN],
		       round->ended[kind][ENDED_NOT_RUN],
		       round->ended[kind][ENDED_UNKNOWN]);
	fflush(stdout);
}

static void run_round(int round_number)
{
	char *seed = g_strdup_printf("%d", 80 + round_number);
	struct round round = {0};
	struct ledger ledger = {0};
	struct ledger_load load =
		ledger_start_load(&cluster, CALLER_MASK, "240", "19", seed);

	rig_sleep_ms(IN_USE_MS);
	round.killed_us = g_get_real_time();
	rig_kill(cluster.daemons[KILLED_HOST]);
	rig_kill(cluster.upstreams[KILLED_HOST]);
	wait_detected(&round);
	read_time_lines(&round);
	print_round(&round, round_number);
	ledger_collect(&ledger, &cluster, &load);
	g_assert_cmpuint(ledger_violations(&ledger), ==, 0);
	cluster_start_daemon(&cluster, KILLED_HOST, &options);
	cluster_start_upstream(&cluster, KILLED_HOST, &options);
	cluster_wait_up(&cluster, HOSTS, DETECT_TIMEOUT_MS);
	g_free(seed);
}

int main(void)
{
	bench_print_head("bench/run failover");
	printf("%d hosts of %s slots, %s us per call, 240 calls per second at "
	       "two "
	       "of them, half GET and half POST, deadline %d ms; the fourth is "
	       "killed\n",
	       HOSTS, options.slots, options.service_time_us, LEDGER_DEADLINE_MS);
	cluster_start(&cluster, &options);
	for (int i = 1; i <= ROUNDS; i++)
		run_round(i);
	cluster_stop(&cluster);
	return 0;
}
