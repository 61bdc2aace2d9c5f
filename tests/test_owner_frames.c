#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/peer/peers.h"
#include "comfreydockd/upstream/attempts.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/http_client.h"
#include "common/http_server.h"
#include "entry_fixture.h"
#include "paused_clock.h"
#include "scripted_upstream.h"

/* Frames of an entry to an owner, over the link in memory. The owner's upstream
 * answers as the test says, with the request's path. */

#define ATTEMPTS 12
#define SEEDS 60
#define STEPS 120
#define DEADLINE_MS 500

struct fixture {
	struct entry_fixture entry;
	struct owner *owner;
	struct http_server *server;
	struct peer *peer; /* the entry's end */
	GPtrArray *waiting; /* of http_request */
	unsigned int runs[ATTEMPTS + 1]; /* by the number in the path */
	GString *bodies[ATTEMPTS + 1]; /* of the answers, by seq */
	unsigned int ends[ATTEMPTS + 1]; /* frames that end the attempt */
	bool was_aborted[ATTEMPTS + 1]; /* in the middle of the answer */
	bool was_refused[ATTEMPTS + 1];
	bool was_answered[ATTEMPTS + 1];
	bool was_cancelled[ATTEMPTS + 1]; /* by the entry, once it was sent */
};

static void handle_request(struct http_request *request, void *data)
{
	struct fixture *f = data;
	int number = atoi(http_request_path(request) + 1);

	g_assert_cmpint(number, >, 0);
	g_assert_cmpint(number, <=, ATTEMPTS);
	f->runs[number]++;
	g_ptr_array_add(f->waiting, request);
}

static void answer(struct fixture *f, guint index)
{
	struct http_request *request = g_ptr_array_index(f->waiting, index);
	const char *path = http_request_path(request);
	char *body = g_strdup(path);

	g_ptr_array_remove_index_fast(f->waiting, index);
	http_request_reply(request, 200, NULL, body, strlen(body));
	g_free(body);
}

/* The entry's end. */

static void handle_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct fixture *f = data;
	const Cfd__AnswerBody *body = frame->answer_body;

	(void)peer;
	switch (frame->kind_case) {
	case CFD__FRAME__KIND_NOT_RUN:
		f->ends[frame->not_run->seq]++;
		f->was_refused[frame->not_run->seq] = true;
		break;
	case CFD__FRAME__KIND_FAILED:
		f->ends[frame->failed->seq]++;
		break;
	case CFD__FRAME__KIND_ANSWER_BODY:
		g_string_append_len(f->bodies[body->seq],
				    (const char *)body->data.data,
				    (gssize)body->data.len);
		f->ends[body->seq] += body->ends || body->aborted;
		f->was_answered[body->seq] |= body->ends;
		f->was_aborted[body->seq] |= body->aborted;
		break;
	default:
		break;
	}
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	(void)peer;
	(void)error;
	(void)data;
}

static void send_attempt_for(struct fixture *f, uint64_t seq, int number,
			     bool idempotent, uint32_t remaining_ms)
{
	char *target = g_strdup_printf("/%d", number);
	Cfd__Attempt attempt = CFD__ATTEMPT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	attempt.seq = seq;
	attempt.trace = target;
	attempt.group = (char *)"g";
	attempt.method = (char *)"GET";
	attempt.target = target;
	attempt.remaining_us = remaining_ms * US_PER_MS;
	attempt.may_queue = true;
	attempt.idempotent = idempotent;
	attempt.body_ends = true;
	frame.kind_case = CFD__FRAME__KIND_ATTEMPT;
	frame.attempt = &attempt;
	peer_send(f->peer, &frame);
	g_free(target);
}

static void send_attempt(struct fixture *f, uint64_t seq, int number,
			 bool idempotent)
{
	send_attempt_for(f, seq, number, idempotent, 60000);
}

/* Sends a frame about an attempt, of one of four kinds. */
static void send_about(struct fixture *f, uint64_t seq, unsigned int kind)
{
	Cfd__Cancel cancel = CFD__CANCEL__INIT;
	Cfd__Window window = CFD__WINDOW__INIT;
	Cfd__Body body = CFD__BODY__INIT;
	Cfd__LoadQuery query = CFD__LOAD_QUERY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	cancel.seq = window.seq = body.seq = query.seq = seq;
	window.bytes = 1;
	body.ends = true;
	switch (kind) {
	case 0:
		frame.kind_case = CFD__FRAME__KIND_CANCEL;
		frame.cancel = &cancel;
		break;
	case 1:
		frame.kind_case = CFD__FRAME__KIND_WINDOW;
		frame.window = &window;
		break;
	case 2:
		frame.kind_case = CFD__FRAME__KIND_BODY;
		frame.body = &body;
		break;
	default:
		frame.kind_case = CFD__FRAME__KIND_LOAD_QUERY;
		frame.load_query = &query;
	}
	peer_send(f->peer, &frame);
}

