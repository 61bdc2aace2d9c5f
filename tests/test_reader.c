#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/reader.h"
#include "reader_record.h"

#define MAX_HEAD 2048

static const char stream[] =
	"GET /a?x=1 HTTP/1.1\r\nHost: h\r\nX-One:  1 \r\n\r\n"
	"\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
	"HEAD /c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
	"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	"3\r\nabc\r\n10;x=y\r\n0123456789abcdef\r\n0\r\nX-End: 1\r\n\r\n"
	"POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
	"Expect: 100-continue\r\nConnection: close\r\n\r\n";

static const char stream_events[] =
	"GET /a?x=1 1.1 keeps ends Host=h X-One=1\n"
	"POST /b 1.1 keeps Host=h Content-Length=5\n<hello>\n"
	"HEAD /c 1.0 keeps ends Connection=keep-alive\n"
	"POST /d 1.1 keeps Host=h Transfer-Encoding=chunked\n"
	"<abc0123456789abcdef>\n"
	"POST /e 1.1 ends Host=h Content-Length=0 Expect=100-continue "
	"Connection=close\n";

static char *read_stream(const char *bytes, size_t size, size_t step)
{
	return g_string_free(reader_record(bytes, size, step, MAX_HEAD), FALSE);
}

/* The network may split a stream at any byte. */
static void test_pieces(void)
{
	for (size_t step = 1; step <= strlen(stream); step++) {
		char *events = read_stream(stream, strlen(stream), step);

		g_assert_cmpstr(events, ==, stream_events);
		g_free(events);
	}
}

/* Guards against bytes that the reader parses differently depending on how they
 * are split: an attacker could hide a request behind a pause. */
static void test_corrupted_stream_in_pieces(void)
{
	static const char odd[] = "\r\n\0 \t:;,0123456789abcdefGETPOSTHTTP/.-+";
	char bytes[sizeof(stream)];

	for (int round = 0; round < 3000; round++) {
		size_t size = strlen(stream);
		char *whole;
		char *single;

		memcpy(bytes, stream, sizeof(stream));
		for (int i = g_test_rand_int_range(1, 4); i > 0; i--)
			bytes[g_test_rand_int_range(0, (gint32)size)] =
				odd[g_test_rand_int_range(0, sizeof(odd) - 1)];
		whole = read_stream(bytes, size, size);
		single = read_stream(bytes, size, 1);
		g_assert_cmpstr(whole, ==, single);
		g_free(whole);
		g_free(single);
	}
}

static void expect_fault(const char *bytes, size_t size, bool is_http)
{
	struct reader reader;
	unsigned int status;
	size_t used;

	reader_init(&reader, MAX_HEAD);
	g_assert_cmpint(reader_read(&reader, (const uint8_t *)bytes, size, &used),
			==, READER_FAULT);
	g_assert_nonnull(reader_fault(&reader, &status));
	g_assert_cmpuint(status, >=, 400);
	g_assert_cmpint(reader_is_http(&reader), ==, is_http);
	/* The fault stays, whatever follows. */
	g_assert_cmpint(reader_read(&reader, (const uint8_t *)stream,
				    strlen(stream), &used),
			==, READER_FAULT);
	reader_finish(&reader);
}

#define EXPECT_FAULT(text, is_http) \
	expect_fault(text, sizeof(text) - 1, is_http)

/* Some parsers take each of these for one request, others for another one or
 * for two. */
static void test_ambiguous_requests(void)
{
	EXPECT_FAULT("GET / HTTP/1.1\nHost: h\n\n", false);
	EXPECT_FAULT("GET / HTTP/1.1\r\nHost: h\n\r\n", true);
	EXPECT_FAULT("GET / HTTP/1.1\r\nHost: h\rX: 1\r\n\r\n", true);
	EXPECT_FAULT("GET / HTTP/1.1\r\nHost: h\r\n X: 1\r\n\r\n", true);
	EXPECT_FAULT("GET / HTTP/1.1\r\nHost: h\r\nX: \0\r\n\r\n", true);
	EXPECT_FAULT("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
		     "Content-Length: 2\r\n\r\n",
		     true);
	EXPECT_FAULT("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
		     "Transfer-Encoding: chunked\r\n\r\n",
		     true);
	EXPECT_FAULT("GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 1\r\n\r\n",
		     true);
	EXPECT_FAULT("hello\r\n\r\n", false);
}

static void test_head_too_large(void)
{
	GString *bytes = g_string_new("GET / HTTP/1.1\r\nHost: h\r\nX: ");
	struct reader reader;
	unsigned int status;
	size_t used;

	while (bytes->len <= MAX_HEAD)
		g_string_append_c(bytes, 'x');
	reader_init(&reader, MAX_HEAD);
	g_assert_cmpint(reader_read(&reader, (const uint8_t *)bytes->str,
				    bytes->len, &used),
			==, READER_FAULT);
	reader_fault(&reader, &status);
	g_assert_cmpuint(status, ==, 431);
	reader_finish(&reader);
	g_string_free(bytes, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reader/pieces", test_pieces);
	g_test_add_func("/reader/corrupted-in-pieces",
			test_corrupted_stream_in_pieces);
	g_test_add_func("/reader/ambiguous", test_ambiguous_requests);
	g_test_add_func("/reader/head-too-large", test_head_too_large);
	return g_test_run();
}
