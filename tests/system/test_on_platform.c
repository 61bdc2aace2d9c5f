#include <glib.h>
#include <signal.h>
#include <string.h>

#include "fleet.h"

/*
 * The daemons as the users' platform runs them: the operator's row is in the
 * store, upstreams send heartbeats, and the platform polls readiness.
 */

#define HOSTS 3
#define SLOTS 8
#define WAIT_MS 10000
#define CALL_MS 5000
#define PROPAGATION_MAX_MS 2000

static const struct fleet_options options = {
	.count = HOSTS,
	.domains = HOSTS,
	.slots = G_STRINGIFY(SLOTS),
	.service_time_us = "10000",
};
static struct fleet fleet;
static unsigned int requests;

static void set_upstream(unsigned int i, const char *body)
{
	fleet_set_upstream(&fleet, i, body);
}

static unsigned int runs_at(unsigned int i)
{
	return fleet_count_runs_on_host(&fleet, i);
}

static struct rig_answer *call_as(unsigned int i, const char *method,
				  const char *path, const char *id)
{
	const char *headers[] = {"Host",
				 "a.example",
				 "X-Comfreydock-Request-Id",
				 id,
				 "X-Comfreydock-Deadline-Ms",
				 "3000",
				 "X-Comfreydock-Caller-Service",
				 "forged",
				 NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    fleet.hosts[i].caller, path);
	struct rig_answer *answer = rig_http(
		method, url, headers, *method == 'P' ? "{}" : NULL, CALL_MS);

	g_free(url);
	return answer;
}

/* RETURN VALUE: the status, or 0 if no complete answer arrived. */
static long call(unsigned int i, const char *method, const char *path)
{
	char id[32];
	struct rig_answer *answer;
	long status;

	g_snprintf(id, sizeof(id), "request-%u", ++requests);
	answer = call_as(i, method, path, id);
	status = answer->arrived ? answer->status : 0;
	rig_answer_free(answer);
	return status;
}

static bool is_ready(void *data)
{
	return fleet_readiness(&fleet, GPOINTER_TO_UINT(data)) == 200;
}

struct served {
	unsigned int entry;
	const char *path;
};

static bool is_served(void *data)
{
	const struct served *served = data;

	return call(served->entry, "GET", served->path) == 200;
}

static void wait_served(unsigned int entry, const char *path, int timeout_ms)
{
	struct served served = {entry, path};

	g_assert_true(rig_wait_until(is_served, &served, timeout_ms));
}

static bool has_upstream(void *data)
{
	return fleet_has_upstream(&fleet, GPOINTER_TO_UINT(data));
}

static void wait_upstream(unsigned int i)
{
	g_assert_true(rig_wait_until(has_upstream, GUINT_TO_POINTER(i), WAIT_MS));
}

static void call_some(unsigned int entry, unsigned int count)
{
	for (unsigned int n = 0; n < count; n++)
		g_assert_cmpint(call(entry, "GET", "/list/1"), ==, 200);
}

static uint64_t metric(unsigned int i, const char *name)
{
	return fleet_metric(&fleet, i, name);
}

static bool knows_all(void *data)
{
	return metric(GPOINTER_TO_UINT(data),
		      "comfreydock_members{state=\"alive\"}") == HOSTS;
}

/* A daemon without a configuration must not be ready, as it would answer 404 on
 * each path. */
static void test_ready_with_a_configuration_only(void)
{
	g_assert_cmpint(fleet_readiness(&fleet, 0), ==, 503);
	g_assert_cmpint(call(0, "GET", "/list/1"), ==, 503);
	fleet_put_config(&fleet, 3, "list");
	for (unsigned int i = 0; i < HOSTS; i++) {
		g_assert_true(rig_wait_until(is_ready, GUINT_TO_POINTER(i),
					     PROPAGATION_MAX_MS));
		wait_upstream(i);
		wait_served(i, "/list/1", WAIT_MS);
		/* The later tests need a choice of upstreams. */
		g_assert_true(rig_wait_until(knows_all, GUINT_TO_POINTER(i),
					     WAIT_MS));
	}
	g_assert_cmpint(call(0, "GET", "/none/1"), ==, 404);
}

