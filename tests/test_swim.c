#include <glib.h>
#include <stdio.h>

#include "swim_net.h"

/*
 * A host loses its power. Calls are sent to it in vain until the other hosts
 * declare it dead, which must happen within seconds.
 */
static void test_killed_host_is_detected(void)
{
	double joined_s, detected_s;

	net_start(12);
	joined_s = net_settle(10 * SECOND);
	host_kill(5);
	detected_s = net_settle(15 * SECOND);
	g_test_message("12 hosts: joined in %.2f s, kill seen in %.2f s",
		       joined_s, detected_s);
	net_stop();
}

/*
 * A failure domain with a third of all hosts is lost at once. Gossip has to
 * spread many more records than after the loss of one host, and calls are sent
 * to dead hosts until it has.
 */
static void test_lost_domain_is_detected(void)
{
	net_start(CLUSTER_SIZE);
	net_settle(10 * SECOND);
	for (int i = 0; i < CLUSTER_SIZE; i += 3)
		host_kill(i);
	g_test_message("14 of 40 hosts: seen in %.2f s", net_settle(40 * SECOND));
	net_stop();
}

/*
 * A peer with the right key sends corrupted messages, for example because of a
 * bug in its release. They must neither crash the daemon nor bypass the bounds
 * checks on records.
 */
static void test_corrupted_messages_are_handled(void)
{
	uint8_t body[SWIM_BODY_MAX];
	unsigned int taken = 0;

	net_start(6);
	net_settle(10 * SECOND);
	for (int i = 0; i < 20000; i++) {
		size_t size = swim_net_sample(body);
		int flips = g_test_rand_int_range(1, 4);

		while (flips-- > 0)
			body[g_test_rand_int_range(0, (gint32)size)] =
				(uint8_t)g_test_rand_int();
		taken += swim_receive(net.hosts[0].swim, "10.0.0.2", PORT, body,
				      size, net.now_us);
		if (i % 100 == 0)
			net_step();
	}
	g_assert_cmpuint(taken, >, 0);
	g_assert_cmpuint(taken, <, 20000);
	net_stop();
}

/*
 * A fifth of all packets is lost, so that probes of healthy hosts fail all the
 * time. If a host were declared dead for that, it would get no calls although
 * it is healthy.
 */
static void test_packet_loss_causes_no_false_deaths(void)
{
	net_start(12);
	net_settle(10 * SECOND);
	net.loss_percent = 20;
	for (int s = 0; s < 300; s++) {
		net_run(SECOND);
		for (int i = 0; i < net.count; i++)
			g_assert_false(net_any_considers_dead(i));
	}
	net_stop();
}

/*
 * A process is suspended for a minute and resumes with old packets in its
 * socket. All others seem to have been silent. If it declared them dead, that
 * would spread, and no daemon would send calls to healthy hosts any more.
 */
static void test_resumed_host_declares_nobody_dead(void)
{
	uint64_t before;

	net_start(12);
	net_settle(10 * SECOND);
	before = swim_self(net.hosts[3].swim)->incarnation;
	net.hosts[3].is_frozen = true;
	net_run(60 * SECOND);
	g_assert_cmpint(state_of(0, 3), ==, MEMBER_DEAD);
	net.hosts[3].is_frozen = false;
	for (int s = 0; s < 30; s++) {
		net_run(SECOND);
		for (int i = 0; i < net.count; i++)
			g_assert_true(i == 3 || !net_any_considers_dead(i));
	}
	g_assert_true(net_agrees());
	g_assert_cmpuint(swim_self(net.hosts[3].swim)->incarnation, >, before);
	net_stop();
}

/*
 * A network partition separates two regions for an hour, and each declares the
 * other's hosts dead. When the network is back, the halves must find each other
 * without a restart, or each would go on with half of the hosts.
 */
static void test_partition_heals(void)
{
	double merged_s;

	net_start(12);
	net_settle(10 * SECOND);
	for (int i = 0; i < 6; i++)
		net.hosts[i].partition = 1;
	net_run(3600 * SECOND);
	for (int i = 0; i < 12; i++)
		g_assert_cmpint(state_of(0, i), ==,
				i < 6 ? MEMBER_ALIVE : MEMBER_DEAD);
	for (int i = 0; i < 6; i++)
		net.hosts[i].partition = 0;
	merged_s = net_settle(60 * SECOND);
	g_test_message("halves of 6 merged in %.2f s", merged_s);
	net_stop();
}

static int64_t run_until_all_see(int of, enum member_service_state state,
				 uint64_t head)
{
	int64_t began_us = net.now_us;

	for (int i = 0; i < net.count; i++) {
		while (member_table_find(net.hosts[i].table, net.hosts[of].name)
				       ->service_state != state ||
		       net.hosts[i].known_config_head < head) {
			net_step();
			g_assert_cmpint(net.now_us - began_us, <, 10 * SECOND);
		}
	}
	return net.now_us - began_us;
}

