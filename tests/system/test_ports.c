/* Unauthorized and malformed access to the admin port and the peer port, and
 * too many connections to the caller port. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "cluster.h"
#include "proto/peer.pb-c.h"
#include "raw.h"

#define CLOSE_MS 3000
#define TOKEN "a token for tests only"
#define PROTOCOL_VERSION 1

static struct cluster cluster;
static struct rig_process *guarded; /* its admin API requires the token */

struct settings {
	const char *host;
	const char *admin_address;
	const char *token_file; /* NULL: none */
	const char *key_file;
	bool is_isolated; /* the daemon reaches no platform and no peer */
};

static const char *write_settings(const struct settings *settings)
{
	char *file = g_strdup_printf("%s.json", settings->host);
	char *token = settings->token_file ?
			      g_strdup_printf(", \"token_file\": \"%s\"",
					      settings->token_file) :
			      g_strdup("");
	char *join = settings->is_isolated ?
			     g_strdup("") :
			     g_strdup_printf("\"127.0.0.1:%u\"",
					     cluster.daemons[0]->peer_port);
	const char *path = rig_write_file(
		cluster.rig, file,
		"{\"host\": \"%s\", \"domain\": \"x\", \"region\": \"r\",\n"
		"\"caller\": {\"address\": \"127.0.0.1\", \"port\": 0,\n"
		" \"max_connections\": 4},\n"
		"\"admin\": {\"address\": \"%s\", \"port\": 0%s},\n"
		"\"platform\": {\"url\": \"http://127.0.0.1:%u\"},\n"
		"\"peer\": {\"address\": \"127.0.0.1\", \"port\": 0,\n"
		" \"key_file\": \"%s\", \"join\": [%s]}}\n",
		settings->host, settings->admin_address, token,
		settings->is_isolated ? cluster_reserve_port() :
					cluster.platform->port,
		settings->key_file, join);

	g_free(join);
	g_free(token);
	g_free(file);
	return path;
}

/* Starts the daemon isolated, so that it never gets a configuration. */
static void start_guarded(void)
{
	const struct settings settings = {
		.host = "guarded",
		.admin_address = "127.0.0.1",
		.token_file = rig_write_file(cluster.rig, "token", TOKEN),
		.key_file = cluster.key_file,
		.is_isolated = true,
	};

	guarded = rig_start_daemon(cluster.rig, "guarded",
				   write_settings(&settings));
}

/*
 * An operator binds the admin port to all addresses without a token. The daemon
 * refuses to start, since anyone could apply a configuration.
 */
static void test_open_admin_does_not_start(void)
{
	const struct settings settings = {
		.host = "open",
		.admin_address = "0.0.0.0",
		.key_file = cluster.key_file,
	};

	g_assert_cmpint(rig_run(cluster.rig, NULL, "comfreydockd/comfreydockd",
				"--config", write_settings(&settings), NULL),
			==, 3);
}

static long guarded_status(const char *method, const char *path,
			   const char *authorization, const char *body)
{
	const char *headers[] = {"Authorization", authorization, NULL};
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    guarded->admin_port, path);
	struct rig_answer *answer =
		rig_http(method, url, authorization ? headers : NULL, body, 5000);
	long status = answer->status;

	rig_answer_free(answer);
	g_free(url);
	return status;
}

static void test_admin_token(void)
{
	static const char *const wrong[] = {
		NULL,
		"Bearer",
		"Bearer  " TOKEN,
		"Bearer a token for tests onl",
		"Bearer a token for tests onlyy",
		"Basic " TOKEN,
	};
	char *metrics;

	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
		g_assert_cmpint((int)guarded_status("GET", "/v1/status",
						    wrong[i], NULL),
				==, 401);
		g_assert_cmpint((int)guarded_status("POST", "/v1/upstream/drain",
						    wrong[i], ""),
				==, 401);
	}
	g_assert_cmpint(
		(int)guarded_status("GET", "/v1/status", "Bearer " TOKEN, NULL),
		==, 200);
	metrics = rig_read_log(guarded);
	g_assert_cmpuint(raw_count(metrics, "operator.unauthorized"), >=, 1);
	g_free(metrics);
}

