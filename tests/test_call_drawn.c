#include <glib.h>
#include <string.h>

#include "call_owners.h"
#include "comfreydockd/caller/call_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/id.h"

/* Calls whose owners answer, refuse, fail, contradict themselves and lose their
 * links in an order that is drawn from a seed, also for attempts that ended. */

#define SEEDS 150
#define STEPS 150
#define CALLS 8
#define ATTEMPTS_MAX 64
#define DEADLINE_MS 400
#define STATUS_BASE 600 /* plus the attempt's number: tells whose head it is */

/* Calls with even numbers may be repeated and hedged. */
#define RULE                                                            \
	"\"deadline_ms\":" G_STRINGIFY(                                 \
		DEADLINE_MS) ",\"retry\":{\"max_attempts\":4,\"budget_" \
			     "percent\":100}"
#define CONFIG                                                            \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"h\"],"    \
	"\"group\":\"g\",\"rules\":["                                     \
	"{\"name\":\"e\",\"path_prefix\":\"/even/\",\"idempotent\":true," \
	"\"hedge\":{\"budget_percent\":50}," RULE "},"                    \
	"{\"name\":\"o\",\"path_prefix\":\"/odd/\"," RULE "}]}}}"

/* An attempt, as its owner sees it. */
struct drawn_attempt {
	struct peer *peer; /* NULL: its link is lost */
	uint64_t seq;
	int call;
	char first; /* the kind of the first frame; 0: none was sent */
	unsigned int heads;
	unsigned int parts;
	int parts_at_end; /* when the first complete end was sent; -1: never */
};

struct drawn_call {
	struct call *call; /* NULL: it has ended */
	unsigned int status; /* of the answer's head; 0: none came */
	unsigned int reply; /* status of the entry's own reply; 0: none */
	GString *body;
	unsigned int ends;
	bool is_complete;
};

static struct call_owners owners;
static struct drawn_attempt attempts[ATTEMPTS_MAX];
static int attempt_count;
static struct drawn_call calls[CALLS];
static int call_count;
static GRand *source;
static guint32 seed;
static unsigned int complete; /* answers of all seeds */
static unsigned int refused;

static int draw_below(int limit)
{
	return g_rand_int_range(source, 0, limit);
}

/* Take the place of those in common/id.c, so that a seed plays the same again. */

uint64_t id_random_u64(void)
{
	uint64_t high = g_rand_int(source);

	return high << 32 | g_rand_int(source);
}

void id_random(char text[ID_TEXT_SIZE])
{
	g_snprintf(text, ID_TEXT_SIZE, "%016" G_GINT64_MODIFIER "x",
		   id_random_u64());
}

/* The caller's side. */

static void note_end(struct drawn_call *call)
{
	call->call = NULL;
	call->ends++;
}

static void handle_head(void *data, unsigned int status, struct fields *fields,
			int64_t length)
{
	struct drawn_call *call = data;

	(void)fields;
	(void)length;
	call->status = status;
}

static void handle_body(void *data, const void *bytes, size_t size)
{
	struct drawn_call *call = data;

	g_string_append_len(call->body, bytes, (gssize)size);
	call_note_consumed(call->call, size);
}

static void handle_end(void *data)
{
	struct drawn_call *call = data;

	call->is_complete = true;
	note_end(call);
}

static void handle_abort(void *data)
{
	note_end(data);
}

static void handle_reply(void *data, struct call_reply *reply)
{
	struct drawn_call *call = data;

	call->reply = reply->status;
	note_end(call);
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

static void begin_call(void)
{
	struct drawn_call *call = &calls[call_count];
	char *target = g_strdup_printf("/%s/%d", call_count % 2 ? "odd" : "even",
				       call_count);
	struct fields fields;
	struct call_request request = {.method = "GET",
				       .target = target,
				       .host = "h",
				       .caller = "127.0.0.1",
				       .arrived_us = clock_mono_us(),
				       .fields = &fields};

	call_count++;
	fields_init(&fields);
	call->call =
		entry_begin(owners.entry.daemon.entry, &request, &sink, call);
	fields_finish(&fields);
	g_free(target);
}

/* The owners' side. */

static void handle_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct drawn_attempt *attempt = &attempts[attempt_count];

	(void)data;
	if (frame->kind_case != CFD__FRAME__KIND_ATTEMPT)
		return;
	g_assert_cmpint(attempt_count, <, ATTEMPTS_MAX);
	attempt_count++;
	*attempt = (struct drawn_attempt){
		.peer = peer,
		.seq = frame->attempt->seq,
		.call = atoi(strrchr(frame->attempt->target, '/') + 1),
		.parts_at_end = -1,
	};
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	(void)error;
	(void)data;
	for (int i = 0; i < attempt_count; i++) {
		if (attempts[i].peer == peer)
			attempts[i].peer = NULL;
	}
}

static void send_not_run(const struct drawn_attempt *attempt)
{
	static const Cfd__Reason reasons[] = {
		CFD__REASON__REASON_BUSY,
		CFD__REASON__REASON_SLOW,
		CFD__REASON__REASON_CONFIG_BEHIND,
		CFD__REASON__REASON_OVERLOAD,
	};

	call_owner_send_not_run(attempt->peer, attempt->seq,
				reasons[draw_below(G_N_ELEMENTS(reasons))]);
}

