#include <glib.h>
#include <string.h>

#include "comfreydockd/upstream/answer_head.h"
#include "platform/headers.h"

#define OK "HTTP/1.1 200 OK\n"
#define TRACE "X-Comfreydock-Request-Id: 9c41\n"

/* Lines end in a newline here. A fault of NULL means that the head is accepted. */
struct head_case {
	const char *lines;
	const char *fault;
	unsigned int status;
	int64_t length;
};

static void check_head(const struct head_case *expected)
{
	char **lines = g_strsplit(expected->lines, "\n", -1);
	struct answer_head head;
	bool accepted = true;

	answer_head_init(&head, &platform_headers);
	for (char **line = lines; **line && accepted; line++)
		accepted = answer_head_add_line(&head, *line, strlen(*line));
	g_test_message("%s", expected->lines);
	g_assert_cmpstr(head.message.fault, ==, expected->fault);
	g_assert_cmpint(accepted, ==, !expected->fault);
	if (accepted) {
		g_assert_cmpuint(head.message.status, ==, expected->status);
		g_assert_cmpint(head.message.length, ==, expected->length);
	}
	answer_head_finish(&head);
	g_strfreev(lines);
}

/* Guards against refusing what common servers send. */
static void test_accepted_heads(void)
{
	static const struct head_case cases[] = {
		{OK, NULL, 200, -1},
		{"HTTP/1.1 103 Early Hints\n", NULL, 103, -1},
		{"HTTP/1.1 200\n", NULL, 200, -1},
		{"HTTP/1.1 200 \n", NULL, 200, -1},
		{"HTTP/1.0 404 Not Found\nContent-Length: 9\n", NULL, 404, 9},
		{"HTTP/1.1 599 \xc3\xbc\n", NULL, 599, -1},
		{OK "Content-Length:6\n", NULL, 200, 6},
		{OK "content-length: \t 006 \t\n", NULL, 200, 6},
		{OK "Content-Length: 9223372036854775807\n", NULL, 200, INT64_MAX},
		{OK "Transfer-Encoding: Chunked\n", NULL, 200, -1},
		{OK "Set-Cookie: a=b; c=d:e\nSet-Cookie: f=\xc3\xbc\n", NULL,
		 200, -1},
		{OK "Server : a\n", NULL, 200, -1},
		{OK "Server:\nVia: HTTP/1.1 proxy (x)\nVia: 1.1 a\n", NULL, 200,
		 -1},
		{"HTTP/1.1 204 No Content\nContent-Length: 0\n", NULL, 204, 0},
		{"HTTP/1.1 304 Not Modified\nContent-Length: 7\n", NULL, 304, 7},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_head(&cases[i]);
}

/* Guards against a head that libcurl and this daemon would read differently, or
 * that two answers make together. */
static void test_refused_heads(void)
{
	static const char no_number[] = "a length that is no number";
	static const char no_field[] = "a line that is no field";
	static const char control[] = "a control character in a field";
	static const char no_status[] = "no status line";
	static const char invalid_status[] = "an invalid status";
	static const char coding[] = "a transfer coding not known";
	static const char both[] = "a length beside a transfer coding";
	static const char twice[] = "a field of the answer's identity twice";
	static const char within[] = "a status line within a line";
	static const struct head_case cases[] = {
		{OK "Content-Length: 6\nTransfer-Encoding: chunked\n", both},
		{OK "Transfer-Encoding: chunked\nContent-Length: 6\n", both},
		{OK "Content-Length: 6\nContent-Length: 7\n",
		 "a second length"},
		{OK "Content-Length: 6, 6\n", no_number},
		{OK "Content-Length: 6a\n", no_number},
		{OK "Content-Length: 0x6\n", no_number},
		{OK "Content-Length: 6 6\n", no_number},
		{OK "Content-Length:\n", no_number},
		{OK "Content-Length: +6\n", no_number},
		{OK "Content-Length: -6\n", no_number},
		{OK "Content-Length: 9223372036854775808\n", no_number},
		{OK "Content-Length: 18446744073709551622\n", no_number},
		{OK "Transfer-Encoding: gzip, chunked\n", coding},
		{OK "Transfer-Encoding: identity\n", coding},
		{OK "Transfer-Encoding:\n", coding},
		{OK "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n",
		 coding},
		{OK "Content-Length: 6\r\n", control},
		{OK "Content-Length:\v6\n", control},
		{OK "Transfer-Encoding: chunked\f\n", control},
		{OK "Server: a\rb\n", control},
		{OK "Server: a\r\n", control},
		{OK "Server: a\x01\n", control},
		{OK "\r\n", no_field},
		{OK "\rServer: a\n", no_field},
		{OK "Server: a\n b\n", no_field},
		{OK "Server: a\n\tContent-Length: 6\n", no_field},
		{OK "Content-Length : 6\n",
		 "white space in a field of the framing"},
		{OK "Content Length: 6\n", no_field},
		{OK ": 6\n", no_field},
		{OK "Server\n", no_field},
		{OK "HTTP/1.1 500 Failed\n", "a second status line"},
		{OK "X-Comfreydock-Request-Id: 9c4HTTP/1.1 500 Failed\n", within},
		{"HTTP/1.1 200 OHTTP/1.1 500 Failed\n", within},
		{OK TRACE TRACE, twice},
		{"HTTP/1.1 101 Switching Protocols\n", "a switch of protocols"},
		{"Server: a\n", no_status},
		{"HTTP/1.1 20\n", no_status},
		{"HTTP/1.1 2000 OK\n", no_status},
		{"HTTP/1.1 000 OK\n", invalid_status},
		{"HTTP/1.1 099 OK\n", invalid_status},
		{"HTTP/1.1 600 OK\n", invalid_status},
		{"HTTP/1.1 999 OK\n", invalid_status},
		{"HTTP/1.1  200 OK\n", no_status},
		{"HTTP/1.2 200 OK\n", no_status},
		{"HTTP/2 200\n", no_status},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_head(&cases[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/answer-head/accepted", test_accepted_heads);
	g_test_add_func("/answer-head/refused", test_refused_heads);
	return g_test_run();
}
