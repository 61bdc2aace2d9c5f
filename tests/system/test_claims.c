#include <glib.h>
#include <signal.h>
#include <string.h>

#include "cluster.h"

#define COME_BACK_MS 10000

static struct cluster cluster;
static const struct cluster_options options = {
	.count = 3,
	.service_time_us = "200000",
	.config = "{ \"namespace\": \"t\", \"services\": {\"s\": {\n"
		  "  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"
		  "  \"rules\": [{\"name\": \"book\", \"deadline_ms\": 4000,\n"
		  "    \"once_per_key\": {\"lifetime_s\": 600}}]}}}\n",
};

/* One booking; the key is the request id by which upstreams count runs. */
static struct rig_answer *book(unsigned int daemon, const char *key)
{
	const char *headers[] = {"X-Request-Id", key, "Idempotency-Key", key,
				 NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%u/book",
				    cluster.daemons[daemon]->caller_port);
	struct rig_answer *answer =
		rig_http("POST", url, headers, "slot=7", 15000);

	g_free(url);
	return answer;
}

static void expect(struct rig_answer *answer, long status, const char *outcome)
{
	g_assert_true(answer->arrived);
	g_assert_cmpstr(cluster_outcome(answer), ==, outcome);
	g_assert_cmpint((int)answer->status, ==, (int)status);
	rig_answer_free(answer);
}

static void fault(const char *json)
{
	g_free(rig_http_ok("POST", cluster.platform->port, "/standin/fault",
			   json));
}

/* Of claims only: the daemons write their hosts' rows when they like. */
static int64_t claim_writes(void)
{
	int64_t writes = 0;

	for (unsigned int i = 0; i < cluster.count; i++)
		writes += cluster_counter(&cluster, i, "claims_writes");
	return writes;
}

/* Figures of docs/design/claims.md: the claim and its mark, then one write
 * that its condition refuses. */
static void test_writes_of_a_booking(void)
{
	int64_t before = claim_writes();

	expect(book(0, "writes"), 200, "run");
	rig_sleep_ms(300);
	g_assert_cmpint(claim_writes() - before, ==, 2);
	expect(book(1, "writes"), 409, "already-run");
	g_assert_cmpint(claim_writes() - before, ==, 3);
}

/*
 * A client's network drops the answer to its booking. It sends the request
 * again and reaches another daemon, which knows nothing of the first. Run
 * twice, it would bill the franchise twice.
 */
static void test_second_send_does_not_run(void)
{
	for (unsigned int i = 0; i < cluster.count; i++) {
		struct rig_answer *answer = book(i, "again");

		if (i > 0)
			g_assert_cmpstr(
				g_hash_table_lookup(answer->headers,
						    "comfreydock-first-status"),
				==, "200");
		expect(answer, i > 0 ? 409 : 200, i > 0 ? "already-run" : "run");
		g_assert_cmpint(cluster_runs(&cluster, "again"), ==, 1);
		/* The mark follows the answer. */
		rig_sleep_ms(200);
	}
}

struct sender {
	unsigned int daemon;
	const char *key;
	GThread *thread;
	struct rig_answer *answer;
};

static gpointer send_booking(gpointer data)
{
	struct sender *sender = data;

	sender->answer = book(sender->daemon, sender->key);
	return NULL;
}

/* An impatient user taps three times, and each tap takes another way. */
static void test_sends_at_once_run_once(void)
{
	for (int round = 0; round < 5; round++) {
		struct sender senders[3] = {{0}};
		char *key = g_strdup_printf("tap-%d", round);
		unsigned int run = 0;

		for (unsigned int i = 0; i < 3; i++) {
			senders[i].daemon = i;
			senders[i].key = key;
			senders[i].thread =
				g_thread_new("tap", send_booking, &senders[i]);
		}
		for (unsigned int i = 0; i < 3; i++) {
			struct rig_answer *answer;

			g_thread_join(senders[i].thread);
			answer = senders[i].answer;
			if (strcmp(cluster_outcome(answer), "run") == 0)
				run++;
			else
				g_assert_cmpint((int)answer->status, ==, 409);
			rig_answer_free(answer);
		}
		g_assert_cmpuint(run, ==, 1);
		g_assert_cmpint(cluster_runs(&cluster, key), ==, 1);
		g_free(key);
	}
}