/*
 * An operator drains an upstream and applies a configuration. Entries that
 * don't learn of the drain keep sending calls there, and each is refused.
 */
static void test_drain_and_config_head_spread(void)
{
	char *groups[] = {"reservas", NULL};
	struct swim *swim;
	int64_t up_us, drained_us, head_us;

	net_start(CLUSTER_SIZE);
	net_settle(10 * SECOND);
	swim = net.hosts[7].swim;
	g_assert_true(swim_announce(swim, MEMBER_SERVICE_UP, groups, 9, 500,
				    net.now_us));
	up_us = run_until_all_see(7, MEMBER_SERVICE_UP, 0);
	g_assert_cmpuint(member_table_group(net.hosts[0].table, "reservas")->len,
			 ==, 1);
	g_assert_true(swim_announce(swim, MEMBER_SERVICE_DRAINING, groups, 9,
				    500, net.now_us));
	drained_us = run_until_all_see(7, MEMBER_SERVICE_DRAINING, 0);
	net.hosts[7].known_config_head = 42;
	swim_set_config_head(swim, 42);
	head_us = run_until_all_see(7, MEMBER_SERVICE_DRAINING, 42);
	g_test_message("40 hosts: up %.2f s, drain %.2f s, head %.2f s",
		       (double)up_us / SECOND, (double)drained_us / SECOND,
		       (double)head_us / SECOND);
	g_assert_cmpint(drained_us, <, 3 * SECOND);
	g_assert_cmpint(head_us, <, 3 * SECOND);
	net_stop();
}

/* Guards against an upstream that gets no work as its service has a long name:
 * its own daemon announces it and all others drop the record. */
static void test_long_group_spreads(void)
{
	char *name = g_strnfill(MEMBER_GROUP_MAX - 1, 'g');
	char *groups[] = {name, NULL};

	net_start(3);
	net_settle(10 * SECOND);
	g_assert_true(swim_announce(net.hosts[1].swim, MEMBER_SERVICE_UP,
				    groups, 9, 500, net.now_us));
	run_until_all_see(1, MEMBER_SERVICE_UP, 0);
	g_assert_cmpuint(member_table_group(net.hosts[0].table, name)->len, ==,
			 1);
	net_stop();
	g_free(name);
}

/* Starts a network in which one host's config head is confirmed as the newest,
 * and lets that spread for 5 s. RETURN VALUE: the time of the confirmation. */
static int64_t start_with_confirmed_head(void)
{
	int64_t told_us;

	net_start(CLUSTER_SIZE);
	net_settle(10 * SECOND);
	told_us = net.now_us;
	net.hosts[7].told_us = told_us;
	net_run(5 * SECOND);
	return told_us;
}

static void expect_confirmation_not_newer(int64_t told_us)
{
	for (int i = 0; i < CLUSTER_SIZE; i++)
		g_assert_cmpint(net.hosts[i].told_us, <=, told_us);
}

/*
 * One host learns from the platform that the config head of all hosts is the
 * newest, and gossip spreads this with its age. If the age shrank on the way,
 * daemons without the platform would forever confirm to each other that they are
 * up to date.
 */
static void test_head_confirmation_spreads_and_ages(void)
{
	int64_t told_us = start_with_confirmed_head();

	expect_confirmation_not_newer(told_us);
	for (int i = 0; i < CLUSTER_SIZE; i++)
		g_assert_cmpint(net.hosts[i].told_us, >=, told_us - 2 * SECOND);
	net_run(60 * SECOND);
	expect_confirmation_not_newer(told_us);
	net_stop();
}

/* A host is suspended for 20 s while packets wait in its socket. The first ones
 * that it reads say "confirmed 5 s ago", but are 20 s old. The host must add that
 * time before it spreads the confirmation. */
static void test_head_confirmation_ages_in_socket_queue(void)
{
	int64_t told_us = start_with_confirmed_head();

	net.hosts[3].is_frozen = true;
	net_run(20 * SECOND);
	net.hosts[3].is_frozen = false;
	net_run(5 * SECOND);
	expect_confirmation_not_newer(told_us);
	net_stop();
}

static void test_leaving_host_is_not_declared_dead(void)
{
	net_start(12);
	net_settle(10 * SECOND);
	swim_leave(net.hosts[4].swim, net.now_us);
	net_run(2 * SECOND);
	host_kill(4);
	net_run(20 * SECOND);
	for (int i = 0; i < net.count; i++)
		g_assert_true(i == 4 || state_of(i, 4) == MEMBER_LEFT);
	net_stop();
}