/* The answer is the upstream's own. The upstream sees the service of the
 * entry's host as the caller, whatever the request claimed. */
static void test_answers_are_the_upstreams(void)
{
	struct rig_answer *answer = call_as(1, "POST", "/book/1", "booking-1");

	g_assert_cmpint(answer->status, ==, 200);
	g_assert_cmpstr(g_hash_table_lookup(answer->headers,
					    "x-comfreydock-request-id"),
			==, "booking-1");
	g_assert_cmpstr(g_hash_table_lookup(answer->headers,
					    "x-comfreydock-response-signature"),
			==, "booking-1");
	g_assert_cmpstr(
		g_hash_table_lookup(answer->headers, "x-seen-caller-service"),
		==, "beside-1");
	g_assert_cmpuint(fleet_count_runs_of_id(&fleet, "booking-1"), ==, 1);
	rig_answer_free(answer);
}

/*
 * An upstream leaves the answer to another request on its connection. The next
 * caller must not receive it: an idempotent request is retried, and a POST of
 * unknown outcome is reported as such and runs only once.
 */
static void test_mismatched_answers_are_discarded(void)
{
	for (unsigned int i = 0; i < HOSTS; i++)
		set_upstream(i, "{\"strange_next\": 1}");
	for (unsigned int n = 0; n < 12; n++) {
		char id[32];
		struct rig_answer *answer;

		g_snprintf(id, sizeof(id), "strange-%u", n);
		answer = call_as(n % HOSTS, "POST", "/book/1", id);
		g_assert_true(answer->arrived);
		if (answer->status == 200)
			g_assert_cmpstr(
				g_hash_table_lookup(answer->headers,
						    "x-comfreydock-request-id"),
				==, id);
		else
			g_assert_cmpint(answer->status, ==, 502);
		g_assert_cmpuint(fleet_count_runs_of_id(&fleet, id), ==, 1);
		rig_answer_free(answer);
	}
}

/* Slows all other hosts, so that calls prefer this one; HOSTS slows none. */
static void prefer_host(unsigned int preferred)
{
	for (unsigned int i = 0; i < HOSTS; i++)
		set_upstream(i, i == preferred || preferred == HOSTS ?
					"{\"pace_percent\": 100}" :
					"{\"pace_percent\": 1000}");
	rig_sleep_ms(100);
}

/* An upstream runs a POST and answers 503 without the field that says it did
 * not run. The daemon must neither forward the 503 nor retry the request. */
static void test_false_not_run_is_not_forwarded(void)
{
	unsigned int calls = 0;

	for (unsigned int i = 0; i < HOSTS; i++) {
		bool broken = false;

		prefer_host(i);
		set_upstream(i, "{\"promise_next\": 1}");
		for (unsigned int n = 0; n < 20 && !broken; n++) {
			char id[32];
			struct rig_answer *answer;

			g_snprintf(id, sizeof(id), "promise-%u", ++calls);
			answer = call_as(n % HOSTS, "POST", "/book/1", id);
			g_assert_cmpint(answer->status, !=, 503);
			broken = answer->status == 502;
			g_assert_cmpuint(fleet_count_runs_of_id(&fleet, id), ==,
					 1);
			rig_answer_free(answer);
		}
		g_assert_true(broken);
	}
	prefer_host(HOSTS);
}

/* While one host is slow, the others take over its share of the calls. */
static void test_slow_host_is_avoided(void)
{
	unsigned int before;

	call_some(0, 10);
	set_upstream(0, "{\"pace_percent\": 1000}");
	rig_sleep_ms(200);
	call_some(0, 5);
	before = runs_at(0);
	call_some(0, 40);
	g_test_message("%u of 40 ran on the slow host", runs_at(0) - before);
	g_assert_cmpuint(runs_at(0) - before, <=, 4);
	set_upstream(0, "{\"pace_percent\": 100}");
	rig_sleep_ms(500);
	call_some(0, 40);
	g_assert_cmpuint(runs_at(0) - before, >, 4);
}

