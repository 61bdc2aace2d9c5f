#include <glib.h>
#include <string.h>

#include "cluster.h"

/* Half of the hosts are on each side of the partition. */
#define HOSTS 6
#define WAIT_UP_MS 15000
/* The suspicion timeout, which includes the time to refute, for this number of
 * hosts; see membership.md. */
#define WAIT_DEAD_MS 60000
/* Dead members are pinged every 2 s. */
#define WAIT_MERGED_MS 30000
#define CALL_MS 5000

static const struct cluster_options options = {
	.count = HOSTS,
	.relayed = (1u << HOSTS) - 1,
};
static struct cluster cluster;

static unsigned int count_in_state(unsigned int i, const char *state)
{
	char *hosts = rig_http_ok("GET", cluster.daemons[i]->admin_port,
				  "/v1/hosts", NULL);
	char *field = g_strdup_printf("\"state\":\"%s\"", state);
	unsigned int count = 0;

	for (const char *at = hosts; (at = strstr(at, field)); at++)
		count++;
	g_free(field);
	g_free(hosts);
	return count;
}

static bool all_see(const char *state, unsigned int count)
{
	for (unsigned int i = 0; i < HOSTS; i++) {
		if (count_in_state(i, state) != count)
			return false;
	}
	return true;
}

static bool is_partition_detected(void *data)
{
	(void)data;
	return all_see("dead", HOSTS / 2);
}

static bool is_partition_healed(void *data)
{
	(void)data;
	return all_see("alive", HOSTS);
}

/* Drops gossip between the two halves, in both directions. */
static void partition_network(void)
{
	for (unsigned int i = 0; i < HOSTS; i++) {
		GString *command = g_string_new("{\"lose_from\": [");
		unsigned int first = i < HOSTS / 2 ? HOSTS / 2 : 0;

		for (unsigned int j = first; j < first + HOSTS / 2; j++)
			g_string_append_printf(command, "%s%u",
					       j == first ? "" : ", ",
					       cluster.ports[j].peer);
		g_string_append(command, "]}");
		cluster_set_relay(&cluster, i, command->str);
		g_string_free(command, TRUE);
	}
}

static void heal_partition(void)
{
	for (unsigned int i = 0; i < HOSTS; i++)
		cluster_set_relay(&cluster, i, "{\"lose_from\": []}");
}

static void assert_all_serve(void)
{
	for (unsigned int i = 0; i < HOSTS; i++) {
		char *id = g_strdup_printf("halves-%u", i);
		struct rig_answer *answer = cluster_call(&cluster, i, "POST",
							 "/", id, NULL, CALL_MS);

		g_assert_cmpint(answer->status, ==, 200);
		rig_answer_free(answer);
		g_free(id);
	}
}

/*
 * A link between two halves of an installation fails, and each half declares
 * the members of the other dead. Both keep serving on their own. Nothing
 * announces that the link is back: without pings to dead members the partition
 * would never heal, and callers would be served by half of the upstreams.
 */
static void test_partition_heals(void)
{
	int64_t healed_us;

	partition_network();
	g_assert_true(rig_wait_until(is_partition_detected, NULL, WAIT_DEAD_MS));
	assert_all_serve();
	heal_partition();
	healed_us = g_get_monotonic_time();
	g_assert_true(rig_wait_until(is_partition_healed, NULL, WAIT_MERGED_MS));
	g_test_message("partition healed after %.1f s",
		       (double)(g_get_monotonic_time() - healed_us) / 1e6);
	cluster_wait_up(&cluster, HOSTS, WAIT_UP_MS);
	assert_all_serve();
}

int main(int argc, char **argv)
{
	int result;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/halves/heals", test_partition_heals);
	cluster_start(&cluster, &options);
	result = g_test_run();
	cluster_stop(&cluster);
	return result;
}
