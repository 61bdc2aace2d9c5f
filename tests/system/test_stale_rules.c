#include <glib.h>

#include "fleet.h"

/*
 * A host that can't reach the platform's store stays behind: its peers hold a
 * newer configuration, which is too large to be passed on.
 */

#define HOSTS 3
#define ISOLATED (HOSTS - 1) /* the host that can't reach the store */
#define MORE_ROUTES 24000 /* over 4 MiB, the limit between daemons */
#define WAIT_MS 30000
/* The host has to know by then that a route was replaced: the time that a
 * change may take, and some for its requests. */
#define PROPAGATION_MAX_MS 3000
#define REQUESTS 10

#define KEPT_KEY "kept-key"
#define REMOVED_KEY "removed-key"

static void append_tenants(GString *row, unsigned int version)
{
	g_string_append_printf(
		row, ",\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[%s\"%s\"]}]",
		version < 5 ? "\"" REMOVED_KEY "\"," : "", KEPT_KEY);
}

static const struct fleet_options options = {
	.count = HOSTS,
	.domains = HOSTS,
	.slots = "8",
	.service_time_us = "10000",
	.relayed = true,
	.append_tenants = append_tenants,
};
static struct fleet fleet;
static unsigned int requests;

static bool get(const char *path, const char *key)
{
	char *field = g_strdup_printf("Bearer %s", key);
	char *id = g_strdup_printf("stale-%u", ++requests);
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    fleet.hosts[ISOLATED].caller, path);
	const char *headers[] = {
		"Host", FLEET_VIRTUAL_HOST, "X-Comfreydock-Request-Id",
		id,	"Authorization",    field,
		NULL};
	struct rig_answer *answer = rig_http("GET", url, headers, NULL, WAIT_MS);
	bool is_served = answer->arrived && answer->status == 200;

	rig_answer_free(answer);
	g_free(url);
	g_free(id);
	g_free(field);
	return is_served;
}

static bool is_served(void *path)
{
	return get(path, REMOVED_KEY);
}

static bool knows_all(void *unused)
{
	(void)unused;
	return fleet_metric(&fleet, ISOLATED,
			    "comfreydock_members{state=\"alive\"}") == HOSTS;
}

static bool is_behind(void *unused)
{
	(void)unused;
	return fleet_metric(&fleet, ISOLATED, "comfreydock_config_behind") > 0 &&
	       fleet_metric(&fleet, 0, "comfreydock_config_head") == 5;
}

static unsigned int count_served(const char *path, const char *key)
{
	unsigned int served = 0;

	for (unsigned int i = 0; i < REQUESTS; i++)
		served += get(path, key);
	return served;
}

/* Leaves the host behind for the tests that follow. */
static void isolate_host(void)
{
	fleet_put_config(&fleet, 3, "list");
	g_assert_true(rig_wait_until(is_served, (void *)"/list/1", WAIT_MS));
	g_assert_true(rig_wait_until(knows_all, NULL, WAIT_MS));
	fleet_set_relay(&fleet, ISOLATED, FLEET_LINK_STORE, "{\"cut\": true}");
	fleet_put_large_config(&fleet, 5, "fresh", MORE_ROUTES);
	g_assert_true(rig_wait_until(is_behind, NULL, WAIT_MS));
	rig_sleep_ms(PROPAGATION_MAX_MS);
}

/* Guards against a host that is behind and runs requests by a rule that a newer
 * version has removed, and against one that refuses what is still allowed. */
static void test_removed_rule_is_not_used(void)
{
	isolate_host();
	g_assert_cmpuint(count_served("/list/1", KEPT_KEY), ==, 0);
	g_assert_cmpuint(count_served("/patient/1", KEPT_KEY), ==, REQUESTS);
}

/* Guards against a host that is behind and accepts a key that a newer version
 * has removed. */
static void test_removed_key_is_not_accepted(void)
{
	g_assert_cmpuint(count_served("/patient/1", REMOVED_KEY), ==, 0);
	g_assert_cmpuint(count_served("/patient/1", KEPT_KEY), ==, REQUESTS);
}

static bool is_behind_peer(void *unused)
{
	(void)unused;
	return fleet_metric(&fleet, 1, "comfreydock_config_behind") > 0 &&
	       fleet_metric(&fleet, 0, "comfreydock_config_head") == 7;
}

/* Guards against hosts that are all behind and refuse everything, because the
 * only host that holds the newest version can run no requests. */
static void test_hosts_behind_serve_if_nobody_can_confirm(void)
{
	fleet_set_upstream(&fleet, 0, "{\"draining\": true}");
	fleet_set_relay(&fleet, 1, FLEET_LINK_STORE, "{\"cut\": true}");
	fleet_put_large_config(&fleet, 7, "fresh", MORE_ROUTES);
	g_assert_true(rig_wait_until(is_behind_peer, NULL, WAIT_MS));
	rig_sleep_ms(PROPAGATION_MAX_MS);
	g_assert_cmpuint(count_served("/patient/1", KEPT_KEY), ==, REQUESTS);
}

int main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	g_test_add_func("/stale-rules/removed", test_removed_rule_is_not_used);
	g_test_add_func("/stale-rules/removed-key",
			test_removed_key_is_not_accepted);
	g_test_add_func("/stale-rules/nobody-confirms",
			test_hosts_behind_serve_if_nobody_can_confirm);
	result = g_test_run();
	fleet_stop(&fleet);
	return result;
}