static void run_for(struct fixture *f, int ms)
{
	for (int i = 0; i < ms; i++) {
		paused_clock_advance_us(US_PER_MS);
		for (int j = 0; j < 4; j++)
			ev_run(f->entry.daemon.loop, EVRUN_NOWAIT);
	}
}

static void wait_for_runs(struct fixture *f, guint count)
{
	for (int i = 0; i < 1000 && f->waiting->len < count; i++)
		run_for(f, 1);
	g_assert_cmpuint(f->waiting->len, ==, count);
}

/* Set up. */

static void announce(struct fixture *f, uint16_t port)
{
	char *groups[] = {(char *)"g", NULL};
	struct owner_announcement announcement = {
		.groups = groups,
		.address = (char *)"127.0.0.1",
		.port = port,
		.slots = ATTEMPTS / 2,
		.is_new_start = true,
	};

	owner_announce(f->owner, &announcement);
}

static void set_up_upstream(struct fixture *f)
{
	struct http_server_options options = {.address = "127.0.0.1"};

	f->server = http_server_create(f->entry.daemon.loop, &options,
				       handle_request, f);
	announce(f, http_server_port(f->server));
}

static void set_up(struct fixture *f, gconstpointer unused)
{
	struct daemon *daemon = &f->entry.daemon;
	struct peers_role role = {handle_frame, handle_lost, f};
	struct member member = {.host = "esja-02"};

	entry_fixture_set_up(&f->entry, unused);
	daemon->http = http_client_create(daemon->loop);
	f->waiting = g_ptr_array_new();
	for (size_t i = 0; i <= ATTEMPTS; i++)
		f->bodies[i] = g_string_new(NULL);
	f->owner = owner_create(daemon);
	set_up_upstream(f);
	peers_set_entry_role(daemon->peers, &role);
	f->peer = peers_connect(daemon->peers, &member);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	struct daemon *daemon = &f->entry.daemon;

	while (f->waiting->len)
		answer(f, 0);
	run_for(f, 10);
	entry_fixture_tear_down(&f->entry, unused);
	owner_destroy(f->owner);
	http_client_destroy(daemon->http);
	http_server_destroy(f->server);
	g_ptr_array_unref(f->waiting);
	for (size_t i = 0; i <= ATTEMPTS; i++)
		g_string_free(f->bodies[i], TRUE);
	memset(f, 0, sizeof(*f));
}

/* Guards against a request that is run, or refused, under the number of another
 * one: the entry would take its answer or its refusal for the other's. */
static void test_number_twice(struct fixture *f, gconstpointer unused)
{
	uint64_t bad_frames = counters.peer_bad_frames;

	(void)unused;
	send_attempt(f, 5, 1, false);
	send_attempt(f, 5, 2, false);
	wait_for_runs(f, 1);
	run_for(f, 50);
	send_attempt(f, 5, 3, false);
	run_for(f, 50);
	g_assert_cmpuint(f->runs[1], ==, 1);
	g_assert_cmpuint(f->runs[2] + f->runs[3], ==, 0);
	g_assert_cmpuint(f->ends[5], ==, 0);
	answer(f, 0);
	run_for(f, 50);
	send_attempt(f, 5, 4, false);
	run_for(f, 50);
	g_assert_cmpstr(f->bodies[5]->str, ==, "/1");
	g_assert_cmpuint(f->ends[5], ==, 1);
	g_assert_cmpuint(f->runs[4], ==, 0);
	g_assert_cmpuint(counters.peer_bad_frames, ==, bad_frames + 3);
}

static void play(struct fixture *f, GRand *source)
{
	uint64_t sent = 0;

	for (int step = 0; step < STEPS; step++) {
		uint64_t seq =
			(uint64_t)g_rand_int_range(source, 1, ATTEMPTS + 1);
		int what = g_rand_int_range(source, 0, 6);

		if (what == 4 && sent < ATTEMPTS) {
			sent++;
			send_attempt(f, sent, (int)sent, sent % 2);
		} else if (what == 5 && f->waiting->len) {
			answer(f, seq % f->waiting->len);
		} else if (what < 4 && (what > 0 || step % 4 == 0)) {
			send_about(f, seq, (unsigned int)what);
			f->was_cancelled[seq] |= what == 0 && seq <= sent;
		}
		run_for(f, g_rand_int_range(source, 0, 3));
	}
	while (sent < ATTEMPTS)
		send_attempt(f, sent + 1, (int)sent + 1, false), sent++;
	for (int i = 0; i < 200; i++) {
		while (f->waiting->len)
			answer(f, 0);
		run_for(f, 1);
	}
}

