#include <glib.h>

#include "fleet.h"

/*
 * Operators add thousands of routes while one host can't reach the platform's
 * store. That host learns from its peers that there is a newer configuration
 * and has to fetch it from them.
 *
 * Guards against a configuration that is too large for one answer of a peer. A
 * host that asks for it in one piece fails with each peer, again and again, and
 * answers 404 on every new route for as long as the file stays that large,
 * while all other hosts serve the routes. Clients don't retry a 404, so a host
 * must not send one if it knows of a higher version than its own. The log shows
 * this fault as requests with head=3 and known_head=5, and as a
 * config.fetch-failed for each peer.
 */

#define HOSTS 3
#define ISOLATED (HOSTS - 1) /* the host that can't reach the store */
#define MORE_ROUTES 8000
#define WAIT_MS 10000
#define PROPAGATION_MAX_MS 10000 /* the documented limit */

static const struct fleet_options options = {
	.count = HOSTS,
	.domains = HOSTS,
	.slots = "8",
	.service_time_us = "10000",
	.relayed = true,
};
static struct fleet fleet;

static bool is_served(void *path)
{
	return fleet_get(&fleet, ISOLATED, path) == 200;
}

static bool knows_all(void *unused)
{
	(void)unused;
	return fleet_metric(&fleet, ISOLATED,
			    "comfreydock_members{state=\"alive\"}") == HOSTS;
}

struct new_route {
	bool is_known_of; /* the host knows that there is a newer configuration */
	unsigned int denied; /* 404 answers since then */
};

static bool is_new_route_served(void *data)
{
	struct new_route *route = data;
	long status;

	if (fleet_metric(&fleet, ISOLATED, "comfreydock_config_behind") > 0)
		route->is_known_of = true;
	status = fleet_get(&fleet, ISOLATED, "/fresh/1");
	route->denied += route->is_known_of && status == 404;
	return status == 200;
}

static void test_large_configuration_reaches_an_isolated_host(void)
{
	struct new_route route = {false};

	fleet_put_config(&fleet, 3, "list");
	g_assert_true(rig_wait_until(is_served, (void *)"/list/1", WAIT_MS));
	g_assert_true(rig_wait_until(knows_all, NULL, WAIT_MS));
	fleet_set_relay(&fleet, ISOLATED, FLEET_LINK_STORE, "{\"cut\": true}");
	fleet_put_large_config(&fleet, 5, "fresh", MORE_ROUTES);
	g_assert_true(rig_wait_until(is_new_route_served, &route,
				     PROPAGATION_MAX_MS));
	g_assert_cmpuint(route.denied, ==, 0);
	g_assert_cmpint(fleet_get(&fleet, ISOLATED, "/more-7999/1"), ==, 200);
	g_assert_cmpint(fleet_get(&fleet, ISOLATED, "/list/1"), ==, 404);
}

int main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	g_test_add_func("/large-config/isolated-host",
			test_large_configuration_reaches_an_isolated_host);
	result = g_test_run();
	fleet_stop(&fleet);
	return result;
}
