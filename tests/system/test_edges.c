#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "raw.h"

#define CLOSE_MS 3000
#define NEXT "GET /s/next HTTP/1.1\r\nHost: h\r\nX-Request-Id: next\r\n\r\n"
#define OUTER "Host: h\r\nX-Request-Id: outer\r\n"

static const char config[] =
	"{\"namespace\": \"t\", \"services\": {\"s\": {\n"
	"  \"path_prefixes\": [\"/s\", \"/echo\", \"/bytes\"], \"group\": "
	"\"s\",\n"
	"  \"rules\": [{\"name\": \"get\", \"methods\": [\"GET\", \"HEAD\"],\n"
	"    \"idempotent\": true, \"deadline_ms\": 5000},\n"
	"   {\"name\": \"post\", \"methods\": [\"POST\"],\n"
	"    \"deadline_ms\": 5000}]}}}\n";

static struct cluster cluster;

struct malformed_request {
	const char *name;
	const char *head; /* of a request with the id "outer" */
	const char *counter; /* the counter that rises; NULL: caller_bad_requests */
	size_t size; /* of a head with a NUL byte; 0: up to its terminator */
};

#define SIZED(text) .head = (text), .size = sizeof(text) - 1

static const struct malformed_request malformed_requests[] = {
	{"length-and-chunked",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: 4\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"chunked-and-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Transfer-Encoding: chunked\r\n"
	 "Content-Length: 5\r\n\r\n0\r\n\r\n"},
	{"two-lengths", "POST /s HTTP/1.1\r\n" OUTER "Content-Length: 0\r\n"
			"Content-Length: 56\r\n\r\n"},
	{"same-length-twice",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: 0\r\n"
	 "Content-Length: 0\r\n\r\n"},
	{"two-codings",
	 "POST /s HTTP/1.1\r\n" OUTER "Transfer-Encoding: chunked\r\n"
	 "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n"},
	{"odd-coding", "POST /s HTTP/1.1\r\n" OUTER
		       "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
	{"coding-list", "POST /s HTTP/1.1\r\n" OUTER
			"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
	{"coding-with-tab", "POST /s HTTP/1.1\r\n" OUTER
			    "Transfer-Encoding:\tchunked, identity\r\n\r\n"},
	{"empty-coding",
	 "POST /s HTTP/1.1\r\n" OUTER "Transfer-Encoding:\r\n\r\n"},
	{"coding-in-1.0", "POST /s HTTP/1.0\r\n" OUTER
			  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"space-before-colon",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length : 56\r\n\r\n"},
	{"coding-space-colon", "POST /s HTTP/1.1\r\n" OUTER
			       "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
	{"plus-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: +5\r\n\r\n"},
	{"minus-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: -5\r\n\r\n"},
	{"hex-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: 0x5\r\n\r\n"},
	{"list-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: 5,5\r\n\r\n"},
	{"spaced-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: 5 6\r\n\r\n"},
	{"empty-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length:\r\n\r\n"},
	{"long-length", "POST /s HTTP/1.1\r\n" OUTER
			"Content-Length: 99999999999999999999\r\n\r\n"},
	{"name-with-space", "GET /s HTTP/1.1\r\n" OUTER "Bad Name: 1\r\n\r\n"},
	{"no-colon", "GET /s HTTP/1.1\r\n" OUTER "No colon here\r\n\r\n"},
	{"two-hosts", "GET /s HTTP/1.1\r\n" OUTER "Host: other\r\n\r\n"},
	{"no-host", "GET /s HTTP/1.1\r\nX-Request-Id: outer\r\n\r\n"},
	{"host-with-slash", "GET /s HTTP/1.1\r\nHost: a/b\r\n"
			    "X-Request-Id: outer\r\n\r\n"},
	{"target-without-slash", "GET s HTTP/1.1\r\n" OUTER "\r\n"},
	{"target-star", "GET * HTTP/1.1\r\n" OUTER "\r\n"},
	{"target-with-space", "GET /s /s HTTP/1.1\r\n" OUTER "\r\n"},
	{"version-in-target", "GET /s HTTP/1.1 HTTP/1.1\r\n" OUTER "\r\n"},
	{"target-control", "GET /s\001x HTTP/1.1\r\n" OUTER "\r\n"},
	{"target-fragment", "GET /s#x HTTP/1.1\r\n" OUTER "\r\n"},
	{"target-other-scheme", "GET ftp://h/s HTTP/1.1\r\n" OUTER "\r\n"},
	{"connect", "CONNECT h:443 HTTP/1.1\r\n" OUTER "\r\n"},
	{"odd-method", "G(T /s HTTP/1.1\r\n" OUTER "\r\n"},
	{"value-control", "GET /s HTTP/1.1\r\n" OUTER "X-A: a\001b\r\n\r\n"},
	{"value-nul", SIZED("GET /s HTTP/1.1\r\n" OUTER "X-A: a\0b\r\n\r\n")},
	{"name-nul", SIZED("GET /s HTTP/1.1\r\n" OUTER "X-A\0: a\r\n\r\n")},
	{"target-nul", SIZED("GET /s\0x HTTP/1.1\r\n" OUTER "\r\n")},
	{"version-nul", SIZED("GET /s HTTP/1.1\0x\r\n" OUTER "\r\n"),
	 .counter = "caller_empty_connections"},
	{"folded", "GET /s HTTP/1.1\r\n" OUTER "X-A: a\r\n b\r\n\r\n"},
	{"folded-tab", "GET /s HTTP/1.1\r\n" OUTER "X-A: a\r\n\tb\r\n\r\n"},
	{"folded-first", "GET /s HTTP/1.1\r\n X: a\r\n" OUTER "\r\n"},
	{"folded-length",
	 "POST /s HTTP/1.1\r\n" OUTER "Content-Length: 5\r\n 6\r\n\r\n"},
	{"no-version", "GET /s\r\n" OUTER "\r\n", "caller_empty_connections"},
	{"other-version", "GET /s HTTP/2.7\r\n" OUTER "\r\n",
	 "caller_empty_connections"},
	{"tls", "\026\003\001\002\001\001\374\003\003\r\n\r\n",
	 "caller_empty_connections"},
	{"garbage", "\377\376\001\002 \003 \004\r\n\r\n",
	 "caller_empty_connections"},
	{"words", "hello, is anybody there?\r\n\r\n", "caller_empty_connections"},
};

/*
 * Request smuggling: two parsers of one byte stream may disagree on where a
 * request ends. A caller that exploits this gets a second request past the
 * rules, and another caller may receive the wrong answer. The daemon therefore
 * refuses every ambiguous request and parses no further request on the
 * connection.
 */
static void test_malformed_request(const void *data)
{
	const struct malformed_request *malformed_request = data;
	GString *answer = g_string_new(NULL);
	const char *counter = malformed_request->counter ?
				      malformed_request->counter :
				      "caller_bad_requests";
	int64_t before = cluster_counter(&cluster, 0, counter);
	int fd = raw_connect(cluster.daemons[0]->caller_port);
	bool closed;

	raw_send(fd, malformed_request->head,
		 malformed_request->size ? malformed_request->size :
					   strlen(malformed_request->head));
	raw_send_text(fd, NEXT);
	closed = raw_read_until_close(fd, answer, CLOSE_MS);
	g_test_message("%.*s", 60, answer->str);
	g_assert_true(closed);
	g_assert_null(strstr(answer->str, "HTTP/1.1 2"));
	g_assert_true(!answer->len ||
		      g_str_has_prefix(answer->str, "HTTP/1.1 4") ||
		      g_str_has_prefix(answer->str, "HTTP/1.1 5"));
	g_assert_cmpint(cluster_runs(&cluster, "outer"), ==, 0);
	g_assert_cmpint(cluster_runs(&cluster, "next"), ==, 0);
	g_assert_cmpint(cluster_counter(&cluster, 0, counter), ==, before + 1);
	close(fd);
	g_string_free(answer, TRUE);
}

static void add_malformed_requests(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(malformed_requests); i++) {
		char *path = g_strdup_printf("/edges/malformed/%s",
					     malformed_requests[i].name);

		g_test_add_data_func(path, &malformed_requests[i],
				     test_malformed_request);
		g_free(path);
	}
}

static GString *exchange(const char *request, bool *closed)
{
	GString *answer = g_string_new(NULL);
	int fd = raw_connect(cluster.daemons[0]->caller_port);

	raw_send_text(fd, request);
	*closed = raw_read_until_close(fd, answer, CLOSE_MS);
	close(fd);
	return answer;
}

static void expect_closed_with(const char *request, const char *start)
{
	bool closed;
	GString *answer = exchange(request, &closed);

	g_test_message("%.*s", 60, answer->str);
	g_assert_true(closed);
	g_assert_true(g_str_has_prefix(answer->str, start));
	g_string_free(answer, TRUE);
}

static void test_oversize_head(void)
{
	int64_t before = cluster_counter(&cluster, 0, "caller_bad_requests");
	char *filler = g_strnfill(64 * 1024, 'x');
	char *field = g_strconcat("GET /s HTTP/1.1\r\n" OUTER "X-Long: ", filler,
				  "\r\n\r\n", NULL);
	char *target = g_strconcat("GET /s", filler,
				   " HTTP/1.1\r\n" OUTER "\r\n", NULL);

	expect_closed_with(field, "HTTP/1.1 4");
	expect_closed_with(target, "HTTP/1.1 4");
	g_assert_cmpint(cluster_counter(&cluster, 0, "caller_bad_requests") +
				cluster_counter(&cluster, 0,
						"caller_empty_connections"),
			>=, before + 2);
	g_assert_cmpint(cluster_runs(&cluster, "outer"), ==, 0);
	g_free(target);
	g_free(field);
	g_free(filler);
}

static void check_id(const char *id)
{
	char *request = g_strconcat(
		"GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
		"Comfreydock-Trace: ",
		id, "\r\n\r\n", NULL);
	char *echo = g_strconcat("\r\nComfreydock-Trace: ", id, "\r\n", NULL);
	bool closed;
	GString *answer = exchange(request, &closed);

	g_test_message("%.60s: %s", id, answer->str);
	g_assert_true(closed);
	g_assert_true(g_str_has_prefix(answer->str, "HTTP/1.1 200"));
	g_assert_nonnull(strstr(answer->str, echo));
	g_string_free(answer, TRUE);
	g_free(echo);
	g_free(request);
}

/* Guards against a request that runs under another id than its caller sent. */
static void test_ids_of_callers(void)
{
	char *longest = g_strnfill(12000, '7');

	check_id("0000000000000001.0000000000000002.0000000000000003");
	check_id("urn:uuid:f81d4fae-7dec-11d0-a765-00a0c91e6bf6");
	check_id("a+b/c==; with \"quotes\", a\ttab, \\ and caf\xc3\xa9 \xff");
	check_id(longest);
	g_free(longest);
}

/* The first request takes longest. Answers are sent in the order of the
 * requests all the same, and each carries the id of its request. */
static void test_pipelining(void)
{
	GString *request = g_string_new(
		"POST /echo HTTP/1.1\r\nHost: h\r\nX-Request-Id: p0\r\n"
		"Transfer-Encoding: chunked\r\n\r\n"
		"6\r\nlonger\r\n0\r\n\r\n"
		"HEAD /s HTTP/1.1\r\nHost: h\r\nX-Request-Id: p1\r\n\r\n");
	const char *at;
	GString *answer;
	bool closed;

	for (int i = 2; i < 10; i++)
		g_string_append_printf(request,
				       "GET /s/%d HTTP/1.1\r\nHost: h\r\n"
				       "X-Request-Id: p%d\r\n%s\r\n",
				       i, i,
				       i == 9 ? "Connection: close\r\n" : "");
	answer = exchange(request->str, &closed);
	g_assert_true(closed);
	g_assert_cmpuint(raw_count(answer->str, "HTTP/1.1 200 OK\r\n"), ==, 10);
	at = answer->str;
	for (int i = 0; i < 10; i++) {
		char *mark = g_strdup_printf("X-Request-Id: p%d\r\n", i);

		at = strstr(at, mark);
		g_assert_nonnull(at);
		g_free(mark);
	}
	g_assert_cmpuint(raw_count(answer->str, "{\"id\":\"p"), ==, 8);
	g_assert_nonnull(strstr(answer->str, "\r\n\r\nlonger"));
	g_string_free(answer, TRUE);
	g_string_free(request, TRUE);
}

static void test_continue(void)
{
	GString *answer = g_string_new(NULL);
	int fd = raw_connect(cluster.daemons[0]->caller_port);

	raw_send_text(fd, "POST /echo HTTP/1.1\r\nHost: h\r\n"
			  "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
	g_assert_true(raw_read_until_found(
		fd, answer, "HTTP/1.1 100 Continue\r\n\r\n", 1, CLOSE_MS));
	raw_send_text(fd, "hello");
	g_assert_true(
		raw_read_until_found(fd, answer, "\r\n\r\nhello", 1, CLOSE_MS));
	g_assert_nonnull(strstr(answer->str, "HTTP/1.1 200 OK"));
	close(fd);
	g_string_free(answer, TRUE);
}

/* A caller that waits for "100 Continue" gets the refusal instead. */
static void test_continue_refused(void)
{
	expect_closed_with("POST /nowhere HTTP/1.1\r\nHost: h\r\n"
			   "Expect: 100-continue\r\n"
			   "Content-Length: 5\r\n\r\n",
			   "HTTP/1.1 404");
}

/*
 * The daemon refuses the request by its head while the body is still being
 * sent. The caller can read the refusal, and the daemon does not parse the body
 * as further requests.
 */
static void test_early_refusal(void)
{
	GString *answer = g_string_new(NULL);
	int fd = raw_connect(cluster.daemons[0]->caller_port);

	raw_send_text(fd, "POST /nowhere HTTP/1.1\r\nHost: h\r\n"
			  "Content-Length: 4000000\r\n\r\n");
	for (int i = 0; i < 50000; i++)
		raw_send_text(fd, NEXT);
	g_assert_true(raw_read_until_found(fd, answer, "no service or rule", 1,
					   CLOSE_MS));
	g_assert_cmpuint(raw_count(answer->str, "HTTP/1.1 "), ==, 1);
	g_assert_true(g_str_has_prefix(answer->str, "HTTP/1.1 404"));
	close(fd);
	g_assert_cmpint(cluster_runs(&cluster, "next"), ==, 0);
	g_string_free(answer, TRUE);
}

static void test_http_1_0(void)
{
	bool closed;
	GString *answer = exchange("GET /bytes/300000 HTTP/1.0\r\n"
				   "X-Request-Id: old\r\n\r\n",
				   &closed);
	const char *body = strstr(answer->str, "\r\n\r\n");

	g_assert_true(closed);
	g_assert_nonnull(body);
	g_assert_null(strstr(answer->str, "chunked"));
	g_assert_cmpuint(strlen(body + 4), ==, 300000);
	g_string_free(answer, TRUE);
}

static void test_absolute_target(void)
{
	bool closed;
	GString *answer =
		exchange("GET http://h:80/s/a HTTP/1.1\r\nHost: other\r\n"
			 "Connection: close\r\n\r\n" NEXT,
			 &closed);

	g_assert_true(closed);
	g_assert_true(g_str_has_prefix(answer->str, "HTTP/1.1 200"));
	g_assert_cmpuint(raw_count(answer->str, "HTTP/1.1 "), ==, 1);
	g_string_free(answer, TRUE);
}

/* A caller sends one byte at a time, with a longer pause after each ten. */
static void test_slow_caller(void)
{
	static const char request[] =
		"POST /echo HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow\r\n"
		"Content-Length: 12\r\nConnection: close\r\n\r\nhello, world";
	GString *answer = g_string_new(NULL);
	int fd = raw_connect(cluster.daemons[0]->caller_port);

	for (size_t i = 0; i < strlen(request); i++) {
		raw_send(fd, request + i, 1);
		rig_sleep_ms(i % 10 ? 1 : 10);
	}
	g_assert_true(raw_read_until_close(fd, answer, CLOSE_MS));
	g_assert_true(g_str_has_prefix(answer->str, "HTTP/1.1 200"));
	g_assert_true(g_str_has_suffix(answer->str, "\r\n\r\nhello, world"));
	g_assert_cmpint(cluster_runs(&cluster, "slow"), ==, 1);
	close(fd);
	g_string_free(answer, TRUE);
}

/* A valid head is followed by a malformed chunk. The upstream may have run what
 * was forwarded, but nothing after the chunk may be parsed as a request. */
static void test_bad_chunk(void)
{
	bool closed;
	GString *answer = exchange("POST /echo HTTP/1.1\r\nHost: h\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n"
				   "0x5\r\nhello\r\n0\r\n\r\n" NEXT,
				   &closed);

	g_assert_true(closed);
	g_assert_null(strstr(answer->str, "HTTP/1.1 2"));
	g_assert_cmpint(cluster_runs(&cluster, "next"), ==, 0);
	g_string_free(answer, TRUE);
}

static void add_other_edges(void)
{
	g_test_add_func("/edges/oversize-head", test_oversize_head);
	g_test_add_func("/edges/ids", test_ids_of_callers);
	g_test_add_func("/edges/pipelining", test_pipelining);
	g_test_add_func("/edges/continue", test_continue);
	g_test_add_func("/edges/continue-refused", test_continue_refused);
	g_test_add_func("/edges/early-refusal", test_early_refusal);
	g_test_add_func("/edges/http-1.0", test_http_1_0);
	g_test_add_func("/edges/absolute-target", test_absolute_target);
	g_test_add_func("/edges/slow-caller", test_slow_caller);
	g_test_add_func("/edges/bad-chunk", test_bad_chunk);
}

int main(int argc, char **argv)
{
	struct cluster_options options = {.count = 1, .config = config};
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	add_malformed_requests();
	add_other_edges();
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
