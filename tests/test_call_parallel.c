#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/call_internal.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/peer/peers_internal.h"
#include "common/clock.h"
#include "entry_fixture.h"
#include "paused_clock.h"

/* A call with two attempts in parallel, whose owners send what the test says. */

#define OWNERS 2
#define DEADLINE_MS 800

#define CONFIG                                                         \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"h\"]," \
	"\"group\":\"g\",\"rules\":[{\"name\":\"r\",\"path_prefix\":"  \
	"\"/\",\"idempotent\":true,\"hedge\":{\"budget_percent\":50}," \
	"\"deadline_ms\":" G_STRINGIFY(DEADLINE_MS) "}]}}}"

struct owner {
	struct settings settings;
	struct daemon daemon;
	const char *host;
	struct peer *peer; /* of its latest attempt; NULL: none */
	uint64_t seq;
	unsigned int queries;
};

struct fixture {
	struct entry_fixture entry;
	struct owner owners[OWNERS];
	struct owner *order[OWNERS]; /* as the attempts came to them */
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
	g_assert_cmpuint(fixture->attempts, <, OWNERS);
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

static void send_part(const struct owner *owner, const char *text, bool ends)
{
	Cfd__AnswerBody body = CFD__ANSWER_BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	body.seq = owner->seq;
	body.data.data = (uint8_t *)text;
	body.data.len = strlen(text);
	body.ends = ends;
	body.aborted = !ends && !*text;
	frame.kind_case = CFD__FRAME__KIND_ANSWER_BODY;
	frame.answer_body = &body;
	peer_send(owner->peer, &frame);
}

static void send_head(const struct owner *owner, uint32_t status)
{
	Cfd__Answer answer = CFD__ANSWER__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	answer.seq = owner->seq;
	answer.status = status;
	answer.length = -1;
	frame.kind_case = CFD__FRAME__KIND_ANSWER;
	frame.answer = &answer;
	peer_send(owner->peer, &frame);
}

static void send_not_run(const struct owner *owner)
{
	Cfd__NotRun not_run = CFD__NOT_RUN__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	not_run.seq = owner->seq;
	not_run.reason = CFD__REASON__REASON_OVERLOAD;
	frame.kind_case = CFD__FRAME__KIND_NOT_RUN;
	frame.not_run = &not_run;
	peer_send(owner->peer, &frame);
}

static void send_failed(const struct owner *owner)
{
	Cfd__Failed failed = CFD__FAILED__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	failed.seq = owner->seq;
	frame.kind_case = CFD__FRAME__KIND_FAILED;
	frame.failed = &failed;
	peer_send(owner->peer, &frame);
}

static void run_for(struct fixture *f, int ms)
{
	for (int i = 0; i < ms; i++) {
		paused_clock_advance_us(US_PER_MS);
		for (int j = 0; j < 4; j++)
			ev_run(f->entry.daemon.loop, EVRUN_NOWAIT);
	}
}

/* which: 0 for the first attempt, 1 for the hedge. The first one's answer is of
 * status 201 and letters 1, the other's of 202 and letters 2. */
static void send_frame(struct fixture *f, unsigned int which, char kind)
{
	const struct owner *owner = f->order[which];

	switch (kind) {
	case 'h':
		send_head(owner, 201 + which);
		break;
	case 'p':
		send_part(owner, which ? "2" : "1", false);
		break;
	case 'e':
		send_part(owner, "", true);
		break;
	case 'a':
		send_part(owner, "", false);
		break;
	case 'n':
		send_not_run(owner);
		break;
	case 'x':
		link_fail(owner->peer->link, "cut by the test");
		run_for(f, 5); /* one end after the other */
		break;
	default:
		send_failed(owner);
	}
	run_for(f, 1);
}

/* Set up. */

static void add_member(struct fixture *f, const char *host, uint16_t port)
{
	char *groups[] = {(char *)"g", NULL};
	struct member member = {.address = "127.0.0.1",
				.incarnation = 1,
				.domain = "d",
				.region = "r",
				.peer_port = port,
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups,
				.slots = 64};

	g_strlcpy(member.host, host, sizeof(member.host));
	member_table_update(f->entry.daemon.members, &member, clock_mono_us());
}

static void set_key(struct settings *settings)
{
	settings->peer_key = (uint8_t *)"key";
	settings->peer_key_size = strlen("key");
}

/* The first owner is beside the entry, the second on another host. */
static void set_up_owners(struct fixture *f)
{
	struct owner *other = &f->owners[1];
	struct daemon *daemon = &other->daemon;

	other->settings.host = (char *)"hekla-02";
	other->settings.peer.address = (char *)"127.0.0.1";
	set_key(&other->settings);
	daemon->loop = f->entry.daemon.loop;
	daemon->settings = &other->settings;
	daemon->members = member_table_create();
	daemon->peers = peers_create(daemon);
	f->owners[0].host = f->entry.settings.host;
	f->owners[1].host = other->settings.host;
	for (int i = 0; i < OWNERS; i++) {
		struct peers_role role = {handle_frame, handle_lost,
					  &f->owners[i]};
		struct peers *peers = i ? daemon->peers : f->entry.daemon.peers;

		peers_set_owner_role(peers, &role);
		add_member(f, f->owners[i].host, peers_port(peers));
	}
}

static void set_up(struct fixture *f, gconstpointer unused)
{
	fixture = f;
	f->body = g_string_new(NULL);
	set_key(&f->entry.settings);
	f->entry.settings.domain = (char *)"d";
	entry_fixture_set_up(&f->entry, unused);
	entry_fixture_adopt(&f->entry, 1, CONFIG);
	set_up_owners(f);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	struct daemon *daemon = &f->owners[1].daemon;

	entry_fixture_tear_down(&f->entry, unused);
	peers_destroy(daemon->peers);
	member_table_destroy(daemon->members);
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
	call = entry_begin(f->entry.daemon.entry, &request, &sink, f);
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
		services_get(f->entry.daemon.entry->services, "g");
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