/*
 * Daemons are restarted one after another during an outage of the platform. Each
 * leaves properly, starts without any state and finds no peers to join. Its
 * callers would be refused until the platform is back, unless other daemons
 * ping its address.
 */
static void test_restarted_host_is_rediscovered(void)
{
	net_start(12);
	net_settle(10 * SECOND);
	swim_leave(net.hosts[4].swim, net.now_us);
	net_run(2 * SECOND);
	host_kill(4);
	net_run(3 * SECOND);
	net.has_no_seeds = true;
	host_start(4);
	g_test_message("found again in %.2f s", net_settle(5 * SECOND));
	net_stop();
}

/*
 * A host is replaced and the new clock is behind the old one, so that it starts
 * with a lower incarnation. If it kept that, the others would ignore its records
 * as outdated and consider it dead forever.
 */
static void test_restart_with_lower_incarnation_is_accepted(void)
{
	net_start(6);
	net_settle(10 * SECOND);
	host_kill(2);
	net_settle(20 * SECOND);
	net.hosts[2].incarnation = 0;
	host_start(2);
	g_assert_cmpuint(swim_self(net.hosts[2].swim)->incarnation, ==, 1);
	net_settle(20 * SECOND);
	g_assert_cmpuint(swim_self(net.hosts[2].swim)->incarnation, >, 1);
	net_stop();
}

/* Joins all running hosts with one of them, as through the platform's rows. A
 * daemon that restarted after both of its seeds were lost finds peers only
 * there. */
static void join_from_platform_rows(void)
{
	int row = 0;

	while (row < net.count && !net.hosts[row].swim)
		row++;
	for (int i = 0; i < net.count; i++) {
		if (net.hosts[i].swim)
			swim_join(net.hosts[i].swim, net.hosts[row].address,
				  PORT, net.now_us);
	}
}

/*
 * Hosts are killed, restarted, frozen and partitioned at random while packets
 * are lost and delayed. Once the network works again, all hosts must agree. A
 * healthy host that some still consider dead would never get their calls again.
 */
static void test_membership_converges_after_random_faults(void)
{
	for (int round = 0; round < 12; round++) {
		net_start(g_test_rand_int_range(3, 12));
		net.loss_percent = g_test_rand_int_range(0, 40);
		net.delay_max_us = g_test_rand_int_range(1000, 400000);
		for (int event = 0; event < 40; event++) {
			int i = g_test_rand_int_range(0, net.count);
			struct host *host = &net.hosts[i];
			int what = g_test_rand_int_range(0, 4);

			if (what == 0 && host->swim)
				host_kill(i);
			else if (what <= 1 && !host->swim)
				host_start(i);
			else if (what == 2)
				host->is_frozen = !host->is_frozen;
			else
				host->partition = !host->partition;
			net_run(g_test_rand_int_range(0, 10) * SECOND);
		}
		net.loss_percent = 0;
		net.delay_max_us = 2000;
		for (int i = 0; i < net.count; i++) {
			net.hosts[i].partition = 0;
			net.hosts[i].is_frozen = false;
		}
		join_from_platform_rows();
		net_settle(240 * SECOND);
		net_run(60 * SECOND);
		g_assert_true(net_agrees());
		net_stop();
	}
}

#define RESTART_WINDOW_US (300LL * 1000)
#define RESTART_JOINS 16

static void restart_host(int i)
{
	char *groups[] = {"lookup-desk", NULL};

	host_start(i);
	host_join_some(i, RESTART_JOINS);
	swim_announce(net.hosts[i].swim, MEMBER_SERVICE_UP, groups, 11, 0,
		      net.now_us);
}

static int count_known_up(int i)
{
	struct member *member;
	int known = 0;

	TAILQ_FOREACH (member, member_table_all(net.hosts[i].table), link)
		known += member->state == MEMBER_ALIVE &&
			 member->service_state == MEMBER_SERVICE_UP;
	return known;
}

/* Guards against daemons that know too few upstreams for seconds after all hosts
 * have restarted at the same time, when no peer has a complete table to send. */
static void test_simultaneous_restart_converges(void)
{
	int64_t began_us;
	int fewest = NET_HOSTS_MAX;
	int sum = 0;

	net_start(0);
	net.count = NET_HOSTS_MAX;
	net.has_no_seeds = true;
	began_us = net.now_us;
	for (int i = 0; i < net.count; i++) {
		restart_host(i);
		while (net.now_us - began_us < i * RESTART_WINDOW_US / net.count)
			net_step();
	}
	net_run(2 * SECOND);
	for (int i = 0; i < net.count; i++) {
		int known = count_known_up(i);

		fewest = MIN(fewest, known);
		sum += known;
	}
	g_test_message("after 2 s: %d of %d known on average, %d at least",
		       sum / net.count, net.count, fewest);
	g_assert_cmpint(sum, >=, net.count * net.count * 9 / 10);
	g_assert_cmpint(fewest, >=, net.count / 2);
	net_stop();
}