static void test_admin_oversize_body(void)
{
	char *body = g_strnfill(8 * 1024 * 1024, ' ');

	g_assert_cmpint((int)guarded_status("POST", "/v1/config/check",
					    "Bearer " TOKEN, body),
			==, 413);
	g_assert_cmpint(
		(int)guarded_status("POST", "/v1/config/check", NULL, body), !=,
		200);
	g_assert_cmpint(
		(int)guarded_status("GET", "/v1/status", "Bearer " TOKEN, NULL),
		==, 200);
	g_free(body);
}

/* Makes one call on a connection that stays open. RETURN VALUE: the answer. */
static GString *call_over(int fd)
{
	GString *answer = g_string_new(NULL);

	raw_send_text(fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	g_assert_true(raw_read_until_found(fd, answer, "not run: ", 1, CLOSE_MS));
	return answer;
}

/*
 * Callers open more connections than the daemon allows. It refuses the surplus
 * ones at once with a time to retry; if it left them unread, they would wait
 * until the callers' own timeouts. The other connections keep working.
 */
static void test_too_many_callers(void)
{
	GString *answer;
	int fds[5];

	for (int i = 0; i < 5; i++)
		fds[i] = raw_connect(guarded->caller_port);
	answer = call_over(fds[4]);
	g_assert_true(g_str_has_prefix(answer->str, "HTTP/1.1 503"));
	g_assert_nonnull(
		strstr(answer->str, "Comfreydock-Reason: connections"));
	g_assert_nonnull(strstr(answer->str, "Retry-After: 1"));
	g_assert_true(raw_read_until_close(fds[4], answer, CLOSE_MS));
	g_string_free(answer, TRUE);
	/* This daemon has no configuration, so it refuses with another
	 * reason. */
	answer = call_over(fds[3]);
	g_assert_nonnull(strstr(answer->str, "no-configuration"));
	g_string_free(answer, TRUE);
	for (int i = 0; i < 5; i++)
		close(fds[i]);
}

static void send_frame(int fd, const Cfd__Frame *frame)
{
	size_t size = cfd__frame__get_packed_size(frame);
	uint32_t length = htonl((uint32_t)size);
	uint8_t *bytes = g_malloc(size);

	cfd__frame__pack(frame, bytes);
	raw_send(fd, &length, sizeof(length));
	raw_send(fd, bytes, size);
	g_free(bytes);
}

static void send_hello(int fd, uint32_t version, bool with_proof)
{
	uint8_t nonce[16] = {1};
	uint8_t proof[32] = {2};
	Cfd__Hello hello = CFD__HELLO__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	hello.version = version;
	hello.host = (char *)"stranger";
	hello.nonce.data = nonce;
	hello.nonce.len = sizeof(nonce);
	if (with_proof) {
		hello.proof.data = proof;
		hello.proof.len = sizeof(proof);
	}
	frame.kind_case = CFD__FRAME__KIND_HELLO;
	frame.hello = &hello;
	send_frame(fd, &frame);
}

static void send_attempt(int fd)
{
	Cfd__Attempt attempt = CFD__ATTEMPT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	attempt.seq = 1;
	attempt.trace = (char *)"stranger";
	attempt.group = (char *)"s";
	attempt.method = (char *)"POST";
	attempt.target = (char *)"/";
	attempt.remaining_us = 1000000;
	attempt.body_ends = true;
	frame.kind_case = CFD__FRAME__KIND_ATTEMPT;
	frame.attempt = &attempt;
	send_frame(fd, &frame);
}

/* Asserts that the connection was closed and counted, that no attempt arrived
 * and that the daemon still works with its peers. */
static void expect_refused(int fd, const char *counter, int64_t before)
{
	GString *answer = g_string_new(NULL);
	struct rig_answer *call;

	g_assert_true(raw_read_until_close(fd, answer, CLOSE_MS));
	close(fd);
	g_string_free(answer, TRUE);
	g_assert_cmpint(cluster_counter(&cluster, 0, counter), ==, before + 1);
	g_assert_cmpint(cluster_counter(&cluster, 0, "owner_attempts"), ==, 0);
	call = cluster_call(&cluster, 1, "GET", "/", "after", NULL, 5000);
	g_assert_cmpstr(cluster_outcome(call), ==, "run");
	rig_answer_free(call);
}

static void test_peer_garbage(void)
{
	static const char *const garbage[] = {
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"\001\002\003\004 and more of it",
	};
	const uint8_t empty_frame[] = {0, 0, 0, 0};
	const uint8_t bad_frame[] = {0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff};

	for (size_t i = 0; i < 4; i++) {
		int64_t before = cluster_counter(&cluster, 0, "peer_bad_frames");
		int fd = raw_connect(cluster.daemons[0]->peer_port);

		if (i < 2)
			raw_send_text(fd, garbage[i]);
		else
			raw_send(fd, i == 2 ? empty_frame : bad_frame,
				 i == 2 ? sizeof(empty_frame) :
					  sizeof(bad_frame));
		expect_refused(fd, "peer_bad_frames", before);
	}
}

/* During a rollout two releases run. A daemon with another protocol version is
 * refused in the handshake, before it gets any caller's request. */
static void test_peer_version(void)
{
	int64_t before = cluster_counter(&cluster, 0, "peer_handshakes_failed");
	int fd = raw_connect(cluster.daemons[0]->peer_port);

	send_hello(fd, PROTOCOL_VERSION + 1, false);
	send_attempt(fd);
	expect_refused(fd, "peer_handshakes_failed", before);
}

static void test_peer_without_greeting(void)
{
	int64_t before = cluster_counter(&cluster, 0, "peer_handshakes_failed");
	int fd = raw_connect(cluster.daemons[0]->peer_port);

	send_attempt(fd);
	expect_refused(fd, "peer_handshakes_failed", before);
}

static void test_peer_wrong_proof(void)
{
	int64_t before = cluster_counter(&cluster, 0, "peer_handshakes_failed");
	int fd = raw_connect(cluster.daemons[0]->peer_port);

	send_hello(fd, PROTOCOL_VERSION, false);
	send_hello(fd, PROTOCOL_VERSION, true);
	send_attempt(fd);
	expect_refused(fd, "peer_handshakes_failed", before);
}

static void test_peer_silent(void)
{
	GString *answer = g_string_new(NULL);
	int fd = raw_connect(cluster.daemons[0]->peer_port);

	g_assert_true(raw_read_until_close(fd, answer, CLOSE_MS));
	g_assert_cmpuint(answer->len, ==, 0);
	close(fd);
	g_string_free(answer, TRUE);
}

/* A daemon with another key is not accepted as a member through gossip
 * either. */
static void test_daemon_with_another_key(void)
{
	const struct settings settings = {
		.host = "stranger",
		.admin_address = "127.0.0.1",
		.key_file = rig_write_file(cluster.rig, "other.key",
					   "another key for tests"),
	};
	struct rig_process *stranger = rig_start_daemon(
		cluster.rig, "stranger", write_settings(&settings));
	char *hosts;

	rig_sleep_ms(1500);
	hosts = rig_http_ok("GET", cluster.daemons[0]->admin_port, "/v1/hosts",
			    NULL);
	g_assert_nonnull(strstr(hosts, "\"d1\""));
	g_assert_null(strstr(hosts, "stranger"));
	g_free(hosts);
	rig_kill(stranger);
}

int main(int argc, char **argv)
{
	struct cluster_options options = {.count = 2};
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	/* d0 drains, so all calls run on d1 and any attempt at d0 is an
	 * error. */
	g_free(rig_http_ok("POST", cluster.daemons[0]->admin_port,
			   "/v1/upstream/drain", ""));
	cluster_wait_up(&cluster, 1, 5000);
	start_guarded();
	g_test_add_func("/ports/admin/open", test_open_admin_does_not_start);
	g_test_add_func("/ports/admin/token", test_admin_token);
	g_test_add_func("/ports/admin/oversize", test_admin_oversize_body);
	g_test_add_func("/ports/caller/too-many", test_too_many_callers);
	g_test_add_func("/ports/peer/garbage", test_peer_garbage);
	g_test_add_func("/ports/peer/version", test_peer_version);
	g_test_add_func("/ports/peer/no-greeting", test_peer_without_greeting);
	g_test_add_func("/ports/peer/wrong-proof", test_peer_wrong_proof);
	g_test_add_func("/ports/peer/silent", test_peer_silent);
	g_test_add_func("/ports/peer/another-key", test_daemon_with_another_key);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
