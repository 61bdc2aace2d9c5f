#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/peer/link.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/settings.h"
#include "common/counters.h"
#include "common/log.h"
#include "paused_clock.h"

#define MANY 100

/* The connections of one daemon, without the rest of it. The ends of all
 * daemons share one loop. */
struct node {
	struct settings settings;
	struct daemon daemon;
	struct peers *peers;
	GString *received; /* sequence numbers of received cancels */
	unsigned int lost;
	struct peer *from;
};

static struct ev_loop *loop;

/* Advances the paused clock while the loop handles the sockets. */
static void run_for(int ms)
{
	for (int i = 0; i < ms; i++) {
		ev_run(loop, EVRUN_NOWAIT);
		paused_clock_advance_us(1000);
	}
}

static void handle_owner_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct node *node = data;

	node->from = peer;
	if (frame->kind_case == CFD__FRAME__KIND_CANCEL)
		g_string_append_printf(node->received, "%d ",
				       (int)frame->cancel->seq);
	ev_break(loop, EVBREAK_ALL);
}

static void handle_entry_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	(void)peer;
	(void)frame;
	(void)data;
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	struct node *node = data;

	(void)peer;
	(void)error;
	node->lost++;
	ev_break(loop, EVBREAK_ALL);
}

static void node_init(struct node *node, const char *host, const char *key)
{
	struct peers_role owner = {handle_owner_frame, handle_lost, node};
	struct peers_role entry = {handle_entry_frame, handle_lost, node};

	memset(node, 0, sizeof(*node));
	node->settings.host = (char *)host;
	node->settings.peer.address = (char *)"127.0.0.1";
	node->settings.peer_key = (uint8_t *)key;
	node->settings.peer_key_size = strlen(key);
	node->daemon.loop = loop;
	node->daemon.settings = &node->settings;
	node->daemon.incarnation = 7;
	node->daemon.members = member_table_create();
	node->received = g_string_new(NULL);
	node->peers = peers_create(&node->daemon);
	g_assert_nonnull(node->peers);
	node->daemon.peers = node->peers;
	peers_set_owner_role(node->peers, &owner);
	peers_set_entry_role(node->peers, &entry);
}

static void node_finish(struct node *node)
{
	peers_destroy(node->peers);
	member_table_destroy(node->daemon.members);
	g_string_free(node->received, TRUE);
}

static struct member member_of(const struct node *node)
{
	struct member member = {.peer_port = peers_port(node->peers)};

	g_strlcpy(member.host, node->settings.host, sizeof(member.host));
	g_strlcpy(member.address, "127.0.0.1", sizeof(member.address));
	return member;
}

static uint64_t send_cancel(struct peer *peer, uint64_t seq)
{
	Cfd__Cancel cancel = CFD__CANCEL__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	cancel.seq = seq;
	frame.kind_case = CFD__FRAME__KIND_CANCEL;
	frame.cancel = &cancel;
	return peer_send(peer, &frame);
}

static void test_frames_sent_before_the_handshake_keep_their_order(void)
{
	struct node a, b;
	struct member member;
	struct peer *peer;
	uint64_t first, last;

	node_init(&a, "a", "secret");
	node_init(&b, "b", "secret");
	member = member_of(&b);
	peer = peers_connect(a.peers, &member);
	first = send_cancel(peer, 1);
	last = send_cancel(peer, 2);
	g_assert_false(peer_has_begun_sending(peer, first));
	while (strcmp(b.received->str, "1 2 ") != 0)
		run_for(1);
	g_assert_true(peer_has_begun_sending(peer, last));
	g_assert_cmpstr(peer_host(b.from), ==, "a");
	g_assert_cmpuint(peer_incarnation(b.from), ==, 7);
	g_assert_true(peers_connect(a.peers, &member) == peer);
	node_finish(&a);
	node_finish(&b);
}

/*
 * A caller waits for a job of two minutes, and no other frame passes between
 * the two daemons. The connection must not be closed as idle meanwhile,
 * although no frame arrives on it for longer than the idle timeout.
 */
static void test_a_connection_with_an_attempt_out_is_not_idle(void)
{
	struct node a, b;
	struct member member;
	struct peer *peer;

	node_init(&a, "a", "secret");
	node_init(&b, "b", "secret");
	member = member_of(&b);
	member_table_update(a.daemon.members, &member, 0);
	peer = peers_connect(a.peers, &member);
	send_cancel(peer, 1);
	while (strcmp(b.received->str, "1 ") != 0)
		run_for(1);
	peer_begin_use(peer);
	for (int second = 0; second < 120; second++) {
		paused_clock_advance_us(1000 * 1000);
		run_for(1);
	}
	g_assert_cmpuint(a.lost, ==, 0);
	peer_end_use(peer);
	for (int second = 0; second < 10 && a.lost == 0; second++) {
		paused_clock_advance_us(1000 * 1000);
		run_for(1);
	}
	g_assert_cmpuint(a.lost, ==, 1);
	node_finish(&a);
	node_finish(&b);
}

