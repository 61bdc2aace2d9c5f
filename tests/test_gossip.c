#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/member/gossip.h"
#include "comfreydockd/member/swim.h"
#include "comfreydockd/settings.h"
#include "common/counters.h"
#include "common/log.h"

static uint8_t good_key[] = "spurningalina";
static uint8_t other_key[] = "quispe";

/* The gossip component of a daemon on loopback, with a port that the kernel
 * chooses. */
struct node {
	struct settings settings;
	struct daemon daemon;
	char *join[2];
};

static void node_start(struct node *node, char *host, uint8_t *key,
		       const struct node *join)
{
	memset(node, 0, sizeof(*node));
	if (join)
		node->join[0] = g_strdup_printf(
			"127.0.0.1:%u", gossip_port(join->daemon.gossip));
	node->settings = (struct settings){.host = host,
					   .domain = "hall-esja",
					   .region = "reykjavik",
					   .peer = {.address = "127.0.0.1"},
					   .peer_key = key,
					   .peer_key_size = key ? 6 : 0,
					   .join = node->join};
	node->daemon = (struct daemon){.loop = EV_DEFAULT,
				       .settings = &node->settings,
				       .incarnation = 1,
				       .members = member_table_create()};
	node->daemon.gossip = gossip_create(&node->daemon, 0, NULL);
	g_assert_nonnull(node->daemon.gossip);
}

static void node_stop(struct node *node)
{
	gossip_destroy(node->daemon.gossip);
	member_table_destroy(node->daemon.members);
	g_free(node->join[0]);
}

static void loop_break(struct ev_loop *loop, ev_timer *timer G_GNUC_UNUSED,
		       int events G_GNUC_UNUSED)
{
	ev_break(loop, EVBREAK_ALL);
}

static void loop_run(double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, loop_break, seconds, 0);
	ev_now_update(EV_DEFAULT);
	ev_timer_start(EV_DEFAULT, &timer);
	ev_run(EV_DEFAULT, 0);
}

static bool sees(struct node *node, const char *host, enum member_state state)
{
	struct member *member = member_table_find(node->daemon.members, host);

	return member && member->state == state;
}

static void run_until_sees(struct node *node, const char *host,
			   enum member_state state)
{
	for (int i = 0; i < 100 && !sees(node, host, state); i++)
		loop_run(0.05);
	g_assert_true(sees(node, host, state));
}

static void test_daemons_discover_each_other(void)
{
	struct node a, b, c;
	char *groups[] = {"lookup-desk", NULL};
	char *long_groups[60];

	node_start(&a, "esja-1", good_key, NULL);
	node_start(&b, "katla-1", good_key, &a);
	node_start(&c, "hekla-1", good_key, &b);
	run_until_sees(&a, "hekla-1", MEMBER_ALIVE);
	run_until_sees(&c, "esja-1", MEMBER_ALIVE);
	g_assert_true(gossip_announce_self(c.daemon.gossip, MEMBER_SERVICE_UP,
					   groups, 12, 0));
	for (int i = 0; i < 59; i++)
		long_groups[i] = "a-group-with-quite-a-long-name";
	long_groups[59] = NULL;
	g_assert_false(gossip_announce_self(c.daemon.gossip, MEMBER_SERVICE_UP,
					    long_groups, 12, 0));
	for (int i = 0; i < 100; i++) {
		if (member_table_group(a.daemon.members, "lookup-desk")->len)
			break;
		loop_run(0.05);
	}
	g_assert_cmpuint(
		member_table_group(a.daemon.members, "lookup-desk")->len, ==, 1);
	gossip_leave(c.daemon.gossip);
	run_until_sees(&a, "hekla-1", MEMBER_LEFT);
	node_stop(&a);
	node_stop(&b);
	node_stop(&c);
}

static void send_raw(const struct node *to, const void *data, size_t size)
{
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_port =
					 htons(gossip_port(to->daemon.gossip)),
				 .sin_addr = {htonl(INADDR_LOOPBACK)}};

	g_assert_cmpint(
		sendto(fd, data, size, 0, (struct sockaddr *)&at, sizeof(at)),
		==, size);
	close(fd);
}

/*
 * Guards against packets from senders without the key: another cluster with a
 * wrong address in its settings, a release with another format, or noise. If a
 * daemon accepted them, hosts of another cluster would get into its table and
 * receive its calls.
 */
static void test_unauthenticated_packets_are_dropped(void)
{
	struct node a, b;
	struct counters before;
	uint8_t version_9[] = {0x08, 9, 0x12, 1, 'x', 0x1a, 1, 'y'};
	uint8_t noise[1400];

	memset(noise, 0xff, sizeof(noise));
	node_start(&a, "esja-1", good_key, NULL);
	before = counters;
	node_start(&b, "surco-1", other_key, &a);
	send_raw(&a, version_9, sizeof(version_9));
	send_raw(&a, noise, sizeof(noise));
	send_raw(&a, noise, 0);
	loop_run(0.3);
	g_assert_cmpuint(counters.gossip_dropped_tag, >,
			 before.gossip_dropped_tag);
	g_assert_cmpuint(counters.gossip_dropped_version, ==,
			 before.gossip_dropped_version + 2);
	g_assert_cmpuint(counters.gossip_dropped_malformed, ==,
			 before.gossip_dropped_malformed + 1);
	g_assert_cmpuint(member_table_size(a.daemon.members), ==, 1);
	g_assert_cmpuint(member_table_size(b.daemon.members), ==, 1);
	node_stop(&a);
	node_stop(&b);
}

static void test_join_addresses_are_validated(void)
{
	struct node a;

	node_start(&a, "esja-1", NULL, NULL);
	g_assert_true(gossip_join(a.daemon.gossip, "127.0.0.1:9"));
	g_assert_true(gossip_join(a.daemon.gossip, "[::1]:9"));
	g_assert_false(gossip_join(a.daemon.gossip, "esja-1:9"));
	g_assert_false(gossip_join(a.daemon.gossip, "127.0.0.1"));
	g_assert_false(gossip_join(a.daemon.gossip, "127.0.0.1:70000"));
	g_assert_false(gossip_join(a.daemon.gossip, ":9"));
	g_assert_null(
		gossip_create(&a.daemon, gossip_port(a.daemon.gossip), NULL));
	node_stop(&a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/gossip/discovery", test_daemons_discover_each_other);
	g_test_add_func("/gossip/unauthenticated",
			test_unauthenticated_packets_are_dropped);
	g_test_add_func("/gossip/join-addresses",
			test_join_addresses_are_validated);
	return g_test_run();
}
