#include <glib.h>
#include <signal.h>
#include <string.h>

#include "fleet.h"

/* Hosts d0 and d2 are in hall-0, d1 and d3 in hall-1. */
#define HOSTS 4
#define DOMAINS 2
#define WAIT_MS 10000
/* A domain gets no requests so long after it was evacuated. */
#define EVACUATED_MS 5000
#define COLD_MS 4000
#define COLD_PER_S 10
#define CALLS 40

static const struct fleet_options options = {
	.count = HOSTS,
	.domains = DOMAINS,
	.slots = "8",
	.service_time_us = "10000",
	.cold_ms = COLD_MS,
	.cold_per_s = COLD_PER_S,
};
static struct fleet fleet;

static bool is_host_in(unsigned int host, unsigned int domain)
{
	return host % DOMAINS == domain;
}

static void order(const char *entries)
{
	g_free(rig_http_ok("POST", fleet.store->port, "/standin/operator",
			   entries));
}

static void evacuate(unsigned int domain)
{
	char *entries = g_strdup_printf(
		"{\"expect\":[],\"setKeys\":[{\"table\":\"op\",\"part\":\"\","
		"\"key\":\"evacuate/hall-%u\",\"value\":\"e30=\"}],"
		"\"remove\":[]}",
		domain);

	order(entries);
	g_free(entries);
}

static void restore(unsigned int domain)
{
	char *entries = g_strdup_printf(
		"{\"expect\":[],\"setKeys\":[],\"remove\":[{\"table\":\"op\","
		"\"part\":\"\",\"key\":\"evacuate/hall-%u\"}]}",
		domain);

	order(entries);
	g_free(entries);
}

static bool holds(unsigned int host, unsigned int domain)
{
	return fleet_metric(&fleet, host, "comfreydock_upstream_evacuated") ==
	       is_host_in(host, domain);
}

static bool domain_is_out(void *data)
{
	for (unsigned int i = 0; i < HOSTS; i++) {
		if (!holds(i, GPOINTER_TO_UINT(data)))
			return false;
	}
	return true;
}

static bool all_are_out(void *data)
{
	(void)data;
	for (unsigned int i = 0; i < HOSTS; i++) {
		if (fleet_metric(&fleet, i, "comfreydock_evacuated_domains") <
		    DOMAINS)
			return false;
	}
	return true;
}

static bool none_is_out(void *data)
{
	(void)data;
	for (unsigned int i = 0; i < HOSTS; i++) {
		if (fleet_metric(&fleet, i, "comfreydock_upstream_evacuated"))
			return false;
	}
	return true;
}

static bool all_know_all(void *data)
{
	(void)data;
	return fleet_knows_all(&fleet);
}

static unsigned int count_runs(unsigned int domain)
{
	unsigned int runs = 0;

	for (unsigned int i = 0; i < HOSTS; i++) {
		if (is_host_in(i, domain))
			runs += fleet_count_runs_on_host(&fleet, i);
	}
	return runs;
}

/* Calls through all entries. RETURN VALUE: how many were served. */
static unsigned int call_through_all(unsigned int count)
{
	unsigned int served = 0;

	for (unsigned int n = 0; n < count; n++)
		served += fleet_get(&fleet, n % HOSTS, "/list/1") == 200;
	return served;
}

static bool is_served(void *data)
{
	return fleet_get(&fleet, GPOINTER_TO_UINT(data), "/list/1") == 200;
}

static void test_start(void)
{
	fleet_put_config(&fleet, 3, "list");
	for (unsigned int i = 0; i < HOSTS; i++)
		g_assert_true(rig_wait_until(is_served, GUINT_TO_POINTER(i),
					     WAIT_MS));
	rig_sleep_ms(COLD_MS);
}

/* Guards against requests that still reach the upstreams of an evacuated domain.
 * Its daemons go on as entries. */
static void test_evacuated_domain_gets_nothing(void)
{
	unsigned int runs;

	evacuate(0);
	g_assert_true(rig_wait_until(domain_is_out, GUINT_TO_POINTER(0),
				     EVACUATED_MS));
	runs = count_runs(0);
	g_assert_cmpuint(call_through_all(CALLS), ==, CALLS);
	g_assert_cmpuint(count_runs(0), ==, runs);
	restore(0);
	g_assert_true(rig_wait_until(none_is_out, NULL, EVACUATED_MS));
	call_through_all(2 * CALLS);
	g_assert_cmpuint(count_runs(0), >, runs);
}

/* Guards against a daemon that forgets the evacuation: all lose their memory at
 * once, and the store is away as one more starts. */
