#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/upstream/attempts.h"
#include "common/clock.h"
#include "common/counters.h"
#include "owner_fixture.h"
#include "scripted_upstream.h"

/* Frames of an entry to an owner, over the link in memory. The owner's upstream
 * answers as the test says, with the request's path. */

#define SEEDS 60
#define STEPS 120
#define DEADLINE_MS 500

/* Sends a frame about an attempt, of one of four kinds. */
static void send_about(struct owner_fixture *f, uint64_t seq, unsigned int kind)
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

/* Guards against a request that is run, or refused, under the number of another
 * one: the entry would take its answer or its refusal for the other's. */
static void test_number_twice(struct owner_fixture *f, gconstpointer unused)
{
	uint64_t bad_frames = counters.peer_bad_frames;

	(void)unused;
	owner_fixture_send(f, 5, 1, false);
	owner_fixture_send(f, 5, 2, false);
	owner_fixture_wait_for_runs(f, 1);
	owner_fixture_run_for(f, 50);
	owner_fixture_send(f, 5, 3, false);
	owner_fixture_run_for(f, 50);
	g_assert_cmpuint(f->runs[1], ==, 1);
	g_assert_cmpuint(f->runs[2] + f->runs[3], ==, 0);
	g_assert_cmpuint(f->ends[5], ==, 0);
	owner_fixture_answer(f, 0);
	owner_fixture_run_for(f, 50);
	owner_fixture_send(f, 5, 4, false);
	owner_fixture_run_for(f, 50);
	g_assert_cmpstr(f->bodies[5]->str, ==, "/1");
	g_assert_cmpuint(f->ends[5], ==, 1);
	g_assert_cmpuint(f->runs[4], ==, 0);
	g_assert_cmpuint(counters.peer_bad_frames, ==, bad_frames + 3);
}

static void play(struct owner_fixture *f, GRand *source)
{
	uint64_t sent = 0;

	for (int step = 0; step < STEPS; step++) {
		uint64_t seq = (uint64_t)g_rand_int_range(
			source, 1, OWNER_FIXTURE_ATTEMPTS + 1);
		int what = g_rand_int_range(source, 0, 6);

		if (what == 4 && sent < OWNER_FIXTURE_ATTEMPTS) {
			sent++;
			owner_fixture_send(f, sent, (int)sent, sent % 2);
		} else if (what == 5 && f->waiting->len) {
			owner_fixture_answer(f, seq % f->waiting->len);
		} else if (what < 4 && (what > 0 || step % 4 == 0)) {
			send_about(f, seq, (unsigned int)what);
			f->was_cancelled[seq] |= what == 0 && seq <= sent;
		}
		owner_fixture_run_for(f, g_rand_int_range(source, 0, 3));
	}
	while (sent < OWNER_FIXTURE_ATTEMPTS)
		owner_fixture_send(f, sent + 1, (int)sent + 1, false), sent++;
	for (int i = 0; i < 200; i++) {
		while (f->waiting->len)
			owner_fixture_answer(f, 0);
		owner_fixture_run_for(f, 1);
	}
}

static void check(const struct owner_fixture *f, guint32 seed)
{
	for (int seq = 1; seq <= OWNER_FIXTURE_ATTEMPTS; seq++) {
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
		struct owner_fixture f = {0};

		owner_fixture_set_up(&f, NULL);
		play(&f, source);
		check(&f, seed);
		owner_fixture_tear_down(&f, NULL);
		g_rand_free(source);
	}
}

#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static void start_flooding_upstream(struct owner_fixture *f,
				    struct scripted_upstream *upstream)
{
	upstream->loop = f->entry.daemon.loop;
	owner_fixture_announce(f, scripted_upstream_start(upstream));
}

static void wait_for_flood(struct owner_fixture *f,
			   const struct scripted_upstream *upstream)
{
	for (int i = 0; i < 1000 && upstream->flooded == 0; i++)
		owner_fixture_run_for(f, 1);
	g_assert_cmpuint(upstream->flooded, >, 0);
}

/* Guards against an entry that waits for an answer whose trailer section has no
 * end, or takes it for whole. */
static void test_trailers_without_end(struct owner_fixture *f,
				      gconstpointer unused)
{
	static const char *const answers[] = {CHUNKED "6\r\nfirst.\r\n0\r\n",
					      NULL};
	struct scripted_upstream upstream = {
		.answers = answers,
		.flood = "Checksum: 1\r\n",
	};

	(void)unused;
	start_flooding_upstream(f, &upstream);
	owner_fixture_send(f, 1, 1, false);
	wait_for_flood(f, &upstream);
	owner_fixture_run_for(f, 100);
	g_assert_cmpstr(f->bodies[1]->str, ==, "first.");
	g_assert_cmpuint(f->ends[1], ==, 1);
	g_assert_true(f->was_aborted[1]);
	g_assert_cmpuint(owner_running(f->owner), ==, 0);
	scripted_upstream_stop(&upstream);
}

static uint32_t run_past_deadline(struct owner_fixture *f, const char *answer,
				  const char *flood)
{
	const char *const answers[] = {answer, NULL};
	struct scripted_upstream upstream = {.answers = answers, .flood = flood};
	uint32_t running;

	start_flooding_upstream(f, &upstream);
	owner_fixture_send_for(f, 1, 1, false, DEADLINE_MS);
	wait_for_flood(f, &upstream);
	send_about(f, 1, 0);
	owner_fixture_run_for(f, DEADLINE_MS / 2);
	g_assert_cmpuint(owner_running(f->owner), ==, 1);
	owner_fixture_run_for(f, DEADLINE_MS + 1200);
	running = owner_running(f->owner);
	scripted_upstream_stop(&upstream);
	return running;
}

/* Guards against a slot that an answer without end keeps although its caller has
 * left and its deadline is over. */
static void test_body_without_end(struct owner_fixture *f, gconstpointer unused)
{
	(void)unused;
	g_assert_cmpuint(run_past_deadline(f, CHUNKED, "1\r\na\r\n"), ==, 0);
}

static void test_chunk_extension_without_end(struct owner_fixture *f,
					     gconstpointer unused)
{
	(void)unused;
	g_assert_cmpuint(run_past_deadline(f, CHUNKED "1;", "name=value;"), ==,
			 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/owner-frames/number-twice", struct owner_fixture, NULL,
		   owner_fixture_set_up, test_number_twice,
		   owner_fixture_tear_down);
	g_test_add_func("/owner-frames/drawn", test_drawn_frames);
	g_test_add("/owner-frames/trailers-without-end", struct owner_fixture,
		   NULL, owner_fixture_set_up, test_trailers_without_end,
		   owner_fixture_tear_down);
	g_test_add("/owner-frames/body-without-end", struct owner_fixture, NULL,
		   owner_fixture_set_up, test_body_without_end,
		   owner_fixture_tear_down);
	g_test_add("/owner-frames/extension-without-end", struct owner_fixture,
		   NULL, owner_fixture_set_up, test_chunk_extension_without_end,
		   owner_fixture_tear_down);
	return g_test_run();
}