/* Guards against a reply that overtakes the frames sent before it, and against a
 * peer that never replies and is waited for. */
static void test_ping_reply_comes_last(void)
{
	struct node a, b;
	struct member member;
	struct peer *peer;

	node_init(&a, "a", "secret");
	node_init(&b, "b", "secret");
	member = member_of(&b);
	peer = peers_connect(a.peers, &member);
	send_cancel(peer, 1);
	while (strcmp(b.received->str, "1 ") != 0)
		run_for(1);
	g_assert_true(peer_has_replied(b.from));
	peers_ping_entries(b.peers);
	send_cancel(peer, 2);
	g_assert_false(peer_has_replied(b.from));
	while (!peer_has_replied(b.from))
		run_for(1);
	g_assert_cmpstr(b.received->str, ==, "1 2 ");
	peers_ping_entries(b.peers);
	paused_clock_advance_us(PEERS_PING_TIMEOUT_US + 1);
	g_assert_true(peer_has_replied(b.from));
	/* The loop's own time follows the clock that was advanced. */
	run_for(1);
	node_finish(&a);
	node_finish(&b);
}

static void test_connection_to_self_uses_memory(void)
{
	struct node a;
	struct member member;
	struct peer *peer;

	node_init(&a, "a", "secret");
	member = member_of(&a);
	peer = peers_connect(a.peers, &member);
	for (uint64_t i = 0; i < MANY; i++)
		send_cancel(peer, i);
	/* The handler is never called from within a send. */
	g_assert_cmpstr(a.received->str, ==, "");
	while (!strstr(a.received->str, " 99 "))
		run_for(1);
	g_assert_true(g_str_has_prefix(a.received->str, "0 1 2 3 "));
	node_finish(&a);
}

/*
 * A host was set up with an old key file. Its calls must fail at once, as
 * certainly not run, and the refused connection must be counted for the
 * operator. No frame of an unauthenticated peer may run as a booking.
 */
static void test_wrong_key_is_refused(void)
{
	uint64_t before = counters.peer_handshakes_failed;
	struct node a, b;
	struct member member;
	struct peer *peer;
	uint64_t position;

	node_init(&a, "a", "old secret");
	node_init(&b, "b", "secret");
	member = member_of(&b);
	peer = peers_connect(a.peers, &member);
	position = send_cancel(peer, 1);
	while (!a.lost) {
		g_assert_false(peer_has_begun_sending(peer, position));
		run_for(1);
	}
	g_assert_cmpstr(b.received->str, ==, "");
	g_assert_cmpuint(counters.peer_handshakes_failed, >, before);
	node_finish(&a);
	node_finish(&b);
}

static int connect_raw(const struct node *node)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(peers_port(node->peers)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
			==, 0);
	return fd;
}

static void expect_close(struct node *node, int fd)
{
	char buffer[512];
	ssize_t got;

	while (!node->lost)
		run_for(1);
	do {
		got = recv(fd, buffer, sizeof(buffer), 0);
	} while (got > 0);
	g_assert_cmpint(peers_count(node->peers), ==, 0);
	close(fd);
	node->lost = 0;
}

static void send_hello(int fd, uint32_t version)
{
	uint8_t nonce[16] = {0};
	uint8_t bytes[256];
	Cfd__Hello hello = CFD__HELLO__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	uint32_t length;

	hello.version = version;
	hello.host = (char *)"x";
	hello.nonce.data = nonce;
	hello.nonce.len = sizeof(nonce);
	frame.kind_case = CFD__FRAME__KIND_HELLO;
	frame.hello = &hello;
	length = htonl((uint32_t)cfd__frame__pack(&frame, bytes + 4));
	memcpy(bytes, &length, 4);
	send(fd, bytes, 4 + ntohl(length), MSG_NOSIGNAL);
}

/*
 * A port scanner, a web browser or a daemon of another version connects to the
 * peer port. The connection must be closed without using memory or time.
 */
static void test_unauthenticated_connections_are_closed(void)
{
	static const char http[] = "GET / HTTP/1.1\r\n\r\n";
	static const char huge[] = "\x00\x0f\xff\xff";
	static const char junk[] = "\x00\x00\x00\x04\xff\xff\xff\xff";
	struct node b;
	int fd;

	node_init(&b, "b", "secret");
	fd = connect_raw(&b);
	send(fd, http, sizeof(http) - 1, MSG_NOSIGNAL);
	expect_close(&b, fd);
	fd = connect_raw(&b);
	send(fd, huge, sizeof(huge) - 1, MSG_NOSIGNAL);
	expect_close(&b, fd);
	fd = connect_raw(&b);
	send(fd, junk, sizeof(junk) - 1, MSG_NOSIGNAL);
	expect_close(&b, fd);
	fd = connect_raw(&b);
	send_hello(fd, PEERS_PROTOCOL_VERSION + 1);
	expect_close(&b, fd);
	g_assert_cmpstr(b.received->str, ==, "");
	node_finish(&b);
}

