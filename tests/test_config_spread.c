#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "comfreydockd/config/spread_internal.h"
#include "comfreydockd/peer/link.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/slice.h"
#include "spread_net.h"

/* A change of one route must not cost each daemon more than this. */
#define CHANGE_BYTES_MAX 4096

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
	/* Two reads of a reader are 0.8 s to 1.2 s apart. */
	g_assert_cmpuint(net.head_reads, <=, 4 * 7);
	g_assert_cmpuint(net.object_reads, <=, 4);
	net_finish(&net);
}

/* Guards against a domain without readers after both of them lose power: it
 * would hear of changes only through other domains. */
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

/* Guards against a change that stops with its first readers: the platform fails
 * just after a few daemons have read it, and the others must get it from
 * them. */
static void test_peers_distribute_without_the_platform(void)
{
	check_peers_pass_on(0);
}

/* Guards against calls that wait while the handler of a peer's frame, or of an
 * answer of the platform, parses a configuration: a job does. */
static void test_bodies_are_adopted_by_jobs(void)
{
	net_init(&net, 8);
	net.slice_queue = slice_queue_create(EV_DEFAULT);
	for (unsigned int i = 0; i < net.count; i += 2) {
		net_stop(&net, i);
		net_start(&net, i);
	}
	net_run(&net, 2000);
	net_apply(&net, 0);
	net_run(&net, 5000);
	for (unsigned int i = 0; i < net.count; i++)
		g_assert_cmpuint(net_held(&net, i, 0), ==, i % 2);
	while (!net_has_converged(&net))
		ev_run(EV_DEFAULT, EVRUN_NOWAIT);
	net_run(&net, 1000);
	g_assert_true(net_has_converged(&net));
	net_finish(&net);
	slice_queue_destroy(net.slice_queue);
}

/*
 * Guards against a body that is too large for the usual answer of a peer and is
 * therefore not distributed. The platform fails once a few daemons have read
 * it; callers of all other hosts would get the old routes for as long as the
 * file stays that large.
 */
static void test_body_larger_than_an_answer_is_distributed(void)
{
	check_peers_pass_on(CONFIG_SPREAD_ANSWER_BYTES * 2);
}

/*
 * The same failure with a body larger than a frame between daemons: 5,000
 * routes take 1.5 MB. The operator's next change of a single route would reach
 * only the hosts that read the platform.
 */
static void test_body_larger_than_a_frame_is_distributed(void)
{
	check_peers_pass_on(LINK_MAX_FRAME_BYTES * 3);
}

/* RETURN VALUE: a configuration of the namespace "a" with drawn routes. The
 * route at the index changed has another group. */
static char *body_of_routes(unsigned int routes, unsigned int changed)
{
	GString *text =
		g_string_new("{\"namespace\": \"a\", \"services\": "
			     "{\"s\": {\"hosts\": [\"a\"], \"rules\": [");
	struct random_state random = {1};

	for (unsigned int i = 0; i < routes; i++)
		g_string_append_printf(
			text,
			"%s{\"name\": \"r%u\", \"path_prefix\": \"/%016" PRIx64
			"/\", \"deadline_ms\": 2000, \"to\": [{\"group\": "
			"\"%s\"}]}",
			i ? ", " : "", i, random_u64(&random),
			i == changed ? "videos" : "bookings");
	g_string_append(text, "]}}}");
	return g_string_free(text, FALSE);
}

/* Guards against a change of one route that travels as the whole configuration:
 * on a slow link it would be in force too late, and each further change too. */
static void test_small_change_is_a_small_transfer(void)
{
	net_init(&net, 12);
	net_run(&net, 2000);
	net_apply_body(&net, 0, body_of_routes(5400, 0));
	net_run(&net, 8000);
	g_assert_true(net_has_converged(&net));
	for (unsigned int change = 1; change <= 3; change++) {
		net.answer_bytes = 0;
		net_apply_body(&net, 0, body_of_routes(5400, change));
		net_run(&net, 3000);
		g_assert_true(net_has_converged(&net));
		g_assert_cmpuint(net.answer_bytes, >, 0);
		g_assert_cmpuint(net.answer_bytes, <=,
				 CHANGE_BYTES_MAX * net.count);
	}
	net_finish(&net);
}

/* RETURN VALUE: the bytes of all peers' answers about a change of one route. */
static uint64_t bytes_of_change(unsigned int changed)
{
	net.answer_bytes = 0;
	net_apply_body(&net, 0, body_of_routes(1000, changed));
	net_run(&net, 6000);
	g_assert_true(net_has_converged(&net));
	return net.answer_bytes;
}

/* Guards against a host that missed some versions and needs the whole body for
 * it. */
