#include <ev.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/config/check.h"
#include "comfreydockd/config/rows.h"
#include "comfreydockd/member/rows.h"
#include "comfreydockd/member/swim.h"
#include "comfreydockd/peer/link.h"
#include "common/log.h"

/* Feeds damaged input of every kind that comes from outside to its parser,
 * under the address and undefined-behaviour sanitizers. The inputs depend on
 * the seed alone, which CI sets. */
#define ROUNDS 4000
#define CHANGES_MAX 6
#define PIECE_MAX 40

static const char *const hosts_row =
	"{\"host\":\"esja-1\",\"incarnation\":7,\"address\":\"127.0.0.1\","
	"\"peer_port\":8081,\"admin_port\":8082,\"domain\":\"hall-esja\","
	"\"region\":\"reykjavik\",\"groups\":[\"s\"],\"slots\":12}";

static size_t random_below(size_t size)
{
	return (size_t)g_test_rand_int_range(0, (gint32)size);
}

/* RETURN VALUE: a copy with some bytes changed, duplicated or removed. */
static GByteArray *mutate(const void *data, size_t size)
{
	GByteArray *bytes = g_byte_array_new();
	size_t changes = 1 + random_below(CHANGES_MAX);
	guint8 piece[PIECE_MAX];

	g_byte_array_append(bytes, data, (guint)size);
	while (changes-- && bytes->len > 2) {
		guint at = (guint)random_below(bytes->len - 1);
		guint length =
			1 + (guint)random_below(MIN(bytes->len - at, PIECE_MAX));

		switch (random_below(4)) {
		case 0:
			bytes->data[at] = (guint8)random_below(256);
			break;
		case 1:
			bytes->data[at] ^= (guint8)(1 << random_below(8));
			break;
		case 2:
			g_byte_array_remove_range(bytes, at, length);
			break;
		default:
			memcpy(piece, bytes->data + at, length);
			g_byte_array_append(bytes, piece, length);
			break;
		}
	}
	return bytes;
}

/* Truncates the text at the first 0 byte, as a file reader would. */
static char *mutate_text(const char *text)
{
	GByteArray *bytes = mutate(text, strlen(text));
	char *copy = g_strndup((const char *)bytes->data, bytes->len);

	g_byte_array_unref(bytes);
	return copy;
}

/*
 * An operator's file is damaged, as by an incomplete upload or a bad merge. The
 * loader must either refuse it and name the line of each error, or accept it as
 * valid.
 */
static void test_operators_files(void)
{
	char *path = g_build_filename(g_getenv("COMFREYDOCK_SOURCE"), "docs",
				      "operators", "lookup.sample.json", NULL);
	char *sample;

	g_assert_true(g_file_get_contents(path, &sample, NULL, NULL));
	for (int i = 0; i < ROUNDS; i++) {
		char *text = mutate_text(sample);
		struct config_namespace *ns;
		struct findings findings;

		findings_init(&findings);
		ns = config_namespace_load("x.json", text, &findings);
		g_assert_true((ns == NULL) == findings_has_errors(&findings));
		if (!ns)
			g_assert_cmpint(TAILQ_FIRST(&findings.list)->line, >, 0);
		else
			config_namespace_unref(ns);
		findings_finish(&findings);
		g_free(text);
	}
	g_free(sample);
	g_free(path);
}

/* Another release, or a person, wrote a row of the platform's table. */
static void test_rows(void)
{
	for (int i = 0; i < ROUNDS; i++) {
		char *text = mutate_text(hosts_row);
		struct config_history history;
		struct config_head head;
		struct member member;

		rows_decode(text, strlen(text), &member);
		config_head_init(&head);
		config_head_parse(&head, text);
		config_head_finish(&head);
		config_history_init(&history);
		config_history_parse(&history, text);
		config_history_finish(&history);
		g_free(text);
	}
}

struct gossip_net {
	GPtrArray *sent; /* of GByteArray */
	struct swim *swim;
	struct member_table *table;
	struct swim_ops ops;
};

static void record_packet(const char *address, uint16_t port,
			  const uint8_t *body, size_t size, void *data)
{
	struct gossip_net *net = data;
	GByteArray *bytes = g_byte_array_new();

	(void)address;
	(void)port;
	g_byte_array_append(bytes, body, (guint)size);
	g_ptr_array_add(net->sent, bytes);
}

static void ignore_head(const char *host, uint64_t head, int64_t told_age_us,
			void *data)
{
	(void)host;
	(void)head;
	(void)told_age_us;
	(void)data;
}

