#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/connection.h"
#include "comfreydockd/caller/request.h"
#include "common/clock.h"
#include "paused_clock.h"

#define OUT_MAX 65536

static unsigned int wakes;

/* Stubs of the functions of connection.c that request.c calls. */
void connection_wake(struct connection *connection)
{
	(void)connection;
	wakes++;
}

const struct headers *connection_headers(const struct connection *connection)
{
	(void)connection;
	return &headers_own;
}

struct fixture {
	struct caller_request *request;
	GByteArray *out;
};

static void set_up(struct fixture *f, gconstpointer data)
{
	(void)data;
	f->request = request_create(NULL);
	f->request->keeps_alive = true;
	f->request->body_done = true;
	f->out = g_byte_array_new();
	wakes = 0;
}

static void tear_down(struct fixture *f, gconstpointer data)
{
	(void)data;
	request_destroy(f->request);
	g_byte_array_unref(f->out);
}

static void give_head(struct fixture *f, int64_t length)
{
	struct fields fields;

	fields_init(&fields);
	fields_add(&fields, "X-Id", "1");
	request_sink.handle_head(f->request, 200, &fields, length);
}

static void give_body(struct fixture *f, const char *text)
{
	request_sink.handle_body(f->request, text, strlen(text));
}

static enum request_progress write_out(struct fixture *f)
{
	enum request_progress progress =
		request_write(f->request, f->out, OUT_MAX, false);

	g_byte_array_append(f->out, (const guint8 *)"", 1);
	g_byte_array_set_size(f->out, f->out->len - 1);
	return progress;
}

static bool has_text(const struct fixture *f, const char *text)
{
	return strstr((const char *)f->out->data, text) != NULL;
}

static void test_whole_in_one_piece(struct fixture *f, gconstpointer data)
{
	(void)data;
	give_head(f, 5);
	g_assert_cmpint(write_out(f), ==, REQUEST_WAITS);
	g_assert_cmpuint(f->out->len, ==, 0);
	give_body(f, "hello");
	request_sink.handle_end(f->request);
	g_assert_cmpint(write_out(f), ==, REQUEST_ANSWERED);
	g_assert_true(
		g_str_has_prefix((char *)f->out->data, "HTTP/1.1 200 OK\r\n"));
	g_assert_true(has_text(f, "X-Id: 1\r\nContent-Length: 5\r\n\r\nhello"));
	g_assert_cmpuint(wakes, ==, 3);
}

static void test_chunks(struct fixture *f, gconstpointer data)
{
	(void)data;
	give_head(f, -1);
	give_body(f, "hello");
	g_assert_cmpint(write_out(f), ==, REQUEST_WAITS);
	request_sink.handle_end(f->request);
	g_assert_cmpint(write_out(f), ==, REQUEST_ANSWERED);
	g_assert_true(has_text(f, "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"));
}

/*
 * Guards against the loss of other requests when an upstream breaks off a short
 * answer after its head. If the head were written by then, the connection would
 * have to break, and all requests behind this one would be lost with it. The
 * caller must get a failure instead, and the connection must stay open.
 */
static void test_abort_before_head_is_written(struct fixture *f,
					      gconstpointer data)
{
	(void)data;
	give_head(f, 5);
	give_body(f, "hel");
	request_sink.handle_abort(f->request);
	g_assert_cmpint(write_out(f), ==, REQUEST_ANSWERED);
	g_assert_true(g_str_has_prefix((char *)f->out->data, "HTTP/1.1 502 "));
	g_assert_false(has_text(f, "hel\r\n"));
	g_assert_false(has_text(f, "X-Id"));
	g_assert_false(f->request->closes);
}

/* Guards against an answer that looks complete although its upstream broke it
 * off after the head was written. */
static void test_abort_after_head_is_written(struct fixture *f, gconstpointer data)
{
	(void)data;
	give_head(f, 1000000);
	give_body(f, "some");
	g_assert_cmpint(write_out(f), ==, REQUEST_WAITS);
	request_sink.handle_abort(f->request);
	g_assert_cmpint(write_out(f), ==, REQUEST_BROKEN);
}

/* Guards against an answer that is longer or shorter than its Content-Length:
 * the caller would take surplus bytes for the next answer. */
static void test_wrong_length(struct fixture *f, gconstpointer data)
{
	(void)data;
	give_head(f, 3);
	give_body(f, "hello");
	request_sink.handle_end(f->request);
	g_assert_cmpint(write_out(f), ==, REQUEST_BROKEN);
}

struct length_case {
	const char *name;
	int64_t length;
	const char *body;
};

static const struct length_case length_cases[] = {
	{"/request/withheld-length/surplus-to-none", 0, "x"},
	{"/request/withheld-length/surplus", 3, "hello"},
	{"/request/withheld-length/short", 8, "hello"},
};

/* Guards against a withheld answer of a wrong length whose head is written: a
 * caller takes one that is stated to be empty for complete. */
static void test_withheld_wrong_length(struct fixture *f, gconstpointer data)
{
	const struct length_case *test = data;

	give_head(f, test->length);
	give_body(f, test->body);
	request_sink.handle_end(f->request);
	g_assert_cmpint(write_out(f), ==, REQUEST_BROKEN);
	g_assert_cmpuint(f->out->len, ==, 0);
}

/*
 * Guards against a come-back time that is too long for a refusal behind a
 * lookup of 300 ms. The caller reads the refusal only after the lookup's
 * answer. If 400 ms counted from then, it would come back 300 ms after there is
 * room.
 */
static void test_come_back_counts_from_sending(struct fixture *f,
					       gconstpointer data)
{
	struct call_reply reply = {
		.status = 503, .come_back_ms = 400, .text = "not run\n"};

	(void)data;
	request_sink.handle_reply(f->request, &reply);
	paused_clock_advance_us(300 * US_PER_MS);
	g_assert_cmpint(write_out(f), ==, REQUEST_ANSWERED);
	g_assert_true(has_text(f, FIELD_RETRY_AFTER_MS ": 100\r\n"));
}

#define ADD(name, function) \
	g_test_add(name, struct fixture, NULL, set_up, function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/request/whole", test_whole_in_one_piece);
	ADD("/request/chunks", test_chunks);
	ADD("/request/abort-before-head", test_abort_before_head_is_written);
	ADD("/request/abort-after-head", test_abort_after_head_is_written);
	ADD("/request/wrong-length", test_wrong_length);
	ADD("/request/come-back", test_come_back_counts_from_sending);
	for (size_t i = 0; i < G_N_ELEMENTS(length_cases); i++)
		g_test_add(length_cases[i].name, struct fixture, &length_cases[i],
			   set_up, test_withheld_wrong_length, tear_down);
	return g_test_run();
}