static void set_draining(unsigned int i, bool drains)
{
	set_upstream(i,
		     drains ? "{\"draining\": true}" : "{\"draining\": false}");
}

static gpointer call_with_long_deadline(gpointer data)
{
	return GINT_TO_POINTER(call(GPOINTER_TO_UINT(data), "GET", "/patient/1"));
}

/*
 * All slots of a host are busy and more requests are queued when the host
 * becomes slow for a while. If each free slot took a queued request, that would
 * run thousands of times as long and occupy the slot long after the slow spell:
 * callers would wait, and new calls would be refused. If the queued requests
 * wait until the spell ends, all are answered soon after it.
 */
static void test_queued_attempts_wait_out_a_slow_spell(void)
{
	GThread *callers[2 * SLOTS];
	uint64_t slow_starts = metric(0, "comfreydock_gate_slow_starts");
	unsigned int runs = runs_at(0);

	for (unsigned int i = 1; i < HOSTS; i++)
		set_draining(i, true);
	rig_sleep_ms(1000);
	set_upstream(0, "{\"factor\": 40}");
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		callers[i] = g_thread_new("caller", call_with_long_deadline,
					  GUINT_TO_POINTER(0));
	rig_sleep_ms(200);
	set_upstream(0, "{\"factor\": 1, \"pace_percent\": 300000}");
	rig_sleep_ms(500);
	set_upstream(0, "{\"pace_percent\": 100}");
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		g_assert_cmpint(GPOINTER_TO_INT(g_thread_join(callers[i])), ==,
				200);
	g_assert_cmpuint(runs_at(0) - runs, ==, 2 * SLOTS);
	g_assert_cmpuint(metric(0, "comfreydock_gate_slow_starts"), ==,
			 slow_starts);
	for (unsigned int i = 1; i < HOSTS; i++) {
		set_draining(i, false);
		wait_upstream(i);
	}
}

/* Heartbeats report that the upstream is draining: no new request starts there,
 * and no call fails. */
static void test_drain_by_heartbeat(void)
{
	unsigned int before;

	set_upstream(1, "{\"draining\": true}");
	rig_sleep_ms(1000);
	before = runs_at(1);
	call_some(1, 30);
	g_assert_cmpuint(runs_at(1), ==, before);
	g_assert_cmpint(fleet_readiness(&fleet, 1), ==, 200);
	set_upstream(1, "{\"draining\": false}");
	wait_upstream(1);
}

/*
 * An upstream deregisters without having drained and keeps running for a while.
 * Its daemon is killed and restarted at that moment, so it does not know of the
 * deregistration, and then a delayed heartbeat from before it arrives. The
 * upstream must not get attempts again, because it was told that it may stop.
 */
static void test_late_heartbeat_after_deregistration(void)
{
	unsigned int before;

	set_upstream(2, "{\"leave\": true}");
	rig_sleep_ms(500);
	before = runs_at(2);
	call_some(2, 10);
	rig_kill(fleet.hosts[2].daemon);
	fleet_start_daemon(&fleet, 2);
	g_assert_true(rig_wait_until(is_ready, GUINT_TO_POINTER(2), WAIT_MS));
	set_upstream(2, "{\"old_report\": true}");
	rig_sleep_ms(1000);
	g_assert_false(has_upstream(GUINT_TO_POINTER(2)));
	for (unsigned int i = 0; i < HOSTS; i++)
		call_some(i, 10);
	g_assert_cmpuint(runs_at(2), ==, before);
	/* A new instance at another address is accepted. */
	rig_kill(fleet.hosts[2].upstream);
	fleet_start_upstream(&fleet, 2);
	wait_upstream(2);
	wait_served(2, "/list/1", WAIT_MS);
}

