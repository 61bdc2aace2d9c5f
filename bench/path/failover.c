/*
 * NAME
 *	bench-failover - what callers see of a host that loses its power
 *
 * SYNOPSIS
 *	bench-failover
 *
 * DESCRIPTION
 *	Four hosts, callers at two of them with both kinds of calls. The fourth
 *	host's daemon and upstream get SIGKILL, ROUNDS times. Read from the time
 *	lines of the other three: when the last call was sent to it, and how the
 *	calls ended that ended between the kill and a deadline after that. Asked
 *	of each: when it holds the host for dead.
 */
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "ledger.h"

#define ROUNDS 4
#define HOSTS 4
#define VICTIM 3
/* At two of them, each with more than its own upstream can take: the rest of it
 * goes to the others. */
#define CALLERS 3u
#define KNOWN_MS 30000
#define POLL_MS 10
/* Until the others send it work: one that nothing is known of gets little. */
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
	int64_t killed_us; /* wall clock, as the time lines' */
	int64_t last_sent_us; /* 0: none */
	int64_t known_us[HOSTS];
	unsigned int sent_before; /* in the last second before */
	unsigned int sent;
	unsigned int ended[2][ENDINGS]; /* [0]: GET, [1]: POST */
};

static bool holds_for_dead(unsigned int i)
{
	char *hosts = rig_http_ok("GET", cluster.daemons[i]->admin_port,
				  "/v1/hosts", NULL);
	char *at = strstr(hosts, "\"host\":\"d3\"");
	char *state = at ? strstr(at, "\"state\":\"") : NULL;
	bool dead = state && g_str_has_prefix(state, "\"state\":\"dead\"");

	g_free(hosts);
	return dead;
}

static void wait_known(struct round *round)
{
	unsigned int known = 0;

	for (int waited = 0; known < VICTIM && waited < KNOWN_MS;
	     waited += POLL_MS) {
		for (unsigned int i = 0; i < VICTIM; i++) {
			if (round->known_us[i] || !holds_for_dead(i))
				continue;
			round->known_us[i] = g_get_real_time();
			known++;
		}
		rig_sleep_ms(POLL_MS);
	}
	g_assert_cmpuint(known, ==, VICTIM);
}

static const char *member(struct json_object *entry, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(entry, name, &value);
	return json_object_get_string(value);
}

static int64_t number(struct json_object *entry, const char *name)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(entry, name, &value);
	return json_object_get_int64(value);
}

static void read_sent(struct round *round, struct json_object *entry)
{
	int64_t time = number(entry, "time");

	if (!strstr(member(entry, "note"), "to=d3 "))
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
	const char *note = member(entry, "note");
	int64_t time = number(entry, "time");
	int64_t until = MAX(round->last_sent_us, round->killed_us) +
			LEDGER_DEADLINE_MS * 1000;
	bool post = g_hash_table_contains((GHashTable *)posts,
					  member(entry, "trace"));
	enum ending ending = g_str_has_prefix(note, "not-run") ? ENDED_NOT_RUN :
			     g_str_has_prefix(note, "run")     ? ENDED_RUN :
								 ENDED_UNKNOWN;

	if (time >= round->killed_us && time <= until)
		round->ended[post][ending]++;
}

/* First what was sent and taken; only then the window is known. A daemon's
 * answer holds events of the others as well, which tell theirs themselves. */
static void read_time_line(struct round *round, struct json_object *line,
			   const char *process, GHashTable *posts, bool ends)
{
	struct json_object *entries = NULL;

	json_object_object_get_ex(line, "events", &entries);
	for (size_t i = 0; i < json_object_array_length(entries); i++) {
		struct json_object *entry = json_object_array_get_idx(entries, i);
		int64_t event = number(entry, "event");

		if (strcmp(member(entry, "process"), process) != 0)
			continue;
		if (ends && event == EVENT_ENDED)
			read_ended(round, entry, posts);
		else if (!ends && event == EVENT_SENT)
			read_sent(round, entry);
		else if (!ends && event == EVENT_TAKEN &&
			 strstr(member(entry, "note"), "rule=post"))
			g_hash_table_add(posts,
					 g_strdup(member(entry, "trace")));
	}
}

static void read_time_lines(struct round *round)
{
	GHashTable *posts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	static const char *const hosts[VICTIM] = {"d0", "d1", "d2"};
	struct json_object *lines[VICTIM];

	for (unsigned int i = 0; i < VICTIM; i++) {
		char *text = rig_http_ok("GET", cluster.daemons[i]->admin_port,
					 "/v1/timeline", NULL);

		lines[i] = json_tokener_parse(text);
		g_free(text);
		read_time_line(round, lines[i], hosts[i], posts, false);
	}
	for (unsigned int i = 0; i < VICTIM; i++) {
		read_time_line(round, lines[i], hosts[i], posts, true);
		json_object_put(lines[i]);
	}
	g_hash_table_unref(posts);
}

static void print_round(const struct round *round, int number_of)
{
	static const char *const kinds[] = {"GET", "POST"};
	int64_t first = INT64_MAX;
	int64_t last = 0;

	for (unsigned int i = 0; i < VICTIM; i++) {
		first = MIN(first, round->known_us[i]);
		last = MAX(last, round->known_us[i]);
	}
	printf("round %d: %u calls sent to it in the second before\n",
	       number_of, round->sent_before);
	if (round->sent)
		printf("  last call sent to it after %.0f ms, %u sent by "
		       "then\n",
		       (double)(round->last_sent_us - round->killed_us) / 1000,
		       round->sent);
	else
		printf("  no call sent to it after that\n");
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

static void run_round(int number_of)
{
	char *seed = g_strdup_printf("%d", 80 + number_of);
	struct round round = {0};
	struct ledger ledger = {0};
	struct ledger_load load =
		ledger_start_load(&cluster, CALLERS, "240", "19", seed);

	rig_sleep_ms(IN_USE_MS);
	round.killed_us = g_get_real_time();
	rig_kill(cluster.daemons[VICTIM]);
	rig_kill(cluster.upstreams[VICTIM]);
	wait_known(&round);
	read_time_lines(&round);
	print_round(&round, number_of);
	ledger_collect(&ledger, &cluster, &load);
	g_assert_cmpuint(ledger_violations(&ledger), ==, 0);
	cluster_start_daemon(&cluster, VICTIM, &options);
	cluster_start_upstream(&cluster, VICTIM, &options);
	cluster_wait_up(&cluster, HOSTS, KNOWN_MS);
	g_free(seed);
}

int main(void)
{
	bench_print_head("bench/run failover");
	printf("%d hosts of %s slots, %s us a call, 240 calls a second at "
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
