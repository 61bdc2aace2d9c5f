#include <glib.h>
#include <string.h>

#include "ledger.h"

/* The others reach this daemon only through a relay. It is in the failure
 * domain of daemon 0, which therefore prefers it as an owner. */
#define RELAYED 2
#define CALLERS (1u << 0 | 1u << 1)
#define WAIT_UP_MS 15000
/* Longer than the deadline and than the suspicion timeout. */
#define HOLD_MS 4500
/* Longer than the deadline, but over before the host is declared dead and its
 * connections are closed. */
#define SHORT_HOLD_MS 2300

static const struct cluster_options options = {
	.count = 3,
	.config = LEDGER_CONFIG,
	/* Long enough that several calls run on each upstream at any time. */
	.slots = "16",
	.service_time_us = "60000",
	.relayed = 1u << RELAYED,
};
static struct cluster cluster;

/* Disturbs the link twice under a load of GET and POST calls.
 * RETURN VALUE: the outcomes that callers got. */
static struct ledger disturb_link(const char *on, const char *off, int for_ms,
				  const char *seed)
{
	struct ledger ledger = {0};
	struct ledger_load load = ledger_start_load(
		&cluster, CALLERS, for_ms > 1000 ? "150" : "400",
		for_ms > 1000 ? "13" : "4", seed);

	for (int round = 0; round < 2; round++) {
		rig_sleep_ms(1000);
		cluster_set_relay(&cluster, RELAYED, on);
		rig_sleep_ms(for_ms);
		cluster_set_relay(&cluster, RELAYED, off);
		rig_sleep_ms(500);
	}
	ledger_collect(&ledger, &cluster, &load);
	cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
	ledger_assert_no_violations(&ledger);
	return ledger;
}

/*
 * A switch resets all connections to a host. Calls that it was running end as
 * unknown; attempts that were never sent are retried elsewhere.
 */
static void test_cut_links(void)
{
	struct ledger ledger =
		disturb_link("{\"cut\": true}", "{\"cut\": false}", 300, "51");

	g_assert_cmpuint(ledger.served, >, ledger.calls * 9 / 10);
}

/*
 * The network drops all traffic with a host for seconds, in both directions and
 * without a reset, so that connections look open. No caller may wait beyond its
 * deadline, and attempts that arrive afterwards must not run.
 */
static void test_half_open_links(void)
{
	struct ledger ledger = disturb_link(
		"{\"hold_forward\": true, \"hold_backward\": true}",
		"{\"hold_forward\": false, \"hold_backward\": false}", HOLD_MS,
		"52");

	g_assert_cmpuint(ledger.served, >, ledger.calls * 9 / 10);
}

/*
 * Only traffic from the host is held back: it gets attempts and runs them, and
 * its answers and refusals arrive together seconds later.
 */
static void test_answers_that_come_late(void)
{
	struct ledger ledger =
		disturb_link("{\"hold_backward\": true}",
			     "{\"hold_backward\": false}", HOLD_MS, "53");

	g_assert_cmpuint(ledger.served, >, ledger.calls * 9 / 10);
}

/*
 * Traffic from the host is held back for so short a time that the connections
 * survive. Answers to calls that have ended arrive between those to new calls
 * on the same connection. The entry must discard them, or a caller would
 * receive the answer to another call.
 */
static void test_answers_to_ended_calls(void)
{
	int64_t before = cluster_counter(&cluster, 0, "peer_unmatched") +
			 cluster_counter(&cluster, 1, "peer_unmatched");
	struct ledger ledger =
		disturb_link("{\"hold_backward\": true}",
			     "{\"hold_backward\": false}", SHORT_HOLD_MS, "55");

	g_assert_cmpuint(ledger.served, >, ledger.calls * 8 / 10);
	g_assert_cmpint(cluster_counter(&cluster, 0, "peer_unmatched") +
				cluster_counter(&cluster, 1, "peer_unmatched"),
			>, before);
}

/* Only traffic to the host is held back: attempts and cancels arrive together
 * seconds later. */
static void test_requests_that_come_late(void)
{
	struct ledger ledger =
		disturb_link("{\"hold_forward\": true}",
			     "{\"hold_forward\": false}", HOLD_MS, "54");

	g_assert_cmpuint(ledger.served, >, ledger.calls * 9 / 10);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	/* This test is first, because after the others the entries may avoid
	 * the host for a while. */
	g_test_add_func("/links/answers-to-ended", test_answers_to_ended_calls);
	g_test_add_func("/links/cut", test_cut_links);
	g_test_add_func("/links/half-open", test_half_open_links);
	g_test_add_func("/links/late-answers", test_answers_that_come_late);
	g_test_add_func("/links/late-requests", test_requests_that_come_late);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
