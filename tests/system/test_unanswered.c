#include <glib.h>

#include "fleet.h"

/* Calls to the store and connections that stay open without an answer. */

#define HOSTS 6
#define DOMAINS 3
#define WAIT_MS 10000
/* A change must be in force everywhere within this time. */
#define PROPAGATION_MAX_MS 10000
#define STATUS_SERVED 200

static const struct fleet_options options = {
	.count = HOSTS,
	.domains = DOMAINS,
	.slots = "8",
	.service_time_us = "10000",
	.relayed = true,
};
static struct fleet fleet;

/* RETURN VALUE: whether all hosts serve the newest version's route. */
static bool is_in_force(void *data)
{
	const char *path = data;

	for (unsigned int i = 0; i < fleet.options.count; i++) {
		if (fleet_get(&fleet, i, path) != STATUS_SERVED)
			return false;
	}
	return true;
}

/* Writes the next version, whose route is new. */
static char *change_config(void)
{
	char *prefix = g_strdup_printf("v%u", ++fleet.config_version);
	char *path = g_strdup_printf("/%s/1", prefix);

	fleet_put_config(&fleet, fleet.config_version, prefix);
	g_free(prefix);
	return path;
}

static void check_next_change(void)
{
	char *path = change_config();

	g_assert_true(rig_wait_until(is_in_force, path, PROPAGATION_MAX_MS));
	g_free(path);
}

static void set_all_relays(enum fleet_link link, const char *body)
{
	for (unsigned int i = 0; i < fleet.options.count; i++)
		fleet_set_relay(&fleet, i, link, body);
}

static bool know_each_other(void *data)
{
	(void)data;
	return fleet_knows_all(&fleet);
}

static void test_first_version(void)
{
	char *path = change_config();

	g_assert_true(rig_wait_until(is_in_force, path, WAIT_MS));
	g_assert_true(rig_wait_until(know_each_other, NULL, WAIT_MS));
	g_free(path);
}

/* Guards against watches that the store never answers because it was silent for
 * a moment when they were opened: the next change is not in force anywhere. */
static void test_store_silent_after_a_change(void)
{
	g_free(change_config());
	fleet_set_store(&fleet, "{\"silent\": true}");
	rig_sleep_ms(500);
	fleet_set_store(&fleet, "{\"silent\": false}");
	rig_sleep_ms(3000);
	check_next_change();
}

/* Guards against watches that the store has accepted and then forgotten. */
static void test_store_forgets_watches(void)
{
	rig_sleep_ms(500);
	g_free(rig_http_ok("POST", fleet.store->port, "/standin/forget", ""));
	check_next_change();
}

/* Guards against connections to the store that were lost without a close. */
static void test_connections_to_the_store_go_silent(void)
{
	rig_sleep_ms(500);
	set_all_relays(FLEET_LINK_STORE, "{\"silence\": true}");
	check_next_change();
}

static bool is_connected_to_peer(void *data)
{
	const char *path = data;

	return fleet_get(&fleet, 0, path) == STATUS_SERVED;
}

/* Guards against a 404 for a route that has been in force for long elsewhere: a
 * daemon that the store doesn't answer must learn of it from its peer, though
 * its connection to it was lost without a close. */
static void test_connections_to_peers_go_silent(void)
{
	static const struct fleet_options pair = {
		.count = 2,
		.domains = 2,
		.slots = "8",
		.service_time_us = "10000",
		.relayed = true,
	};
	char *path;

	fleet_stop(&fleet);
	fleet_start(&fleet, &pair);
	test_first_version();
	path = g_strdup_printf("/v%u/1", fleet.config_version);
	/* The first daemon's requests go to the other one then. */
	rig_kill(fleet.hosts[0].upstream);
	g_assert_true(rig_wait_until(is_connected_to_peer, path, WAIT_MS));
	g_free(path);
	rig_sleep_ms(1500);
	fleet_set_relay(&fleet, 0, FLEET_LINK_STORE, "{\"hold_backward\": true}");
	set_all_relays(FLEET_LINK_PEERS, "{\"silence\": true}");
	check_next_change();
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	g_test_add_func("/unanswered/first", test_first_version);
	g_test_add_func("/unanswered/silent-store",
			test_store_silent_after_a_change);
	g_test_add_func("/unanswered/forgotten", test_store_forgets_watches);
	g_test_add_func("/unanswered/store-connections",
			test_connections_to_the_store_go_silent);
	g_test_add_func("/unanswered/peer-connections",
			test_connections_to_peers_go_silent);
	status = g_test_run();
	fleet_stop(&fleet);
	return status;
}
