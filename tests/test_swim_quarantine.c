#include <glib.h>

#include "swim_net.h"

#define CRASHING_KEY 7
/* Limit for marks to reach all hosts; well below the time that daemons have
 * before the request is repeated. */
#define SPREAD_LIMIT_US (2 * SECOND)
#define RELEARN_LIMIT_US (5 * SECOND)

static void note_crashes(int i, int count)
{
	for (int j = 0; j < count; j++)
		quarantine_note_crash(
			net.hosts[i].quarantine, CRASHING_KEY,
			quarantine_crash_id(member_host_hash(net.hosts[i].name),
					    (uint64_t)j),
			net.now_us);
}

static int count_holding(void)
{
	int count = 0;

	for (int i = 0; i < net.count; i++)
		count += net.hosts[i].swim &&
			 quarantine_held_count(net.hosts[i].quarantine) > 0;
	return count;
}

/* Marks the same request on three hosts, for one crash each. */
static void note_crash_on_three_hosts(void)
{
	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		note_crashes(i * 3, 1);
}

/* Guards against marks that don't leave the host of the crash. Each daemon would
 * then let the request crash three more upstreams. */
static void test_marks_spread_to_all_hosts(void)
{
	net_start(CLUSTER_SIZE);
	net_settle(20 * SECOND);
	note_crash_on_three_hosts();
	net_run(SPREAD_LIMIT_US);
	g_assert_cmpint(count_holding(), ==, net.count);
	net_stop();
}

/* RETURN VALUE: seconds until all hosts hold the request, or until the limit. */
static double spread_s(int64_t limit_us)
{
	int64_t began_us = net.now_us;

	while (count_holding() < net.count && net.now_us - began_us < limit_us)
		net_step();
	return (double)(net.now_us - began_us) / SECOND;
}

/* Guards against marks that are delayed by the membership records of hundreds of
 * hosts that have just started, while the request is repeated. */
static void test_marks_spread_in_large_cluster(void)
{
	double took_s;

	net_start(NET_HOSTS_MAX);
	net_settle(60 * SECOND);
	note_crash_on_three_hosts();
	took_s = spread_s(2 * SPREAD_LIMIT_US);
	g_test_message("%d hosts: %.2f s", net.count, took_s);
	g_assert_cmpint(count_holding(), ==, net.count);
	net_stop();
}

static void test_marks_spread_despite_packet_loss(void)
{
	net_start(CLUSTER_SIZE);
	net_settle(20 * SECOND);
	net.loss_percent = 20;
	net.delay_max_us = 50000;
	note_crash_on_three_hosts();
	net_run(2 * SPREAD_LIMIT_US);
	g_assert_cmpint(count_holding(), ==, net.count);
	net_stop();
}

/* Guards against a daemon that has lost its quarantine in a restart and lets a
 * request that all others hold crash its upstream. */
static void test_restarted_daemon_receives_marks(void)
{
	net_start(CLUSTER_SIZE);
	net_settle(20 * SECOND);
	note_crash_on_three_hosts();
	net_run(30 * SECOND);
	host_kill(5);
	host_start(5);
	net_run(SPREAD_LIMIT_US);
	g_assert_cmpuint(quarantine_held_count(net.hosts[5].quarantine), ==, 1);
	net_stop();
}

/* Guards against a daemon that misses marks because it was partitioned from the
 * others while they spread. */
static void test_partitioned_daemon_receives_marks(void)
{
	net_start(CLUSTER_SIZE);
	net_settle(20 * SECOND);
	net.hosts[CLUSTER_SIZE - 1].partition = 1;
	net_run(10 * SECOND);
	note_crash_on_three_hosts();
	net_run(30 * SECOND);
	g_assert_cmpint(count_holding(), ==, net.count - 1);
	net.hosts[CLUSTER_SIZE - 1].partition = 0;
	net_run(RELEARN_LIMIT_US);
	g_assert_cmpint(count_holding(), ==, net.count);
	net_stop();
}

/* Guards against quarantine records that take bandwidth away from calls, or
 * delay the membership records. */
static void test_quarantine_bandwidth_is_bounded(void)
{
	uint64_t before;

	net_start(CLUSTER_SIZE);
	net_settle(20 * SECOND);
	before = net.hosts[0].sent_bytes;
	for (int i = 0; i < net.count; i++) {
		for (uint64_t key = 1; key <= QUARANTINE_RECORDS_MAX; key++)
			quarantine_note_crash(
				net.hosts[i].quarantine, key * (uint64_t)(i + 1),
				quarantine_crash_id(
					member_host_hash(net.hosts[i].name), key),
				net.now_us);
	}
	host_kill(9);
	net_run(20 * SECOND);
	g_assert_cmpuint(net.hosts[0].sent_bytes - before, <=,
			 21 * (SWIM_BYTES_PER_S + SWIM_QUARANTINE_BYTES_PER_S));
	g_assert_cmpint(state_of(0, 9), >=, MEMBER_DEAD);
	net_stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/swim-quarantine/all-hosts",
			test_marks_spread_to_all_hosts);
	g_test_add_func("/swim-quarantine/large-cluster",
			test_marks_spread_in_large_cluster);
	g_test_add_func("/swim-quarantine/packet-loss",
			test_marks_spread_despite_packet_loss);
	g_test_add_func("/swim-quarantine/restart",
			test_restarted_daemon_receives_marks);
	g_test_add_func("/swim-quarantine/partition",
			test_partitioned_daemon_receives_marks);
	g_test_add_func("/swim-quarantine/bandwidth",
			test_quarantine_bandwidth_is_bounded);
	return g_test_run();
}