/*
 * The upstream crashes and another instance listens on its port before it has
 * sent a heartbeat. It must not run requests that were meant for the former.
 */
static void test_other_instance_runs_nothing(void)
{
	char *port = g_strdup_printf("%u", fleet.hosts[0].upstream->port);
	struct rig_process *other;
	char *counts;

	rig_kill(fleet.hosts[0].upstream);
	other = rig_start_standin(fleet.rig, "standin/upstream/standin-upstream",
				  "--port", port, "--instance", "i-other",
				  "--service", FLEET_SERVICE, "--runs",
				  fleet.hosts[0].runs_file, NULL);
	for (unsigned int n = 0; n < 20; n++)
		g_assert_cmpint(call(0, "POST", "/book/1"), ==, 200);
	counts = rig_http_ok("GET", other->port, "/standin/runs", NULL);
	g_assert_cmpint(rig_json_int(counts, "started"), ==, 0);
	g_free(counts);
	rig_kill(other);
	fleet_start_upstream(&fleet, 0);
	wait_upstream(0);
	g_free(port);
}

/*
 * The store is down while a daemon is replaced. The new daemon still finds its
 * peers and the configuration, because the peers that knew its predecessor
 * contact it. Otherwise it would refuse all calls until the store is back.
 */
static void test_restart_without_the_store(void)
{
	fleet_set_store(&fleet, "{\"down\": true}");
	rig_signal(fleet.hosts[1].daemon, SIGTERM);
	g_assert_cmpint(fleet_readiness(&fleet, 1), ==, 503);
	g_assert_cmpint(call(1, "GET", "/list/1"), ==, 200);
	g_assert_cmpint(rig_wait_end(fleet.hosts[1].daemon, WAIT_MS), ==, 0);
	fleet_start_daemon(&fleet, 1);
	g_assert_true(rig_wait_until(is_ready, GUINT_TO_POINTER(1), WAIT_MS));
	wait_upstream(1);
	wait_served(1, "/list/1", WAIT_MS);
	g_assert_cmpint(call(1, "GET", "/none/1"), ==, 404);
	fleet_set_store(&fleet, "{\"down\": false}");
}

/* A change is in force on all hosts within seconds, even if the store has
 * compacted its history in between. */
static void test_configuration_changes_reach_all_hosts(void)
{
	fleet_put_config(&fleet, 5, "moved");
	for (unsigned int i = 0; i < HOSTS; i++) {
		wait_served(i, "/moved/1", PROPAGATION_MAX_MS + 1000);
		g_assert_cmpint(call(i, "GET", "/list/1"), ==, 404);
	}
	fleet_set_store(&fleet, "{\"status\": 503}");
	fleet_put_config(&fleet, 9, "again");
	g_free(rig_http_ok("POST", fleet.store->port, "/standin/compact", ""));
	rig_sleep_ms(300);
	fleet_set_store(&fleet, "{\"status\": 0}");
	for (unsigned int i = 0; i < HOSTS; i++)
		wait_served(i, "/again/1", PROPAGATION_MAX_MS + 1000);
	/* An older version changes nothing. */
	fleet_put_config(&fleet, 8, "older");
	rig_sleep_ms(500);
	for (unsigned int i = 0; i < HOSTS; i++) {
		g_assert_cmpint(call(i, "GET", "/again/1"), ==, 200);
		g_assert_cmpint(call(i, "GET", "/older/1"), ==, 404);
	}
	fleet_put_config(&fleet, 10, "list");
	for (unsigned int i = 0; i < HOSTS; i++)
		wait_served(i, "/list/1", PROPAGATION_MAX_MS + 1000);
}

/*
 * An upstream sends mismatched answers while its health path reports that it is
 * healthy. Each such POST ends with an unknown outcome. If only the entries
 * learned of the fault, each would lose calls before it avoids the upstream;
 * the upstream's own daemon knows first and opens its breaker.
 */