static void test_evacuation_survives_restarts(void)
{
	unsigned int runs;

	evacuate(1);
	g_assert_true(rig_wait_until(domain_is_out, GUINT_TO_POINTER(1),
				     EVACUATED_MS));
	runs = count_runs(1);
	for (unsigned int i = 0; i < HOSTS; i++)
		rig_kill(fleet.hosts[i].daemon);
	for (unsigned int i = 0; i < HOSTS; i++)
		fleet_start_daemon(&fleet, i);
	g_assert_true(rig_wait_until(domain_is_out, GUINT_TO_POINTER(1), WAIT_MS));
	g_assert_true(rig_wait_until(all_know_all, NULL, WAIT_MS));
	fleet_set_store(&fleet, "{\"down\":true}");
	rig_kill(fleet.hosts[1].daemon);
	fleet_start_daemon(&fleet, 1);
	g_assert_true(rig_wait_until(domain_is_out, GUINT_TO_POINTER(1), WAIT_MS));
	g_assert_cmpuint(count_runs(1), ==, runs);
	fleet_set_store(&fleet, "{\"down\":false}");
	restore(1);
	g_assert_true(rig_wait_until(none_is_out, NULL, WAIT_MS));
}

/* Guards against callers that wait for their deadline as all domains are
 * evacuated. They are told why nothing runs. */
static void test_all_domains_are_refused_at_once(void)
{
	const char *headers[] = {"Host", FLEET_VIRTUAL_HOST, NULL};
	struct rig_answer *answer;
	char *url = g_strdup_printf("http://127.0.0.1:%u/list/1",
				    fleet.hosts[0].caller);

	evacuate(0);
	evacuate(1);
	g_assert_true(rig_wait_until(all_are_out, NULL, EVACUATED_MS));
	answer = rig_http("GET", url, headers, NULL, WAIT_MS);
	g_assert_cmpint(answer->status, ==, 503);
	g_assert_cmpstr(
		g_hash_table_lookup(answer->headers, "comfreydock-reason"), ==,
		"evacuated");
	rig_answer_free(answer);
	g_free(url);
	restore(0);
	restore(1);
	g_assert_true(rig_wait_until(none_is_out, NULL, EVACUATED_MS));
}

/* Guards against upstreams that became cold while nothing was sent to them and
 * get the full load as their domain is restored. */
static void test_restored_domain_is_cold(void)
{
	evacuate(0);
	g_assert_true(rig_wait_until(domain_is_out, GUINT_TO_POINTER(0),
				     EVACUATED_MS));
	for (unsigned int i = 0; i < HOSTS; i += DOMAINS)
		fleet_set_upstream(&fleet, i, "{\"cold\":true}");
	restore(0);
	g_assert_true(rig_wait_until(none_is_out, NULL, EVACUATED_MS));
	g_assert_cmpuint(call_through_all(3 * CALLS), ==, 3 * CALLS);
	for (unsigned int i = 0; i < HOSTS; i += DOMAINS) {
		g_assert_cmpint(
			fleet_upstream_count(&fleet, i, "most_cold_per_s"), >, 0);
		g_assert_cmpint(fleet_upstream_count(&fleet, i, "most_cold_per_s"),
				<=, COLD_PER_S);
	}
}

static bool has_upstream(void *data)
{
	return fleet_has_upstream(&fleet, GPOINTER_TO_UINT(data));
}

/* Guards against a host that serves nobody in the first second after its power
 * came back, as its daemon counts requests that another one may have sent. */
static void test_returned_host_takes_requests_at_once(void)
{
	rig_kill(fleet.hosts[1].daemon);
	rig_kill(fleet.hosts[1].upstream);
	fleet_start_daemon(&fleet, 1);
	fleet_start_upstream(&fleet, 1);
	g_assert_true(rig_wait_until(has_upstream, GUINT_TO_POINTER(1), WAIT_MS));
	g_assert_cmpuint(fleet_metric(&fleet, 1,
				      "comfreydock_upstream_expected_wait_us"),
			 ==, 0);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	g_test_add_func("/evacuation/start", test_start);
	g_test_add_func("/evacuation/gets-nothing",
			test_evacuated_domain_gets_nothing);
	g_test_add_func("/evacuation/restarts",
			test_evacuation_survives_restarts);
	g_test_add_func("/evacuation/all", test_all_domains_are_refused_at_once);
	g_test_add_func("/evacuation/cold", test_restored_domain_is_cold);
	g_test_add_func("/evacuation/returned-host",
			test_returned_host_takes_requests_at_once);
	status = g_test_run();
	fleet_stop(&fleet);
	return status;
}
