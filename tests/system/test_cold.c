#include <glib.h>

#include "callers.h"

/* All upstreams of a service are cold at once, as after a loss of power, and their
 * callers come back. */

#define HOSTS 3
#define CALLERS 18
#define PATH "/list/1"
#define WAIT_MS 10000
#define COLD_MS 4000
#define COLD_PER_S 10
/* The host is in a slow spell, in which the owner asks for the pace. */
#define COLD_SLOW "{\"cold\": true, \"pace_percent\": 300}"
#define SLOW "{\"pace_percent\": 300}"
#define FAST "{\"pace_percent\": 100}"
#define SPELL_MS 300
/* They are warm for this time at the end. */
#define AFTER_MS 1000

static const struct fleet_options options = {
	.count = HOSTS,
	.domains = 1,
	.slots = "8",
	.service_time_us = "10000",
	.cold_ms = COLD_MS,
	.cold_per_s = COLD_PER_S,
};
static struct fleet fleet;

static bool is_served(void *data)
{
	return fleet_get(&fleet, GPOINTER_TO_UINT(data), PATH) == 200;
}

static void test_start(void)
{
	fleet_put_config(&fleet, 3, "list");
	for (unsigned int i = 0; i < HOSTS; i++)
		g_assert_true(rig_wait_until(is_served, GUINT_TO_POINTER(i),
					     WAIT_MS));
}

/* Guards against requests that reach cold upstreams beyond what these tolerate,
 * in slow spells, after them, and as all that waited starts at the end. */
static void test_limit_is_kept_to_the_end(void)
{
	struct callers *callers = callers_start(&fleet, CALLERS, PATH);
	struct callers_count count;

	for (int ms = 0; ms < COLD_MS; ms += 2 * SPELL_MS) {
		for (unsigned int i = 0; i < HOSTS; i++)
			fleet_set_upstream(&fleet, i, ms ? SLOW : COLD_SLOW);
		rig_sleep_ms(SPELL_MS);
		for (unsigned int i = 0; i < HOSTS; i++)
			fleet_set_upstream(&fleet, i, FAST);
		rig_sleep_ms(SPELL_MS);
	}
	rig_sleep_ms(AFTER_MS);
	count = callers_stop(callers);
	for (unsigned int i = 0; i < HOSTS; i++)
		g_assert_cmpint(fleet_upstream_count(&fleet, i, "most_cold_per_s"),
				<=, COLD_PER_S);
	/* What the upstreams tolerate is used, and more once they are warm. */
	g_assert_cmpuint(count.served, >=, HOSTS * COLD_PER_S * COLD_MS / 1000);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	g_test_add_func("/cold/start", test_start);
	g_test_add_func("/cold/limit", test_limit_is_kept_to_the_end);
	status = g_test_run();
	fleet_stop(&fleet);
	return status;
}
