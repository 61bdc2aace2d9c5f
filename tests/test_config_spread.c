#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "comfreydockd/config/spread_internal.h"
#include "comfreydockd/peer/link.h"
#include "common/clock.h"
#include "spread_net.h"

static struct net net;

static unsigned int count_readers(void)
{
	unsigned int readers = 0;

	for (unsigned int i = 0; i < net.count; i++)
		readers += net.nodes[i].up &&
			   config_spread_is_reader(net.nodes[i].spread);
	return readers;
}

static void test_change_reaches_all_with_few_reads(void)
{
	net_init(&net, 12);
	net_run(&net, 3000);
	g_assert_cmpuint(count_readers(), ==, 2 * CONFIG_SPREAD_READERS);
	net_apply(&net, 0);
	net.head_reads = 0;
	net_run(&net, 5000);
	g_assert_true(net_has_converged(&net));
	/* At 0.8 s to 1.2 s between two reads. */
	g_assert_cmpuint(net.head_reads, <=, 4 * 7);
	g_assert_cmpuint(net.object_reads, <=, 4);
	net_finish(&net);
}

/* A rack with both readers of a domain loses its power. If nobody took their
 * place, the domain would hear of changes through others alone. */
static void test_readers_are_replaced(void)
{
	unsigned int stopped = 0;

	net_init(&net, 8);
	net_run(&net, 2000);
	for (unsigned int i = 0; i < net.count; i += 2) {
		if (!config_spread_is_reader(net.nodes[i].spread))
			continue;
		net_stop(&net, i);
		stopped++;
	}
	g_assert_cmpuint(stopped, ==, CONFIG_SPREAD_READERS);
	net_run(&net, 2000);
	g_assert_cmpuint(count_readers(), ==, 2 * CONFIG_SPREAD_READERS);
	net_finish(&net);
}

static void check_peers_pass_on(size_t body_bytes)
{
	net_init(&net, 10);
	net_run(&net, 2000);
	net_apply_sized(&net, 0, body_bytes);
	while (net.object_reads == 0)
		net_run(&net, 10);
	net.platform_down = true;
	net_run(&net, 5000);
	g_assert_true(net_has_converged(&net));
	g_assert_cmpuint(net.object_reads, <, 10);
	net_finish(&net);
}

/* The platform fails just after a change was read by a few. The others still
 * get it, from those. */
static void test_peers_distribute_without_the_platform(void)
{
	check_peers_pass_on(0);
}

/*
 * An operator adds routes until the file no longer fits into the usual answer of
 * a peer, and the platform fails once a few have read it. Without the body no
 * peer gets on: callers of all other hosts go on meeting the routes of before,
 * for as long as the file stays that large.
 */
static void test_body_larger_than_an_answer_is_distributed(void)
{
	check_peers_pass_on(CONFIG_SPREAD_ANSWER_BYTES * 2);
}

/*
 * The file outgrows even a frame between daemons: 5,000 routes take 1.5 MB. It
 * is the same to callers, and to the operator, whose next change of a single
 * route reaches just the hosts that read the platform.
 */
static void test_body_larger_than_a_frame_is_distributed(void)
{
	check_peers_pass_on(LINK_MAX_FRAME_BYTES * 3);
}

static unsigned int pieces_at(unsigned int i)
{
	return net.nodes[i].spread->pieces.bytes->len;
}

/*
 * Hosts are being replaced while a large version travels. The one that was asked for
 * the next piece ends, as all know; waiting for its answer all the same, this host
 * would get the version a second and a half later.
 */
static void test_fetch_from_stopped_peer_is_abandoned(void)
{
	unsigned int before;
	unsigned int asked;

	net_init(&net, 10);
	net_run(&net, 2000);
	net_apply_sized(&net, 0, LINK_MAX_FRAME_BYTES);
	for (int i = 0; i < 5000 && pieces_at(9) == 0; i++)
		net_run(&net, 1);
	before = pieces_at(9);
	g_assert_cmpuint(before, >, 0);
	g_assert_cmpint(net.nodes[9].spread->step, ==, CONFIG_FETCH_BODIES);
	asked = (unsigned int)atoi(net.nodes[9].spread->asked_host + 1);
	net_stop(&net, asked);
	net_run(&net, 1000);
	g_assert_true(net_held(&net, 9, 0) == 1 || pieces_at(9) > before);
	net_finish(&net);
}

