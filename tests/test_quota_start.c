#include <ev.h>
#include <glib.h>

#include "comfreydockd/member/gossip.h"
#include "common/clock.h"
#include "quota_nodes.h"

/* Quotas after hosts have started, stopped or come back. */

/* Guards against a keeper that has just started, knows few members and grants
 * itself the share of all others. */
static void test_not_ready_without_a_table(void)
{
	const struct config_organisation one = {.name = "one", .rate_per_s = 20};
	struct outcome outcome;

	quota_nodes_loop = EV_DEFAULT;
	quota_node_start(&quota_nodes[0], quota_node_names[0], "127.0.0.1:9");
	quota_nodes_run_for(SETTLE_MS);
	g_assert_cmpint(quota_nodes_acquire(&quota_nodes[0], &one, &outcome),
			==, QUOTA_UNAVAILABLE);
	quota_nodes_stop_all();
}

/* Guards against 503 for calls whose keeper is ready soon, and against calls that
 * wait for one that is not. */
static void test_calls_wait_until_the_keeper_is_ready(void)
{
	const struct config_organisation one = {.name = "one", .rate_per_s = 20};
	struct outcome outcome;
	char join[32];

	quota_nodes_loop = EV_DEFAULT;
	quota_nodes_ready_wait_us = 400 * US_PER_MS;
	quota_node_start(&quota_nodes[0], quota_node_names[0], NULL);
	quota_nodes_run_for(SETTLE_MS);
	g_snprintf(join, sizeof(join), "127.0.0.1:%u",
		   gossip_port(quota_nodes[0].daemon.gossip));
	quota_node_start(&quota_nodes[1], quota_node_names[1], join);
	g_assert_cmpint(quota_nodes_acquire(&quota_nodes[1], &one, &outcome),
			==, QUOTA_PENDING);
	quota_nodes_run_for(500);
	g_assert_cmpint(outcome.verdict, ==, QUOTA_GRANTED);
	quota_nodes_stop_all();
	quota_node_start(&quota_nodes[0], quota_node_names[0], "127.0.0.1:9");
	g_assert_cmpint(quota_nodes_acquire(&quota_nodes[0], &one, &outcome),
			==, QUOTA_PENDING);
	quota_nodes_run_for(390);
	g_assert_cmpint(outcome.verdict, ==, QUOTA_PENDING);
	quota_nodes_run_for(20);
	g_assert_cmpint(outcome.verdict, ==, QUOTA_UNAVAILABLE);
	quota_nodes_ready_wait_us = 0;
	quota_nodes_stop_all();
}

/* Guards against requests within the quota that are refused for seconds after
 * all hosts have restarted together. */
static void test_restart_of_all_hosts(void)
{
	enum {
		CALLS = 250 /* in 4 s: 62% of the quota */
	};
	const struct config_organisation one = {.name = "one", .rate_per_s = 100};
	static struct outcome outcomes[CALLS];
	unsigned int granted = 0;
	int waited_ms = 0;

	quota_nodes_begin_all();
	for (int i = 0; i < NODES; i++) {
		while (!gossip_table_is_complete(quota_nodes[i].daemon.gossip)) {
			quota_nodes_run_for(10);
			g_assert_cmpint(waited_ms += 10, <, 2000);
		}
	}
	quota_nodes_run_for(500); /* all know each other */
	for (int i = 0; i < CALLS; i++) {
		quota_nodes_acquire(&quota_nodes[i % NODES], &one, &outcomes[i]);
		quota_nodes_run_for(16);
	}
	quota_nodes_run_for(1000);
	for (int i = 0; i < CALLS; i++)
		granted += outcomes[i].verdict == QUOTA_GRANTED;
	g_assert_cmpuint(granted, >=, CALLS * 97 / 100);
	quota_nodes_stop_all();
}

/* Guards against a host that has started and grants at once what the former
 * keeper may still be granting, and against one that is limited for a change
 * which does not concern its pools. */
static void test_settling_after_a_start(void)
{
	struct quota *quota;
	bool was_settling = false;
	bool was_keeper = false;

	quota_nodes_start_all();
	quota_node_stop(&quota_nodes[1]);
	quota_nodes_run_for(1000);
	quota = quota_nodes[0].daemon.quota;
	while (quota->view.own->live->len == NODES) {
		quota_nodes_run_for(100);
		quota_view_refresh(quota, clock_mono_us());
	}
	for (int i = 0; i < 100; i++) {
		char name[8];
		enum quota_pool_mode mode;

		g_snprintf(name, sizeof(name), "o-%d", i);
		mode = quota_view_keeper_mode(quota, name, clock_mono_us());
		was_settling |= mode == QUOTA_POOL_SETTLING;
		was_keeper |= mode == QUOTA_POOL_KEEPER;
	}
	g_assert_true(was_settling && was_keeper);
	quota = quota_nodes[2].daemon.quota;
	quota->ready_us = clock_mono_us();
	quota->daemon->incarnation = (uint64_t)clock_wall_us();
	g_assert_cmpint(quota_view_keeper_mode(quota, "one", clock_mono_us()),
			==, QUOTA_POOL_SETTLING);
	quota_nodes_stop_all();
}

