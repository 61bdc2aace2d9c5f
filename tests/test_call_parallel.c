#include <glib.h>
#include <string.h>

#include "call_owners.h"
#include "comfreydockd/caller/call_internal.h"
#include "common/clock.h"

/* A call with two attempts in parallel, whose owners send what the test says. */

#define DEADLINE_MS 800

#define CONFIG                                                         \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"h\"]," \
	"\"group\":\"g\",\"rules\":[{\"name\":\"r\",\"path_prefix\":"  \
	"\"/\",\"idempotent\":true,\"hedge\":{\"budget_percent\":50}," \
	"\"deadline_ms\":" G_STRINGIFY(DEADLINE_MS) "}]}}}"

struct owner {
	const char *host;
	struct peer *peer; /* of its latest attempt; NULL: none */
	uint64_t seq;
	unsigned int queries;
};

struct fixture {
	struct call_owners owners;
	struct owner owner[CALL_OWNERS];
	struct owner *order[CALL_OWNERS]; /* as the attempts came to them */
	unsigned int attempts;
	/* What the call's caller gets. */
	unsigned int status; /* 0: no head */
	GString *body;
	unsigned int ends; /* answers, replies and aborts */
	bool is_aborted;
};

static struct fixture *fixture;

/* The caller's side. */

static void handle_head(void *data, unsigned int status, struct fields *fields,
			int64_t length)
{
	struct fixture *f = data;

	(void)fields;
	(void)length;
	g_assert_cmpuint(f->status, ==, 0);
	f->status = status;
}

static void handle_body(void *data, const void *bytes, size_t size)
{
	struct fixture *f = data;

	g_string_append_len(f->body, bytes, (gssize)size);
}

static void handle_end(void *data)
{
	struct fixture *f = data;

	f->ends++;
}

static void handle_abort(void *data)
{
	struct fixture *f = data;

	f->ends++;
	f->is_aborted = true;
}

static void handle_reply(void *data, struct call_reply *reply)
{
	struct fixture *f = data;

	f->ends++;
	f->status = reply->status;
}

static void handle_body_window(void *data)
{
	(void)data;
}

static const struct call_sink sink = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_end = handle_end,
	.handle_abort = handle_abort,
	.handle_reply = handle_reply,
	.handle_body_window = handle_body_window,
};

/* The owners' side. */

static void handle_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct owner *owner = data;

	owner->queries += frame->kind_case == CFD__FRAME__KIND_LOAD_QUERY;
	if (frame->kind_case != CFD__FRAME__KIND_ATTEMPT)
		return;
	g_assert_cmpuint(fixture->attempts, <, CALL_OWNERS);
	owner->peer = peer;
	owner->seq = frame->attempt->seq;
	fixture->order[fixture->attempts++] = owner;
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	struct owner *owner = data;

	(void)peer;
	(void)error;
	owner->peer = NULL;
}

static void run_for(struct fixture *f, int ms)
{
	call_owners_run_for(&f->owners, ms);
}

/* which: 0 for the first attempt, 1 for the hedge. The first one's answer is of
 * status 201 and letters 1, the other's of 202 and letters 2. */
static void send_frame(struct fixture *f, unsigned int which, char kind)
{
	const struct owner *owner = f->order[which];

	switch (kind) {
	case 'h':
		call_owner_send_head(owner->peer, owner->seq, 201 + which);
		break;
	case 'p':
		call_owner_send_part(owner->peer, owner->seq, which ? "2" : "1",
				     false);
		break;
	case 'e':
		call_owner_send_part(owner->peer, owner->seq, "", true);
		break;
	case 'a':
		call_owner_send_part(owner->peer, owner->seq, "", false);
		break;
	case 'n':
		call_owner_send_not_run(owner->peer, owner->seq,
					CFD__REASON__REASON_OVERLOAD);
		break;
	case 'x':
		link_fail(owner->peer->link, "cut by the test");
		run_for(f, 5); /* one end after the other */
		break;
	default:
		call_owner_send_failed(owner->peer, owner->seq);
	}
	run_for(f, 1);
}

/* Set up. */

static void set_up(struct fixture *f, gconstpointer unused)
{
	struct peers_role roles[CALL_OWNERS];

	(void)unused;
	fixture = f;
	f->body = g_string_new(NULL);
	for (int i = 0; i < CALL_OWNERS; i++) {
		f->owner[i].host = call_owner_hosts[i];
		roles[i] = (struct peers_role){handle_frame, handle_lost,
					       &f->owner[i]};
	}
	call_owners_set_up(&f->owners, CONFIG, roles);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	call_owners_tear_down(&f->owners);
	g_string_free(f->body, TRUE);
}