static void test_failing_upstream_opens_the_breaker(void)
{
	gint64 began = g_get_monotonic_time();
	unsigned int unknown = 0;
	unsigned int took_s;

	prefer_host(1);
	set_upstream(1, "{\"strange_next\": 100000}");
	for (unsigned int n = 0; n < 60; n++) {
		unknown += call(n % HOSTS, "POST", "/book/1") == 502;
		/* The rule allows a single attempt. */
		unknown += call(n % HOSTS, "GET", "/once/1") == 502;
		call(n % HOSTS, "GET", "/list/1");
	}
	g_test_message("%u of 120 calls had an unknown outcome", unknown);
	g_assert_cmpuint(unknown, >, 0);
	/* The calls that opened the breaker, and one trial for each second in
	 * which no idempotent request served as the trial. */
	took_s = (unsigned int)((g_get_monotonic_time() - began) / G_USEC_PER_SEC);
	g_assert_cmpuint(unknown, <=, 5 + took_s * 3 / 4);
	set_upstream(1, "{\"strange_next\": 0}");
	prefer_host(HOSTS);
	/* Idempotent requests serve as trials and close the breaker. */
	for (unsigned int n = 0; n < 100; n++)
		g_assert_cmpint(call(n % HOSTS, "GET", "/list/1"), ==, 200);
}

/* The metrics that on-call engineers look at first: how calls ended, and where
 * their time was spent. */
static void test_metrics_count_calls_and_latencies(void)
{
	uint64_t before = metric(0, "comfreydock_calls{rule=\"get\","
				    "outcome=\"run\"}");
	uint64_t times = metric(0, "comfreydock_call_added_seconds_count");

	call_some(0, 5);
	g_assert_cmpuint(metric(0, "comfreydock_calls{rule=\"get\","
				   "outcome=\"run\"}"),
			 ==, before + 5);
	g_assert_cmpuint(metric(0, "comfreydock_call_added_seconds_count"), ==,
			 times + 5);
	g_assert_cmpuint(metric(0, "comfreydock_members{state=\"alive\"}"), ==,
			 HOSTS);
	g_assert_cmpuint(metric(0, "comfreydock_store_calls{call=\"read\","
				   "result=\"ok\"}"),
			 >, 0);
	g_assert_cmpuint(metric(0, "comfreydock_retry_budget_most{group="
				   "\"" FLEET_SERVICE "\"}"),
			 >=, 1);
	g_assert_cmpuint(metric(0, "comfreydock_config_version{namespace="
				   "\"operator\"}"),
			 >, 0);
	g_assert_cmpuint(metric(0, "comfreydock_config_behind"), ==, 0);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	g_test_add_func("/on-platform/ready",
			test_ready_with_a_configuration_only);
	g_test_add_func("/on-platform/answers", test_answers_are_the_upstreams);
	g_test_add_func("/on-platform/mismatched-answers",
			test_mismatched_answers_are_discarded);
	g_test_add_func("/on-platform/false-not-run",
			test_false_not_run_is_not_forwarded);
	g_test_add_func("/on-platform/slow", test_slow_host_is_avoided);
	g_test_add_func("/on-platform/slow-spell-queue",
			test_queued_attempts_wait_out_a_slow_spell);
	g_test_add_func("/on-platform/drain", test_drain_by_heartbeat);
	g_test_add_func("/on-platform/late-heartbeat",
			test_late_heartbeat_after_deregistration);
	g_test_add_func("/on-platform/other-instance",
			test_other_instance_runs_nothing);
	g_test_add_func("/on-platform/failing",
			test_failing_upstream_opens_the_breaker);
	g_test_add_func("/on-platform/metrics",
			test_metrics_count_calls_and_latencies);
	g_test_add_func("/on-platform/restart", test_restart_without_the_store);
	g_test_add_func("/on-platform/changes",
			test_configuration_changes_reach_all_hosts);
	status = g_test_run();
	fleet_stop(&fleet);
	return status;
}