static void inject_grant(struct quota_client *client, Cfd__QuotaGrant *grant)
{
	grant->seq = client->ask_seq;
	quota_client_handle_grant(client, grant, clock_mono_us());
}

/* Guards against 503 for calls within the quota as their keeper stops: it denies
 * being one before this host knows the next, and the deputy's pool is empty. */
static void test_calls_wait_beside_an_empty_deputy(void)
{
	const struct config_organisation one = {.name = "one", .rate_per_s = 20};
	Cfd__QuotaGrant denial = CFD__QUOTA_GRANT__INIT;
	Cfd__QuotaGrant nothing = CFD__QUOTA_GRANT__INIT;
	struct node *parts[NODES];
	struct quota_client *client;
	struct outcome outcome;

	quota_nodes_start_all();
	quota_nodes_ready_wait_us = 400 * US_PER_MS;
	quota_nodes_find_parts("one", parts);
	g_assert_cmpint(quota_nodes_acquire(parts[2], &one, &outcome), ==,
			QUOTA_PENDING);
	client = g_hash_table_lookup(parts[2]->daemon.quota->clients, "one");
	denial.not_keeper = true;
	inject_grant(client, &denial);
	g_assert_true(client->asked_deputy);
	nothing.retry_after_ms = QUOTA_POOL_RETRY_MAX_US / US_PER_MS;
	inject_grant(client, &nothing);
	g_assert_cmpint(outcome.verdict, ==, QUOTA_PENDING);
	quota_nodes_run_for(300);
	g_assert_cmpint(outcome.verdict, ==, QUOTA_GRANTED);
	quota_nodes_ready_wait_us = 0;
	quota_nodes_stop_all();
}

/* Guards against a share that grows with a host from the other side of a
 * partition while that side's keeper still counts it. */
static void test_share_grows_late(void)
{
	struct member *member;
	struct quota *quota;

	quota_nodes_start_all();
	quota = quota_nodes[0].daemon.quota;
	quota_view_refresh(quota, clock_mono_us());
	g_assert_cmpfloat(quota_view_share(quota), ==, 1);
	member = member_table_find(quota->daemon->members, quota_node_names[1]);
	member->state_since_us = clock_mono_us();
	quota->view.is_stale = true;
	quota_nodes_run_for(1500);
	quota_view_refresh(quota, clock_mono_us());
	g_assert_cmpfloat(quota_view_share(quota), <, 0.7);
	quota_nodes_run_for(2000);
	quota_view_refresh(quota, clock_mono_us());
	g_assert_cmpfloat(quota_view_share(quota), ==, 1);
	quota_nodes_stop_all();
}

/* Guards against requests that the only live host of a domain refuses for a second
 * after one was refused, as it asks a deputy that doesn't exist. */
static void test_domain_without_a_deputy(void)
{
	const struct config_organisation one = {.name = "one", .rate_per_s = 20};
	struct node *other = &quota_nodes[1];
	struct outcome outcome;
	char join[32];
	int waited_ms = 0;

	quota_nodes_loop = EV_DEFAULT;
	quota_node_start(&quota_nodes[0], quota_node_names[0], NULL);
	g_snprintf(join, sizeof(join), "127.0.0.1:%u",
		   gossip_port(quota_nodes[0].daemon.gossip));
	quota_node_start_in(other, quota_node_names[1], (char *)"hall-katla",
			    join);
	g_assert_cmpint(quota_nodes_acquire(other, &one, &outcome), ==,
			QUOTA_UNAVAILABLE);
	for (; !gossip_table_is_complete(other->daemon.gossip); waited_ms += 10)
		quota_nodes_run_for(10);
	g_assert_cmpint(waited_ms, <, QUOTA_DEPUTY_US / US_PER_MS);
	if (quota_nodes_acquire(other, &one, &outcome) == QUOTA_PENDING)
		quota_nodes_run_for(400);
	g_assert_cmpint(outcome.verdict, !=, QUOTA_UNAVAILABLE);
	quota_nodes_stop_all();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quota-start/not-ready", test_not_ready_without_a_table);
	g_test_add_func("/quota-start/ready-soon",
			test_calls_wait_until_the_keeper_is_ready);
	g_test_add_func("/quota-start/restart-all", test_restart_of_all_hosts);
	g_test_add_func("/quota-start/settling", test_settling_after_a_start);
	g_test_add_func("/quota-start/empty-deputy",
			test_calls_wait_beside_an_empty_deputy);
	g_test_add_func("/quota-start/share", test_share_grows_late);
	g_test_add_func("/quota-start/no-deputy", test_domain_without_a_deputy);
	return g_test_run();
}