static void check(const struct fixture *f, guint32 seed)
{
	for (int seq = 1; seq <= ATTEMPTS; seq++) {
		char *path = g_strdup_printf("/%d", seq);
		bool is_right = f->was_answered[seq] ?
					g_str_equal(f->bodies[seq]->str, path) :
					f->was_cancelled[seq];

		if (f->ends[seq] != 1 || f->runs[seq] > 1 || !is_right ||
		    (f->was_refused[seq] && f->runs[seq]))
			g_error("seed %u, attempt %d: %u ends, %u runs, body "
				"\"%s\", refused %d, cancelled %d",
				seed, seq, f->ends[seq], f->runs[seq],
				f->bodies[seq]->str, f->was_refused[seq],
				f->was_cancelled[seq]);
		g_free(path);
	}
}

/* Guards against a frame for an attempt that ended, or is not known yet, that
 * reaches another one; against a second run; and against a refusal of what ran. */
static void test_drawn_frames(void)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		GRand *source = g_rand_new_with_seed(seed);
		struct fixture f = {0};

		set_up(&f, NULL);
		play(&f, source);
		check(&f, seed);
		tear_down(&f, NULL);
		g_rand_free(source);
	}
}

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static void start_flooding_upstream(struct fixture *f,
				    struct scripted_upstream *upstream)
{
	upstream->loop = f->entry.daemon.loop;
	announce(f, scripted_upstream_start(upstream));
}

static void wait_for_flood(struct fixture *f,
			   const struct scripted_upstream *upstream)
{
	for (int i = 0; i < 1000 && upstream->flooded == 0; i++)
		run_for(f, 1);
	g_assert_cmpuint(upstream->flooded, >, 0);
}

/* Guards against an entry that waits for an answer whose trailer section has no
 * end, or takes it for whole. */
static void test_trailers_without_end(struct fixture *f, gconstpointer unused)
{
	static const char *const answers[] = {CHUNKED "6\r\nfirst.\r\n0\r\n",
					      NULL};
	struct scripted_upstream upstream = {
		.answers = answers,
		.flood = "Checksum: 1\r\n",
	};

	(void)unused;
	start_flooding_upstream(f, &upstream);
	send_attempt(f, 1, 1, false);
	wait_for_flood(f, &upstream);
	run_for(f, 100);
	g_assert_cmpstr(f->bodies[1]->str, ==, "first.");
	g_assert_cmpuint(f->ends[1], ==, 1);
	g_assert_true(f->was_aborted[1]);
	g_assert_cmpuint(owner_running(f->owner), ==, 0);
	scripted_upstream_stop(&upstream);
}

static uint32_t run_past_deadline(struct fixture *f, const char *answer,
				  const char *flood)
{
	const char *const answers[] = {answer, NULL};
	struct scripted_upstream upstream = {.answers = answers, .flood = flood};
	uint32_t running;

	start_flooding_upstream(f, &upstream);
	send_attempt_for(f, 1, 1, false, DEADLINE_MS);
	wait_for_flood(f, &upstream);
	send_about(f, 1, 0);
	run_for(f, DEADLINE_MS / 2);
	g_assert_cmpuint(owner_running(f->owner), ==, 1);
	run_for(f, DEADLINE_MS + 1200);
	running = owner_running(f->owner);
	scripted_upstream_stop(&upstream);
	return running;
}

/* Guards against a slot that an answer without end keeps although its caller has
 * left and its deadline is over. */
static void test_body_without_end(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	g_assert_cmpuint(run_past_deadline(f, CHUNKED, "1\r\na\r\n"), ==, 0);
}

static void test_chunk_extension_without_end(struct fixture *f,
					     gconstpointer unused)
{
	(void)unused;
	g_assert_cmpuint(run_past_deadline(f, CHUNKED "1;", "name=value;"), ==,
			 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/owner-frames/number-twice", struct fixture, NULL, set_up,
		   test_number_twice, tear_down);
	g_test_add_func("/owner-frames/drawn", test_drawn_frames);
	g_test_add("/owner-frames/trailers-without-end", struct fixture, NULL,
		   set_up, test_trailers_without_end, tear_down);
	g_test_add("/owner-frames/body-without-end", struct fixture, NULL,
		   set_up, test_body_without_end, tear_down);
	g_test_add("/owner-frames/extension-without-end", struct fixture, NULL,
		   set_up, test_chunk_extension_without_end, tear_down);
	return g_test_run();
}