/* Mostly what may follow, else any kind. */
static char draw_kind(const struct drawn_attempt *attempt)
{
	static const char any[] = "hpeanfx";
	static const char begins[] = "hhhhnnnnnf";
	static const char goes_on[] = "pppeee";
	const char *kinds = attempt->first ? goes_on : begins;

	if (draw_below(10) == 0)
		kinds = any;
	return kinds[draw_below((int)strlen(kinds))];
}

static void send_drawn_frame(void)
{
	int number = draw_below(attempt_count);
	struct drawn_attempt *attempt = &attempts[number];
	char kind = draw_kind(attempt);
	char text[] = {(char)('0' + number), '\0'};

	if (!attempt->peer)
		return;
	if (!attempt->first)
		attempt->first = kind;
	switch (kind) {
	case 'h':
		attempt->heads++;
		call_owner_send_head(attempt->peer, attempt->seq,
				     (uint32_t)(STATUS_BASE + number));
		break;
	case 'p':
		attempt->parts++;
		call_owner_send_part(attempt->peer, attempt->seq, text, false);
		break;
	case 'e':
		if (attempt->parts_at_end < 0)
			attempt->parts_at_end = (int)attempt->parts;
		call_owner_send_part(attempt->peer, attempt->seq, "", true);
		break;
	case 'a':
		call_owner_send_part(attempt->peer, attempt->seq, "", false);
		break;
	case 'n':
		send_not_run(attempt);
		break;
	case 'f':
		call_owner_send_failed(attempt->peer, attempt->seq);
		break;
	default:
		link_fail(attempt->peer->link, "cut by the test");
	}
}

/* Checks. */

/* RETURN VALUE: whether the answer is all that one attempt of the call sent up to
 * its end. */
static bool is_whole_answer(int number)
{
	const struct drawn_call *call = &calls[number];
	int from = (int)call->status - STATUS_BASE;
	const struct drawn_attempt *attempt = &attempts[from];

	for (const char *at = call->body->str; *at; at++) {
		if (*at != '0' + from)
			return false;
	}
	return attempt->call == number && attempt->heads >= 1 &&
	       attempt->parts_at_end == (int)call->body->len;
}

/* RETURN VALUE: how many of the call's attempts may have run. */
static unsigned int count_runs(int number)
{
	unsigned int count = 0;

	for (int i = 0; i < attempt_count; i++)
		count += attempts[i].call == number && attempts[i].first != 'n';
	return count;
}

static void check(int number)
{
	const struct drawn_call *call = &calls[number];
	unsigned int runs = count_runs(number);

	if (call->ends != 1)
		g_error("seed %u, call %d: %u ends", seed, number, call->ends);
	if (call->is_complete && !is_whole_answer(number))
		g_error("seed %u, call %d: status %u with \"%s\"", seed, number,
			call->status, call->body->str);
	if (call->reply == 503 && runs > 0)
		g_error("seed %u, call %d: refused, and has run", seed, number);
	if (number % 2 && runs > 1)
		g_error("seed %u, call %d: %u runs", seed, number, runs);
	complete += call->is_complete;
	refused += call->reply == 503;
}

/* As if nothing had been heard on the second owner's link for long: the next
 * attempts use another one, while the answers to those before come on the old. */
static void replace_link(void)
{
	struct peers *peers = owners.entry.daemon.peers;
	const struct member *member = member_table_find(
		owners.entry.daemon.members, call_owner_hosts[1]);
	struct peer *peer = g_hash_table_lookup(peers->outgoing, member->host);

	if (!peer)
		return;
	peer->created_us = clock_mono_us() - 2 * PEERS_SILENT_US;
	peer->last_heard_us = peer->created_us;
	peers_connect_for_query(peers, member);
}

static void step(void)
{
	int what = draw_below(20);

	if (what < 3 && call_count < CALLS)
		begin_call();
	else if (what < 16 && attempt_count > 0)
		send_drawn_frame();
	if (what == 17 && call_count > 0 && calls[call_count - 1].call)
		call_start_timer(calls[call_count - 1].call,
				 &calls[call_count - 1].call->hedge_timer, 0);
	if (what == 18 && draw_below(2))
		replace_link();
	call_owners_run_for(&owners, draw_below(4));
}

static void play(void)
{
	struct peers_role role = {handle_frame, handle_lost, NULL};
	const struct peers_role roles[CALL_OWNERS] = {role, role};

	source = g_rand_new_with_seed(seed);
	memset(&owners, 0, sizeof(owners));
	memset(calls, 0, sizeof(calls));
	attempt_count = call_count = 0;
	for (int i = 0; i < CALLS; i++)
		calls[i].body = g_string_new(NULL);
	call_owners_set_up(&owners, CONFIG, roles);
	for (int i = 0; i < STEPS; i++)
		step();
	while (call_count < CALLS)
		begin_call();
	call_owners_run_for(&owners, 8 * DEADLINE_MS);
	for (int i = 0; i < CALLS; i++) {
		check(i);
		g_string_free(calls[i].body, TRUE);
	}
	call_owners_tear_down(&owners);
	g_rand_free(source);
}

/* Guards against an answer of two attempts or of another call, one that is not
 * whole and is ended as complete, a second run, and a refusal of what ran. */
static void test_drawn(void)
{
	for (seed = 1; seed <= SEEDS; seed++)
		play();
	g_assert_cmpuint(complete, >, 0);
	g_assert_cmpuint(refused, >, 0);
	g_assert_cmpuint(counters.peer_links_replaced, >, 0);
	g_test_message("%u answers, %u refusals", complete, refused);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/call-drawn/orders", test_drawn);
	return g_test_run();
}
