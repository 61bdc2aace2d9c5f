#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/reader.h"

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

/* What was read, as text; bodies are joined, as pieces depend on the reads. */
struct record {
	GString *text;
	GString *body;
};

static void record_head(struct record *record, const struct reader *reader)
{
	struct reader_head head;

	reader_get_head(reader, &head);
	g_string_append_printf(record->text, "%s %s %s%s%s", head.method,
			       head.head->target, head.is_1_0 ? "1.0" : "1.1",
			       head.keeps_alive ? " keeps" : "",
			       head.ends ? " ends" : "");
	for (size_t i = 0; i < head.head->fields.count; i++)
		g_string_append_printf(record->text, " %s=%s",
				       head.head->fields.items[i]->name,
				       head.head->fields.items[i]->value);
	g_string_append_c(record->text, '\n');
}

static void record_body(struct record *record, const struct reader *reader)
{
	struct reader_body body;

	reader_get_body(reader, &body);
	g_string_append_len(record->body, (const char *)body.bytes,
			    (gssize)body.size);
	if (!body.ends)
		return;
	g_string_append_c(record->text, '<');
	g_string_append_len(record->text, record->body->str,
			    (gssize)record->body->len);
	g_string_append(record->text, ">\n");
	g_string_truncate(record->body, 0);
}

/* RETURN VALUE: whether it goes on. */
static bool record_event(struct record *record, const struct reader *reader,
			 enum reader_event event)
{
	if (event == READER_HEAD)
		record_head(record, reader);
	else if (event == READER_BODY)
		record_body(record, reader);
	else if (event == READER_FAULT)
		g_string_append(record->text, "fault\n");
	return event == READER_HEAD || event == READER_BODY;
}

/* Reads all of it, at most step more bytes at a time. */
static char *read_stream(const char *bytes, size_t size, size_t step)
{
	struct record record = {g_string_new(NULL), g_string_new(NULL)};
	enum reader_event event = READER_NEEDS_BYTES;
	struct reader reader;
	size_t known = 0;
	size_t at = 0;
	size_t used;

	reader_init(&reader, MAX_HEAD);
	while (event != READER_FAULT) {
		event = reader_read(&reader, (const uint8_t *)bytes + at,
				    known - at, &used);
		g_assert_cmpuint(used, <=, known - at);
		at += used;
		if (record_event(&record, &reader, event) || event == READER_FAULT)
			continue;
		if (known == size)
			break;
		known = MIN(known + step, size);
	}
	reader_finish(&reader);
	g_string_free(record.body, TRUE);
	return g_string_free(record.text, FALSE);
}

/* Bytes come in whatever pieces the network makes of them. */
static void test_pieces(void)
{
	for (size_t step = 1; step <= strlen(stream); step++) {
		char *events = read_stream(stream, strlen(stream), step);

		g_assert_cmpstr(events, ==, stream_events);
		g_free(events);
	}
}

/*
 * Somebody looks for bytes of which two readers make two things. Whatever they
 * are, they must mean the same however they are cut into pieces; else a request
 * could be hidden behind a pause.
 */
static void test_spoilt_in_pieces(void)
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
	/* It stays so, whatever follows. */
	g_assert_cmpint(reader_read(&reader, (const uint8_t *)stream,
				    strlen(stream), &used),
			==, READER_FAULT);
	reader_finish(&reader);
}

#define EXPECT_FAULT(text, is_http) \
	expect_fault(text, sizeof(text) - 1, is_http)

/* Each is one request to some readers and another, or two, to others. */
static void test_forms_with_two_meanings(void)
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
	g_test_add_func("/reader/spoilt-in-pieces", test_spoilt_in_pieces);
	g_test_add_func("/reader/two-meanings", test_forms_with_two_meanings);
	g_test_add_func("/reader/head-too-large", test_head_too_large);
	return g_test_run();
}