/* Parts of a version that then came in another way are let go: a daemon has 64 MB. */
static void test_pieces_of_adopted_version_are_freed(void)
{
	const struct config_version *version;
	char *key;

	net_init(&net, 10);
	net_run(&net, 2000);
	net_apply_sized(&net, 0, LINK_MAX_FRAME_BYTES);
	for (int i = 0; i < 5000 && pieces_at(9) == 0; i++)
		net_run(&net, 1);
	g_assert_cmpuint(pieces_at(9), >, 0);
	net.nodes[9].partitioned = true;
	version = &g_array_index(net.head.versions, struct config_version, 0);
	key = config_object_key(version->sha256);
	config_store_offer_trusted(net.nodes[9].store, version,
				   g_hash_table_lookup(net.objects, key));
	g_free(key);
	g_assert_cmpuint(net_held(&net, 9, 0), ==, 1);
	net_run(&net, 200);
	g_assert_cmpuint(pieces_at(9), ==, 0);
	net_finish(&net);
}

/*
 * A host is replaced during a long outage. One of its three peers was cut off
 * and is behind; were its word taken, callers would meet rules of last week.
 */
static void test_restart_adopts_highest_peer_head(void)
{
	for (int round = 0; round < 20; round++) {
		net_init(&net, 4);
		net_apply(&net, 0);
		net_run(&net, 3000);
		net.nodes[1].partitioned = true;
		net.nodes[2].partitioned = true;
		net_stop(&net, 0);
		/* 1 and 2 can't read it either. */
		net_apply(&net, 0);
		config_store_note_head(net.nodes[3].store, 2, NULL);
		for (int i = 0; i < 50 && net_held(&net, 3, 0) < 2; i++) {
			net.platform_down = i % 2;
			net_run(&net, 10);
		}
		net.platform_down = true;
		net.nodes[1].partitioned = false;
		net.nodes[2].partitioned = false;
		net_start(&net, 0);
		net_run(&net, 8000);
		g_assert_true(config_store_is_ready(net.nodes[0].store));
		g_assert_cmpuint(net_held(&net, 0, 0), ==, 2);
		net_finish(&net);
	}
}

/* All hosts of a hall are started while the platform is down. None has a
 * configuration, and none may take another's emptiness for one. */
static void test_no_daemon_is_ready_without_configuration(void)
{
	net_init(&net, 6);
	net.platform_down = true;
	net_run(&net, 20000);
	for (unsigned int i = 0; i < net.count; i++)
		g_assert_false(config_store_is_ready(net.nodes[i].store));
	net_apply(&net, 1);
	net.platform_down = false;
	net_run(&net, 8000);
	g_assert_true(net_has_converged(&net));
	net_finish(&net);
}

/* A peer's memory or wire damages bodies. They are refused by their hash, and
 * the daemon that asked gets them elsewhere. */
static void test_damaged_bodies_are_fetched_again(void)
{
	net_init(&net, 3);
	net_run(&net, 2000);
	for (unsigned int i = 0; i < net.count; i++)
		net.nodes[i].corrupts = true;
	net_apply(&net, 0);
	net_run(&net, 8000);
	g_assert_true(net_has_converged(&net));
	net_finish(&net);
}

static void test_answer_lists_only_changes(void)
{
	Cfd__ConfigQuery query = CFD__CONFIG_QUERY__INIT;
	Cfd__ConfigBody *answer;

	net_init(&net, 1);
	net_apply(&net, 0);
	net_apply(&net, 1);
	net_apply(&net, 0);
	net_run(&net, 3000);
	query.above_head = 2;
	answer = config_spread_answer(net.nodes[0].spread, &query);
	g_assert_cmpuint(answer->head, ==, 3);
	g_assert_true(answer->is_listing);
	g_assert_cmpuint(answer->n_lines, ==, 1);
	g_assert_cmpstr(answer->lines[0]->namespace_, ==, "a");
	g_assert_true(answer->lines[0]->has_body);
	config_spread_free_answer(answer);
	net_finish(&net);
}