static void test_missed_changes_are_one_difference(void)
{
	unsigned int missing = 0;

	net_init(&net, 8);
	net_run(&net, 2000);
	bytes_of_change(0);
	while (config_spread_is_reader(net.nodes[missing].spread))
		missing++;
	net.nodes[missing].partitioned = true;
	for (unsigned int change = 1; change < 6; change++)
		net_apply_body(&net, 0, body_of_routes(1000, change));
	net_run(&net, 5000);
	for (unsigned int change = 6; change < 8; change++) {
		net_apply_body(&net, 0, body_of_routes(1000, change));
		net_run(&net, 3000);
	}
	g_assert_false(net_has_converged(&net));
	net.platform_down = true;
	net.nodes[missing].partitioned = false;
	net.answer_bytes = 0;
	net_run(&net, 5000);
	g_assert_true(net_has_converged(&net));
	g_assert_cmpuint(net.answer_bytes, <, CHANGE_BYTES_MAX);
	net_finish(&net);
}

/* Guards against a difference that is damaged, or leads elsewhere, and is asked
 * for again and again: no peer sends a sound one here. */
static void test_wrong_differences_are_replaced(void)
{
	uint64_t undecodable = counters.config_bodies_undecodable;
	uint64_t refused = counters.config_offers_refused;

	net_init(&net, 8);
	net_run(&net, 2000);
	bytes_of_change(0);
	for (unsigned int i = 0; i < net.count; i++)
		net.nodes[i].corrupts = true;
	net_apply_body(&net, 0, body_of_routes(1000, 1));
	net_run(&net, 1500);
	g_assert_cmpuint(counters.config_bodies_undecodable +
				 counters.config_offers_refused,
			 >, undecodable + refused);
	for (unsigned int i = 0; i < net.count; i++)
		net.nodes[i].corrupts = false;
	net_run(&net, 8000);
	g_assert_true(net_has_converged(&net));
	net_finish(&net);
}

/* Guards against hosts of an earlier release that get no change any more during
 * a rolling upgrade. */
static void test_earlier_release_gets_plain_bodies(void)
{
	net_init(&net, 8);
	net.asks_plainly = true;
	net_run(&net, 2000);
	bytes_of_change(0);
	g_assert_cmpuint(bytes_of_change(1), >, 8 * CHANGE_BYTES_MAX);
	net.asks_plainly = false;
	g_assert_cmpuint(bytes_of_change(2), <=, 8 * CHANGE_BYTES_MAX);
	net_finish(&net);
}

static unsigned int pieces_at(unsigned int i)
{
	return net.nodes[i].spread->pieces.bytes->len;
}

/*
 * Guards against waiting for a peer that is known to be gone. Hosts are
 * replaced while a large version is distributed, and the peer asked for the
 * next piece stops. Waiting for its answer would delay the version by a second
 * and a half.
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

/* Guards against pieces that stay in memory after their version arrived from
 * another source: a daemon has 64 MB. */
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
 * Guards against a start with an old configuration. A host is restarted during
 * a long outage of the platform, and peers that were partitioned off are
 * behind. If it adopted the head of one of them, callers would get rules of
 * last week.
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
		/* Nodes 1 and 2 are partitioned off and don't get it. */
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

/* Guards against an empty configuration that is taken for a valid one. All
 * hosts of a data hall start while the platform is down, and none has a
 * configuration. */
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

/* Guards against damaged bodies from a peer's memory or the network. Their hash
 * does not match, so the daemon must reject them and fetch them from another
 * source. */
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

/* Guards against an overload of one daemon: after a partition thousands may
 * query it in the same second. It has upstream work to do and must answer the
 * rest with busy. */
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

/* RETURN VALUE: mostly a size that fits one answer, sometimes several
 * pieces. */
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

/* Guards against lower versions and lasting disagreement under random loss,
 * delay, damage and restarts. The network checks after each event that no
 * daemon goes back; all must agree 10 s after the faults end. */
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
	g_test_add_func("/spread/jobs", test_bodies_are_adopted_by_jobs);
	g_test_add_func("/spread/replaced", test_readers_are_replaced);
	g_test_add_func("/spread/peers",
			test_peers_distribute_without_the_platform);
	g_test_add_func("/spread/large",
			test_body_larger_than_an_answer_is_distributed);
	g_test_add_func("/spread/larger-than-a-frame",
			test_body_larger_than_a_frame_is_distributed);
	g_test_add_func("/spread/small-change",
			test_small_change_is_a_small_transfer);
	g_test_add_func("/spread/missed-changes",
			test_missed_changes_are_one_difference);
	g_test_add_func("/spread/wrong-differences",
			test_wrong_differences_are_replaced);
	g_test_add_func("/spread/earlier-release",
			test_earlier_release_gets_plain_bodies);
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