static void fill_table(struct host *host, int count)
{
	char *groups[] = {"lookup-desk", NULL};

	for (int i = 0; i < count; i++) {
		struct member member = {.incarnation = 1764000000000000,
					.peer_port = PORT,
					.admin_port = PORT + 1,
					.domain = "hall-esja",
					.region = "reykjavik",
					.service_state = MEMBER_SERVICE_UP,
					.groups = groups,
					.slots = 12};

		snprintf(member.host, sizeof(member.host), "hall-esja-%05d", i);
		snprintf(member.address, sizeof(member.address), "10.1.%d.%d",
			 i / 250, i % 250);
		member_table_update(host->table, &member, net.now_us);
	}
}

/*
 * A daemon joins 22,000 others, whose records its peer is still spreading.
 * Neither the burst of records nor the sync pages may exceed their bandwidth
 * limits, or gossip would slow down the calls.
 */
static void test_join_and_update_burst_bandwidth(void)
{
	uint64_t sent;
	int64_t began_us;

	net_start(1);
	fill_table(&net.hosts[0], 22000);
	sent = net.hosts[0].sent_bytes;
	net_run(10 * SECOND);
	sent = net.hosts[0].sent_bytes - sent;
	g_assert_cmpuint(sent, <, 10 * 14000);
	net.count = 2;
	host_start(1);
	began_us = net.now_us;
	sent = net.hosts[0].sent_bytes;
	while (member_table_size(net.hosts[1].table) < 22002) {
		net_run(SECOND);
		g_assert_cmpint(net.now_us - began_us, <, 30 * SECOND);
	}
	sent = net.hosts[0].sent_bytes - sent;
	g_test_message("22,000 records in %.0f s, %" G_GUINT64_FORMAT " bytes",
		       (double)(net.now_us - began_us) / SECOND, sent);
	g_assert_cmpuint(sent, <,
			 (uint64_t)((net.now_us - began_us) / SECOND + 1) *
				 (SWIM_PAGE_BYTES_PER_S + 14000));
	net_stop();
}

/* Guards against islands: all hosts start at once, and each finds one other before
 * the rest is up. Entries then use half of the upstreams. */
static void test_pairs_that_started_together_merge(void)
{
	net_start(0);
	net.has_no_seeds = true;
	net.count = 4;
	for (int i = 0; i < net.count; i++)
		host_start(i);
	swim_join(net.hosts[0].swim, net.hosts[3].address, PORT, net.now_us);
	swim_join(net.hosts[1].swim, net.hosts[2].address, PORT, net.now_us);
	net_run(2 * SECOND);
	net.loss_percent = 100;
	swim_join(net.hosts[1].swim, net.hosts[3].address, PORT, net.now_us);
	net_run(SECOND / 10);
	net.loss_percent = 0;
	net_settle(10 * SECOND);
	net_stop();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/swim/pairs", test_pairs_that_started_together_merge);
	g_test_add_func("/swim/kill", test_killed_host_is_detected);
	g_test_add_func("/swim/domain", test_lost_domain_is_detected);
	g_test_add_func("/swim/corrupted", test_corrupted_messages_are_handled);
	g_test_add_func("/swim/packet-loss",
			test_packet_loss_causes_no_false_deaths);
	g_test_add_func("/swim/frozen", test_resumed_host_declares_nobody_dead);
	g_test_add_func("/swim/partition", test_partition_heals);
	g_test_add_func("/swim/drain", test_drain_and_config_head_spread);
	g_test_add_func("/swim/long-group", test_long_group_spreads);
	g_test_add_func("/swim/head-confirmation",
			test_head_confirmation_spreads_and_ages);
	g_test_add_func("/swim/head-confirmation-queued",
			test_head_confirmation_ages_in_socket_queue);
	g_test_add_func("/swim/leave", test_leaving_host_is_not_declared_dead);
	g_test_add_func("/swim/restart", test_restarted_host_is_rediscovered);
	g_test_add_func("/swim/lower-incarnation",
			test_restart_with_lower_incarnation_is_accepted);
	g_test_add_func("/swim/random-faults",
			test_membership_converges_after_random_faults);
	g_test_add_func("/swim/simultaneous-restart",
			test_simultaneous_restart_converges);
	g_test_add_func("/swim/bandwidth", test_join_and_update_burst_bandwidth);
	return g_test_run();
}