static struct call *begin(struct fixture *f)
{
	struct fields fields;
	struct call_request request = {.method = "GET",
				       .target = "/",
				       .host = "h",
				       .caller = "127.0.0.1",
				       .arrived_us = clock_mono_us(),
				       .fields = &fields};
	struct call *call;

	fields_init(&fields);
	call = entry_begin(f->owners.entry.daemon.entry, &request, &sink, f);
	g_assert_nonnull(call);
	fields_finish(&fields);
	run_for(f, 10);
	g_assert_cmpuint(f->attempts, ==, 1);
	return call;
}

static void send_hedge(struct fixture *f, struct call *call)
{
	call_start_timer(call, &call->hedge_timer, 0);
	run_for(f, 3);
	g_assert_cmpuint(f->attempts, ==, 2);
	g_assert_true(f->order[0] != f->order[1]);
}

/* Owner and kind of each frame, as in send_frame(); x cuts the owner's link. */
struct order_case {
	const char *path;
	const char *frames;
	unsigned int status;
	const char *body;
	bool is_aborted;
};

static const struct order_case orders[] = {
	{"/call-parallel/order/first", "1h2h2p1p2e1e", 201, "1", false},
	{"/call-parallel/order/second", "2h1h1p2p1e2e", 202, "2", false},
	{"/call-parallel/order/failed", "1f2h2p2e", 202, "2", false},
	{"/call-parallel/order/refused", "1n2h2p2e", 202, "2", false},
	{"/call-parallel/order/late-failure", "2h1f2p2e", 202, "2", false},
	{"/call-parallel/order/late-refusal", "2h1n2p2e", 202, "2", false},
	{"/call-parallel/order/ended", "1h1p1e2h2p2e1p1e", 201, "1", false},
	{"/call-parallel/order/aborted", "2h2p2a1h1p1e", 202, "2", true},
	{"/call-parallel/order/aborted-later", "2h2p1h1p2a1e", 202, "2", true},
	{"/call-parallel/order/both-refused", "1n2n", 503, "", false},
	{"/call-parallel/order/failed-and-refused", "1f2n", 502, "", false},
	{"/call-parallel/order/refused-and-failed", "1n2f", 502, "", false},
	{"/call-parallel/order/lost", "1x2h2p2e", 202, "2", false},
	{"/call-parallel/order/lost-after-head", "1h1x", 201, "", true},
	{"/call-parallel/order/lost-in-body", "1h1p1x", 201, "1", true},
	{"/call-parallel/order/loser-lost", "2h1x2p2e", 202, "2", false},
	{"/call-parallel/order/hedge-lost", "2x1h1p1e", 201, "1", false},
	{"/call-parallel/order/lost-and-refused", "1x2n", 502, "", false},
	{"/call-parallel/order/both-lost", "1x2x", 502, "", false},
};

/* Guards against an answer of two attempts, of the one that lost, or that is
 * completed although its attempt failed. */
static void test_order(struct fixture *f, gconstpointer data)
{
	const struct order_case *order = data;

	send_hedge(f, begin(f));
	for (const char *at = order->frames; *at; at += 2)
		send_frame(f, *at == '2', at[1]);
	g_assert_cmpuint(f->status, ==, order->status);
	g_assert_cmpstr(f->body->str, ==, order->body);
	g_assert_cmpint(f->is_aborted, ==, order->is_aborted);
	g_assert_cmpuint(f->ends, ==, 1);
}

static uint32_t open_questions(const struct fixture *f, const struct owner *owner)
{
	struct service *service =
		services_get(f->owners.entry.daemon.entry->services, "g");
	struct service_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		if (strcmp(upstream->host, owner->host) == 0)
			return upstream->health.open_questions;
	}
	g_assert_not_reached();
}

/* Guards against an owner that is held to be mute for a question to another one:
 * the hedge was sent while the first attempt's owner was asked, which then refuses
 * the attempt (n) or says nothing. */
static void test_mute(struct fixture *f, gconstpointer frame)
{
	struct call *call = begin(f);

	for (int ms = 0; ms < DEADLINE_MS && !f->order[0]->queries; ms++)
		run_for(f, 1);
	g_assert_cmpuint(f->order[0]->queries, ==, 1);
	send_hedge(f, call);
	if (frame)
		send_frame(f, 0, *(const char *)frame);
	run_for(f, 60);
	g_assert_cmpuint(open_questions(f, f->order[1]), ==,
			 f->order[1]->queries);
	if (!frame)
		g_assert_cmpuint(open_questions(f, f->order[0]), ==, 1);
}

#define ADD(path, data, function) \
	g_test_add(path, struct fixture, data, set_up, function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(orders); i++)
		ADD(orders[i].path, &orders[i], test_order);
	ADD("/call-parallel/mute/silent", NULL, test_mute);
	ADD("/call-parallel/mute/refused", "n", test_mute);
	return g_test_run();
}