/* The platform takes the claims, but loses most of its answers. */
static void test_lost_answers_cost_no_booking(void)
{
	fault("{\"lose_answer_share\": 0.7, \"seed\": 3}");
	for (int i = 0; i < 8; i++) {
		char *key = g_strdup_printf("lost-%d", i);

		expect(book(0, key), 200, "run");
		rig_answer_free(book(1, key));
		g_assert_cmpint(cluster_runs(&cluster, key), ==, 1);
		g_free(key);
	}
	fault("{\"lose_answer_share\": 0}");
}

/* Whether the key was taken can't be known during an outage, so its request
 * is refused at once, as not run. One without a key goes on. */
static void test_outage_refuses_keys_only(void)
{
	struct rig_answer *answer;

	fault("{\"down\": true}");
	answer = book(0, "outage");
	g_assert_cmpstr(
		g_hash_table_lookup(answer->headers, "comfreydock-reason"), ==,
		"no-claim");
	g_assert_nonnull(g_hash_table_lookup(answer->headers, "retry-after"));
	expect(answer, 503, "not-run");
	g_assert_cmpint(cluster_runs(&cluster, "outage"), ==, 0);
	answer = cluster_call(&cluster, 0, "POST", "/book", "no-key", "", 5000);
	expect(answer, 200, "run");
	fault("{\"down\": false}");
}

static bool runs_now(void *data)
{
	struct rig_answer *answer = book(1, data);
	bool run = strcmp(cluster_outcome(answer), "run") == 0;

	rig_answer_free(answer);
	return run;
}

static void tell_upstreams(const char *path)
{
	for (unsigned int i = 0; i < cluster.count; i++)
		g_free(rig_http_ok("POST", cluster.daemons[i]->admin_port, path,
				   ""));
}

/* All servers are being drained when the booking comes. It was told "not run",
 * so the same key must be free for the next attempt. */
static void test_refused_booking_may_come_again(void)
{
	tell_upstreams("/v1/upstream/drain");
	expect(book(0, "drained"), 503, "not-run");
	g_assert_cmpint(cluster_runs(&cluster, "drained"), ==, 0);
	tell_upstreams("/v1/upstream/resume");
	g_assert_true(rig_wait_until(runs_now, "drained", COME_BACK_MS));
	g_assert_cmpint(cluster_runs(&cluster, "drained"), ==, 1);
}

/*
 * The daemon that took the booking dies before it has answered. Its work may
 * be running still, so the key stays taken, and nobody says "not run".
 */
static void test_key_of_a_lost_booking_stays_taken(void)
{
	struct sender sender = {.daemon = 2, .key = "died"};
	struct rig_answer *answer;

	sender.thread = g_thread_new("book", send_booking, &sender);
	rig_sleep_ms(120);
	rig_kill(cluster.daemons[2]);
	g_thread_join(sender.thread);
	g_assert_false(sender.answer->arrived);
	rig_answer_free(sender.answer);
	rig_sleep_ms(500);
	for (unsigned int i = 0; i < 2; i++) {
		answer = book(i, "died");
		g_assert_cmpint((int)answer->status, ==, 409);
		g_assert_cmpstr(cluster_outcome(answer), ==, "unknown");
		rig_answer_free(answer);
	}
	g_assert_cmpint(cluster_runs(&cluster, "died"), <=, 1);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/claims/second", test_second_send_does_not_run);
	g_test_add_func("/claims/writes", test_writes_of_a_booking);
	g_test_add_func("/claims/at-once", test_sends_at_once_run_once);
	g_test_add_func("/claims/lost", test_lost_answers_cost_no_booking);
	g_test_add_func("/claims/outage", test_outage_refuses_keys_only);
	g_test_add_func("/claims/refused", test_refused_booking_may_come_again);
	g_test_add_func("/claims/died", test_key_of_a_lost_booking_stays_taken);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
