#include <glib.h>
#include <time.h>

#include "fleet.h"

/* Status reports of another writer, which name the address of an upstream. */

#define WAIT_MS 10000
#define BEATS_MS 1500 /* the upstream sends some of its own meanwhile */

static const struct fleet_options options = {
	.count = 1,
	.domains = 1,
	.slots = "4",
	.service_time_us = "2000",
};
static struct fleet fleet;

static bool is_served(void *data)
{
	(void)data;
	return fleet_get(&fleet, 0, "/list/1") == 200;
}

/* Sends a report of a start that lies a minute ahead. */
static void send_report(const char *service, const char *zone)
{
	char *path =
		g_strdup_printf("http://127.0.0.1:%u/comfreydock/instances/"
				"i-other/heartbeat",
				fleet.hosts[0].reports);
	char *body = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":%s,"
		"\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
		"\"coldRemainingMs\":0,\"sequence\":1,\"born\":"
		"%" G_GINT64_FORMAT "}",
		service, fleet.hosts[0].upstream_port, zone,
		(gint64)(time(NULL) + 60) * 1000);
	const char *headers[] = {"Content-Type", "application/json", NULL};

	rig_answer_free(rig_http("POST", path, headers, body, WAIT_MS));
	g_free(body);
	g_free(path);
}

static void assert_still_served(void)
{
	rig_sleep_ms(BEATS_MS);
	g_assert_true(fleet_has_upstream(&fleet, 0));
	for (int i = 0; i < 5; i++)
		g_assert_true(is_served(NULL));
}

/* Guards against an upstream that gets no work for good as a report of a service
 * that nobody configured names its address. */
static void test_unknown_service_changes_nothing(void)
{
	send_report("nobody", "\"a\"");
	assert_still_served();
}

/* The same for a report with a field of another type. */
static void test_malformed_report_changes_nothing(void)
{
	send_report(FLEET_SERVICE, "7");
	assert_still_served();
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	fleet_start(&fleet, &options);
	fleet_put_config(&fleet, 1, "list");
	g_assert_true(rig_wait_until(is_served, NULL, WAIT_MS));
	g_test_add_func("/foreign-reports/service",
			test_unknown_service_changes_nothing);
	g_test_add_func("/foreign-reports/malformed",
			test_malformed_report_changes_nothing);
	status = g_test_run();
	fleet_stop(&fleet);
	return status;
}