/* After a partition thousands may ask one daemon in the same second. It has
 * upstream work to do, and sends the rest of them to others. */
static void test_answers_are_rate_limited(void)
{
	Cfd__ConfigQuery query = CFD__CONFIG_QUERY__INIT;
	unsigned int answered = 0;

	net_init(&net, 1);
	net_run(&net, 2000);
	for (int i = 0; i < 1000; i++) {
		Cfd__ConfigBody *answer =
			config_spread_answer(net.nodes[0].spread, &query);

		answered += !answer->busy;
		config_spread_free_answer(answer);
	}
	g_assert_cmpuint(answered, ==, CONFIG_SPREAD_ANSWERS_PER_S);
	net_finish(&net);
}

/* Mostly of one answer, now and then of several pieces. */
static size_t random_size(void)
{
	if (g_test_rand_int_range(0, 4) > 0)
		return 0;
	return (size_t)g_test_rand_int_range(0, 6 * CONFIG_SPREAD_PIECE_BYTES);
}

static void inject_random_fault(void)
{
	unsigned int i = (unsigned int)g_test_rand_int_range(0, (int)net.count);

	switch (g_test_rand_int_range(0, 6)) {
	case 0:
		net.platform_down = !net.platform_down;
		break;
	case 1:
		if (net.nodes[i].up)
			net_stop(&net, i);
		else
			net_start(&net, i);
		break;
	case 2:
		net.nodes[i].partitioned = !net.nodes[i].partitioned;
		break;
	case 3:
		net.nodes[i].corrupts = !net.nodes[i].corrupts;
		break;
	default:
		if (!net.platform_down)
			net_apply_sized(&net, g_test_rand_int_range(0, NET_NAMES),
					random_size());
		break;
	}
}

/* Whatever is lost, late, damaged or restarted: no daemon goes back, which the
 * net checks after each event, and all agree soon after it is over. */
static void test_random_faults_converge(void)
{
	for (int round = 0; round < 40; round++) {
		net_init(&net, 10);
		net.lost_percent = g_test_rand_int_range(0, 60);
		net.slow_ms = g_test_rand_int_range(0, 3000);
		for (int i = 0; i < 60; i++) {
			inject_random_fault();
			net_run(&net, g_test_rand_int_range(1, 2000));
		}
		net.platform_down = false;
		net.lost_percent = 0;
		net.slow_ms = 0;
		for (unsigned int i = 0; i < net.count; i++) {
			net.nodes[i].partitioned = false;
			net.nodes[i].corrupts = false;
		}
		net_run(&net, 10000);
		g_assert_true(net_has_converged(&net));
		net_finish(&net);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/spread/readers",
			test_change_reaches_all_with_few_reads);
	g_test_add_func("/spread/replaced", test_readers_are_replaced);
	g_test_add_func("/spread/peers",
			test_peers_distribute_without_the_platform);
	g_test_add_func("/spread/large",
			test_body_larger_than_an_answer_is_distributed);
	g_test_add_func("/spread/larger-than-a-frame",
			test_body_larger_than_a_frame_is_distributed);
	g_test_add_func("/spread/peer-stopped",
			test_fetch_from_stopped_peer_is_abandoned);
	g_test_add_func("/spread/freed-pieces",
			test_pieces_of_adopted_version_are_freed);
	g_test_add_func("/spread/restart", test_restart_adopts_highest_peer_head);
	g_test_add_func("/spread/not-ready",
			test_no_daemon_is_ready_without_configuration);
	g_test_add_func("/spread/damaged", test_damaged_bodies_are_fetched_again);
	g_test_add_func("/spread/changes", test_answer_lists_only_changes);
	g_test_add_func("/spread/busy", test_answers_are_rate_limited);
	g_test_add_func("/spread/property", test_random_faults_converge);
	return g_test_run();
}
