#include <glib.h>

#include "swim_net.h"

#define DOMAIN_KEY 7
#define FOLLOWERS 8 /* of each domain, see config/follow.h */
#define HOSTS 200
/* A domain is out of use everywhere well within five seconds. */
#define SPREAD_LIMIT_US (2 * SECOND)

static int count_with(bool is_evacuated)
{
	int count = 0;

	for (int i = 0; i < net.count; i++)
		count += net.hosts[i].swim &&
			 evacuation_has(&net.hosts[i].evacuation, DOMAIN_KEY) ==
				 is_evacuated;
	return count;
}

/* The hosts that watch the store see the change at once. */
static void apply_change(uint64_t as_of, bool is_evacuated)
{
	struct evacuation_change change = {as_of, DOMAIN_KEY, is_evacuated};

	for (int i = 0; i < FOLLOWERS; i++)
		evacuation_apply(&net.hosts[i].evacuation, as_of, &change, 1,
				 net.now_us);
}

/* Guards against daemons that go on using an evacuated domain as they don't
 * watch the store themselves. */
static void test_change_reaches_all_hosts(void)
{
	net_start(HOSTS);
	net_settle(30 * SECOND);
	apply_change(5, true);
	net_run(SPREAD_LIMIT_US);
	g_assert_cmpint(count_with(true), ==, net.count);
	apply_change(6, false);
	net_run(SPREAD_LIMIT_US);
	g_assert_cmpint(count_with(false), ==, net.count);
	net_stop();
}

/* A domain is evacuated and restored within a second, on a network that loses
 * one packet in five. The last change wins everywhere. */
static void test_quick_changes_on_a_lossy_network(void)
{
	net_start(CLUSTER_SIZE);
	net_settle(20 * SECOND);
	net.loss_percent = 20;
	apply_change(5, true);
	net_run(SECOND / 2);
	apply_change(6, false);
	net_run(SECOND / 4);
	apply_change(7, true);
	net_run(3 * SECOND);
	g_assert_cmpint(count_with(true), ==, net.count);
	net_stop();
}

/* Guards against a daemon that is restarted while the store is away, and one
 * that was cut off during the change: both learn of it from any peer. */
static void test_restarted_and_partitioned_hosts_learn(void)
{
	net_start(CLUSTER_SIZE);
	net_settle(20 * SECOND);
	net.hosts[20].partition = 1;
	apply_change(5, true);
	net_run(SPREAD_LIMIT_US);
	host_kill(30);
	host_start(30);
	net.hosts[20].partition = 0;
	net_run(5 * SECOND);
	g_assert_cmpint(count_with(true), ==, net.count);
	net_stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/swim-evacuation/all", test_change_reaches_all_hosts);
	g_test_add_func("/swim-evacuation/lossy",
			test_quick_changes_on_a_lossy_network);
	g_test_add_func("/swim-evacuation/learn",
			test_restarted_and_partitioned_hosts_learn);
	return g_test_run();
}
