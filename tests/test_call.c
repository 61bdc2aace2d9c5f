#include <glib.h>

#include "call_fixture.h"

/* Answers that stop or are slow, and requests that wait for those in front. */

/* A caller has its final answer at most this long after the deadline. */
#define PAST_DEADLINE_MAX_MS 500

/* Guards against a short answer that stops in the middle and leaves its caller
 * without any answer for seconds past the deadline. */
static void test_short_answer_stops(struct fixture *f, gconstpointer target)
{
	cf_send_requests(f, target, 1);
	cf_run_for(f, DEADLINE_MS - STEP_MS);
	g_assert_cmpuint(f->answers->len, ==, 0);
	cf_run_for(f, STEP_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(cf_count_answers(f, "502"), ==, 1);
	g_assert_false(f->is_closed);
}

/* The same for an answer that begins shortly before the deadline. */
static void test_late_answer_stops(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	cf_send_requests(f, "/silent", 1);
	cf_run_for(f, DEADLINE_MS - 3 * STEP_MS);
	cf_send_head(f, SHORT_BYTES);
	cf_send_part(f, PART_BYTES, false);
	cf_run_for(f, 3 * STEP_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(cf_count_answers(f, "502"), ==, 1);
}

/* Guards against a short answer that comes byte by byte and is held back until
 * it is whole. */
static void test_short_answer_is_slow(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	cf_send_requests(f, "/short-head", 1);
	for (int ms = 0; ms < DEADLINE_MS + PAST_DEADLINE_MAX_MS;
	     ms += 2 * STEP_MS) {
		if (f->answers->len == 0)
			cf_send_part(f, 1, false);
		cf_run_for(f, 2 * STEP_MS);
	}
	g_assert_cmpuint(cf_count_answers(f, "502"), ==, 1);
}

/* Guards against a long answer that stops and keeps its caller waiting. */
static void test_long_answer_stops(struct fixture *f, gconstpointer target)
{
	cf_send_requests(f, target, 1);
	cf_run_for(f, DEADLINE_MS + PAST_DEADLINE_MAX_MS);
	g_assert_true(f->is_closed);
	g_assert_cmpuint(f->answers->len, <, LONG_BYTES);
}

/* Guards against a long answer that is cut off although it still comes. */
static void test_long_answer_goes_on(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	cf_send_requests(f, "/long-head", 1);
	for (int sent = 0; sent < LONG_BYTES; sent += LONG_BYTES / 30) {
		cf_run_for(f, 100);
		cf_send_part(f, LONG_BYTES / 30, false);
	}
	cf_send_part(f, 0, true);
	cf_run_due(f);
	g_assert_cmpuint(cf_count_answers(f, "200"), ==, 1);
	g_assert_cmpuint(f->answers->len, >, LONG_BYTES);
	g_assert_false(f->is_closed);
}

/* Guards against a request that waited for those in front, is refused at once
 * when its turn comes, and gets no answer. */
static void test_waiting_request_is_refused(struct fixture *f,
					    gconstpointer unused)
{
	static const char unmatched[] =
		"GET /none HTTP/1.1\r\nHost: other\r\n\r\n";

	(void)unused;
	cf_send_requests(f, "/silent", 1);
	cf_send_text(f, unmatched);
	cf_run_for(f, DEADLINE_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(cf_count_answers(f, "504"), ==, 1);
	g_assert_cmpuint(cf_count_answers(f, "404"), ==, 1);
}

/* Guards against requests whose time begins only when the daemon reads them,
 * after those in front are answered; also against a late start of such a
 * request. */
static void test_unread_requests(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	cf_send_requests(f, "/silent", 20);
	cf_run_for(f, DEADLINE_MS + PAST_DEADLINE_MAX_MS);
	g_assert_cmpuint(cf_count_answers(f, "50"), ==, 20);
	g_assert_cmpuint(f->attempts, <, 20);
}

/* Guards against time that a request is charged for, although it was sent after
 * others that waited. */
static void test_later_requests(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	cf_send_requests(f, "/silent", 9);
	cf_run_for(f, DEADLINE_MS / 2);
	cf_send_requests(f, "/silent", 1);
	cf_run_for(f, DEADLINE_MS);
	g_assert_cmpuint(cf_count_answers(f, "50"), ==, 9);
	cf_run_for(f, DEADLINE_MS / 2);
	g_assert_cmpuint(cf_count_answers(f, "50"), ==, 10);
	g_assert_cmpuint(f->attempts, ==, 9);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/call/short-answer-stops/head", "/short-head",
	    test_short_answer_stops);
	ADD("/call/short-answer-stops/part", "/short-part",
	    test_short_answer_stops);
	ADD("/call/late-answer-stops", NULL, test_late_answer_stops);
	ADD("/call/short-answer-slow", NULL, test_short_answer_is_slow);
	ADD("/call/long-answer-stops/head", "/long-head", test_long_answer_stops);
	ADD("/call/long-answer-stops/part", "/long-part", test_long_answer_stops);
	ADD("/call/long-answer-goes-on", NULL, test_long_answer_goes_on);
	ADD("/call/waiting-refused", NULL, test_waiting_request_is_refused);
	ADD("/call/unread-requests", NULL, test_unread_requests);
	ADD("/call/later-requests", NULL, test_later_requests);
	return g_test_run();
}