/* The address in a member's record refuses the connection. The call's frame has
 * certainly not left, so even a booking may be sent elsewhere. */
static void test_a_refused_connection_sent_nothing(void)
{
	struct node a, b;
	struct member member;
	struct peer *peer;
	uint64_t position;

	node_init(&a, "a", "secret");
	node_init(&b, "b", "secret");
	member = member_of(&b);
	node_finish(&b);
	peer = peers_connect(a.peers, &member);
	position = send_cancel(peer, 1);
	while (!a.lost) {
		g_assert_false(peer_has_begun_sending(peer, position));
		run_for(1);
	}
	node_finish(&a);
}

static void send_window(struct peer *peer)
{
	Cfd__Window window = CFD__WINDOW__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	frame.kind_case = CFD__FRAME__KIND_WINDOW;
	frame.window = &window;
	peer_send(peer, &frame);
}

/*
 * A host's gossip packets are lost for seconds while its connections work, and
 * the other members declare it dead. If that closed its connections, each
 * booking in flight would end as "unknown" and a clerk would have to look it
 * up. A host that is really dead sends no frames, and its connection is closed.
 */
static void test_connection_of_a_dead_member_that_sends_is_kept(void)
{
	struct node a, b;
	struct member member;
	struct peer *peer;

	node_init(&a, "a", "secret");
	node_init(&b, "b", "secret");
	member = member_of(&b);
	member.state = MEMBER_DEAD;
	member_table_update(a.daemon.members, &member, 0);
	peer = peers_connect(a.peers, &member);
	send_cancel(peer, 1);
	while (strcmp(b.received->str, "1 ") != 0)
		run_for(1);
	for (int i = 0; i < 10; i++) {
		send_window(b.from);
		run_for(500);
		peers_note_dead(a.peers, "b");
		g_assert_cmpuint(a.lost, ==, 0);
	}
	run_for(2200);
	g_assert_cmpuint(a.lost, ==, 1);
	node_finish(&a);
	node_finish(&b);
}

/* Guards against a query that is sent on a connection which was lost without an
 * error. What is open on the former connection goes on. */
static void test_query_avoids_a_connection_that_may_be_lost(void)
{
	struct node a, b;
	struct member member;
	struct peer *peer;

	node_init(&a, "a", "secret");
	node_init(&b, "b", "secret");
	member = member_of(&b);
	member_table_update(a.daemon.members, &member, 0);
	peer = peers_connect_for_query(a.peers, &member);
	send_cancel(peer, 1);
	while (strcmp(b.received->str, "1 ") != 0)
		run_for(1);
	send_window(b.from);
	run_for(PEERS_SILENT_US / 1000 - 100);
	g_assert_true(peers_connect_for_query(a.peers, &member) == peer);
	run_for(200);
	peer_begin_use(peer);
	g_assert_true(peers_connect(a.peers, &member) == peer);
	g_assert_true(peers_connect_for_query(a.peers, &member) != peer);
	g_assert_true(peers_connect(a.peers, &member) != peer);
	run_for(3000);
	g_assert_cmpuint(a.lost, ==, 0);
	send_cancel(peer, 2);
	while (strcmp(b.received->str, "1 2 ") != 0)
		run_for(1);
	peer_end_use(peer);
	run_for(1100);
	g_assert_cmpuint(a.lost, ==, 1);
	g_assert_cmpuint(peers_count(a.peers), ==, 1);
	node_finish(&a);
	node_finish(&b);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	loop = ev_loop_new(0);
	g_test_add_func("/peers/in-use",
			test_a_connection_with_an_attempt_out_is_not_idle);
	g_test_add_func("/peers/before-handshake",
			test_frames_sent_before_the_handshake_keep_their_order);
	g_test_add_func("/peers/memory", test_connection_to_self_uses_memory);
	g_test_add_func("/peers/wrong-key", test_wrong_key_is_refused);
	g_test_add_func("/peers/unauthenticated",
			test_unauthenticated_connections_are_closed);
	g_test_add_func("/peers/connection-refused",
			test_a_refused_connection_sent_nothing);
	g_test_add_func("/peers/dead-but-sending",
			test_connection_of_a_dead_member_that_sends_is_kept);
	g_test_add_func("/peers/silent-query",
			test_query_avoids_a_connection_that_may_be_lost);
	g_test_add_func("/peers/ping", test_ping_reply_comes_last);
	status = g_test_run();
	ev_loop_destroy(loop);
	return status;
}