static void net_init(struct gossip_net *net, const char *host, uint16_t port)
{
	struct member self = {.incarnation = 1, .peer_port = port};
	struct swim_options options = {.self = &self, .seed = 3};

	g_strlcpy(self.host, host, sizeof(self.host));
	g_strlcpy(self.address, "127.0.0.1", sizeof(self.address));
	self.domain = "d";
	self.region = "r";
	net->sent = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	net->table = member_table_create();
	net->ops = (struct swim_ops){.send = record_packet,
				     .handle_config_head = ignore_head,
				     .data = net};
	options.table = net->table;
	options.ops = &net->ops;
	net->swim = swim_create(&options, 0);
}

static void net_finish(struct gossip_net *net)
{
	swim_destroy(net->swim);
	member_table_destroy(net->table);
	g_ptr_array_unref(net->sent);
}

/*
 * A daemon of another release, or with corrupted memory, has the key and sends
 * malformed packets. They must not crash the daemons that receive them.
 */
static void test_gossip_from_a_peer_with_the_key(void)
{
	struct gossip_net a, b;
	int64_t now = 0;

	net_init(&a, "a", 1001);
	net_init(&b, "b", 1002);
	swim_join(a.swim, "127.0.0.1", 1002, 0);
	for (int i = 0; i < ROUNDS; i++) {
		GByteArray *bytes;

		now += SWIM_TICK_US;
		swim_tick(a.swim, now);
		swim_tick(b.swim, now);
		for (guint j = 0; j < a.sent->len; j++) {
			bytes = g_ptr_array_index(a.sent, j);
			swim_receive(b.swim, "127.0.0.1", 1001, bytes->data,
				     bytes->len, now);
			bytes = mutate(bytes->data, bytes->len);
			swim_receive(b.swim, "127.0.0.1", 1001, bytes->data,
				     bytes->len, now);
			g_byte_array_unref(bytes);
		}
		g_ptr_array_set_size(a.sent, 0);
		for (guint j = 0; j < b.sent->len; j++) {
			bytes = g_ptr_array_index(b.sent, j);
			swim_receive(a.swim, "127.0.0.1", 1002, bytes->data,
				     bytes->len, now);
		}
		g_ptr_array_set_size(b.sent, 0);
	}
	net_finish(&a);
	net_finish(&b);
}

static void count_frame(struct link *link, Cfd__Frame *frame, void *data)
{
	(void)link;
	(void)frame;
	(*(unsigned int *)data)++;
}

static void ignore_closed(struct link *link, const char *error, void *data)
{
	(void)link;
	(void)error;
	(void)data;
}

static size_t pack_attempt(uint8_t *out)
{
	Cfd__Attempt attempt = CFD__ATTEMPT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	Cfd__Header header = CFD__HEADER__INIT;
	Cfd__Header *headers[] = {&header};
	size_t size;

	header.name = (char *)"Host";
	header.value = (char *)"lookup.example";
	attempt.seq = 7;
	attempt.trace = (char *)"t";
	attempt.method = (char *)"GET";
	attempt.target = (char *)"/x";
	attempt.n_headers = 1;
	attempt.headers = headers;
	frame.kind_case = CFD__FRAME__KIND_ATTEMPT;
	frame.attempt = &attempt;
	size = cfd__frame__pack(&frame, out + 4);
	memcpy(out, (uint8_t[]){0, 0, (uint8_t)(size >> 8), (uint8_t)size}, 4);
	return size + 4;
}

/* Sends damaged frames to a link, in two pieces that are split anywhere. */
static void test_frames(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	unsigned int frames = 0;
	struct link_callbacks callbacks = {count_frame, ignore_closed, &frames};
	struct link_group group;
	uint8_t sample[512];
	size_t size = pack_attempt(sample);

	link_group_init(&group, loop);
	for (int i = 0; i < ROUNDS; i++) {
		GByteArray *bytes = mutate(sample, size);
		size_t first = random_below(bytes->len + 1);
		struct link *link;
		int ends[2];

		g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), ==, 0);
		link = link_create(&group, ends[0], &callbacks);
		link_set_trusted(link);
		g_assert_cmpint(write(ends[1], sample, size), ==, size);
		g_assert_cmpint(write(ends[1], bytes->data, first), ==, first);
		ev_run(loop, EVRUN_NOWAIT);
		g_assert_cmpint(
			write(ends[1], bytes->data + first, bytes->len - first),
			==, bytes->len - first);
		ev_run(loop, EVRUN_NOWAIT);
		link_destroy(link);
		close(ends[1]);
		g_byte_array_unref(bytes);
	}
	/* Each damaged frame was sent after an intact one. */
	g_assert_cmpuint(frames, >=, ROUNDS);
	link_group_finish(&group);
	ev_loop_destroy(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/mutations/operators-files", test_operators_files);
	g_test_add_func("/mutations/rows", test_rows);
	g_test_add_func("/mutations/gossip",
			test_gossip_from_a_peer_with_the_key);
	g_test_add_func("/mutations/frames", test_frames);
	return g_test_run();
}
