/* Pipelining: callers send further requests before the first is answered. */
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "pair.h"
#include "raw.h"

#define WAIT_MS 10000
#define CALLS 8
#define SLOTS 16
#define TARGET_MS 300
/* The target of the rule "aimed" (300 ms) plus a margin for a busy machine. The
 * deadline of the rule is 8 s. */
#define TARGET_REFUSAL_MAX_US (2000 * 1000)

static const char config[] =
	"{\"namespace\": \"t\", \"services\": {\"s\": {\n"
	"  \"path_prefixes\": [\"/s\", \"/bytes\"], \"group\": \"s\",\n"
	"  \"rules\": [\n"
	"   {\"name\": \"short\", \"methods\": [\"GET\"],\n"
	"    \"path_prefix\": \"/s/short\", \"idempotent\": true,\n"
	"    \"deadline_ms\": 300},\n"
	"   {\"name\": \"aimed\", \"methods\": [\"GET\"],\n"
	"    \"path_prefix\": \"/s/aimed\", \"idempotent\": true,\n"
	"    \"deadline_ms\": 8000, \"target_ms\": 300},\n"
	"   {\"name\": \"get\", \"methods\": [\"GET\", \"HEAD\"],\n"
	"    \"idempotent\": true, \"deadline_ms\": 10000},\n"
	"   {\"name\": \"post\", \"deadline_ms\": 10000}]}}}\n";

static struct pair pair = {.wait_ms = WAIT_MS};

static void add_gets(GString *text, const char *path, const char *prefix,
		     int from, int to)
{
	for (int i = from; i < to; i++) {
		char *id = g_strdup_printf("%s%d", prefix, i);

		pair_add_request(text, "GET", path, id);
		g_free(id);
	}
}

static void send_and_free(int fd, GString *text)
{
	raw_send_text(fd, text->str);
	g_string_free(text, TRUE);
}

/* Asserts that the answers contain the request ids in the order of the
 * requests. */
static void expect_order(const GString *answers, const char *prefix, int count)
{
	const char *at = answers->str;

	for (int i = 0; i < count; i++) {
		char *id = g_strdup_printf("\"%s%d\"", prefix, i);

		at = strstr(at, id);
		if (!at)
			g_error("%s is missing or out of order", id);
		g_free(id);
	}
}

/* Sends one GET that takes factor times as long and waits until it has started.
 * Later requests take the usual time. RETURN VALUE: the connection. */
static int start_slow_request(const char *factor, const char *path, const char *id)
{
	int64_t started = pair_upstream_count(&pair, "started");
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);

	pair_set_upstream(&pair, factor);
	pair_add_request(text, "GET", path, id);
	send_and_free(fd, text);
	pair_wait_for(&pair, pair_upstream_count, "started", started + 1);
	pair_set_upstream(&pair, "{\"factor\": 1}");
	return fd;
}

/*
 * A caller sends eight GETs at once on one connection. If the daemon ran them
 * one after the other, the last would wait for the seven others.
 */
static void test_pipelined_requests_run_concurrently(void)
{
	int64_t started = pair_upstream_count(&pair, "started");
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);

	pair_set_upstream(&pair, "{\"freeze\": true}");
	add_gets(text, "/s/a", "at-once-", 0, CALLS);
	send_and_free(fd, text);
	pair_wait_for(&pair, pair_upstream_count, "started", started + CALLS);
	pair_set_upstream(&pair, "{\"freeze\": false}");
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"at-once-",
					   CALLS, WAIT_MS));
	expect_order(answers, "at-once-", CALLS);
	close(fd);
	g_string_free(answers, TRUE);
}

/* The first request is the slowest. The answers to the others are ready before
 * its own and wait for their turn. */
static void test_first_is_slowest(void)
{
	int64_t finished = pair_upstream_count(&pair, "finished");
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = start_slow_request("{\"factor\": 400}", "/s/a", "slow-0");

	add_gets(text, "/s/a", "slow-", 1, CALLS);
	send_and_free(fd, text);
	pair_wait_for(&pair, pair_upstream_count, "finished",
		      finished + CALLS - 1);
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"slow-",
					   CALLS, WAIT_MS));
	expect_order(answers, "slow-", CALLS);
	close(fd);
	g_string_free(answers, TRUE);
}

/*
 * The first request exceeds its deadline of 300 ms. The daemon answers it with
 * an error then and goes on with the later answers on the same connection.
 */
static void test_first_times_out(void)
{
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = start_slow_request("{\"factor\": 5000}", "/s/short", "late-0");

	add_gets(text, "/s/a", "late-", 1, 4);
	send_and_free(fd, text);
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"late-", 3,
					   WAIT_MS));
	g_assert_true(g_str_has_prefix(answers->str, "HTTP/1.1 504") ||
		      g_str_has_prefix(answers->str, "HTTP/1.1 503"));
	g_assert_cmpuint(raw_count(answers->str, "HTTP/1.1 200"), ==, 3);
	close(fd);
	g_string_free(answers, TRUE);
}

/* A request in the middle matches no service. Its refusal keeps its place in
 * the order of answers. */
static void test_refusal_in_the_middle(void)
{
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);
	const char *refusal;

	add_gets(text, "/s/a", "mid-", 0, 1);
	pair_add_request(text, "GET", "/nowhere", "mid-none");
	add_gets(text, "/s/a", "mid-", 1, 2);
	send_and_free(fd, text);
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"mid-1\"", 1,
					   WAIT_MS));
	refusal = strstr(answers->str, "HTTP/1.1 404");
	g_assert_nonnull(refusal);
	g_assert_true(strstr(answers->str, "\"mid-0\"") < refusal);
	g_assert_true(refusal < strstr(answers->str, "\"mid-1\""));
	close(fd);
	g_string_free(answers, TRUE);
}

/* The caller closes its connection while eight GETs run. The daemon has to
 * cancel them, since each would hold a slot for ten seconds. */
static void test_caller_disconnects(void)
{
	int64_t gone = pair_entry_count(&pair, "caller_gone");
	int64_t started = pair_upstream_count(&pair, "started");
	int64_t cancelled = pair_upstream_count(&pair, "cancelled_running");
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);

	pair_set_upstream(&pair, "{\"factor\": 5000}");
	add_gets(text, "/s/a", "gone-", 0, CALLS);
	send_and_free(fd, text);
	pair_wait_for(&pair, pair_upstream_count, "started", started + CALLS);
	close(fd);
	pair_wait_for(&pair, pair_entry_count, "caller_gone", gone + CALLS);
	pair_wait_for(&pair, pair_upstream_count, "cancelled_running",
		      cancelled + CALLS);
	pair_set_upstream(&pair, "{\"factor\": 1}");
}

/*
 * A POST follows a GET on one connection, which breaks before either is
 * answered. The caller retries the POST, as a request behind an unanswered one
 * counts as not run. If the daemon had started it early, it would run twice.
 */
static void test_post_behind_unanswered_get_runs_once(void)
{
	int64_t waited = pair_entry_count(&pair, "caller_waited");
	int64_t started = pair_upstream_count(&pair, "started");
	struct rig_answer *answer;
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);

	pair_set_upstream(&pair, "{\"factor\": 5000}");
	pair_add_request(text, "GET", "/s/a", "before-booking");
	pair_add_request(text, "POST", "/s/book", "booking");
	send_and_free(fd, text);
	pair_wait_for(&pair, pair_upstream_count, "started", started + 1);
	g_assert_cmpint(pair_entry_count(&pair, "caller_waited"), ==, waited + 1);
	close(fd);
	pair_set_upstream(&pair, "{\"factor\": 1}");
	answer = cluster_call(&pair.cluster, 0, "POST", "/s/book", "booking",
			      NULL, WAIT_MS);
	g_assert_cmpstr(cluster_outcome(answer), ==, "run");
	g_assert_cmpint(cluster_runs(&pair.cluster, "booking"), ==, 1);
	rig_answer_free(answer);
}

/* A POST behind a GET runs once the GET is answered, on the same connection. */
static void test_post_runs_after_the_get(void)
{
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);

	add_gets(text, "/s/a", "then-", 0, 1);
	pair_add_request(text, "POST", "/s/book", "then-1");
	add_gets(text, "/s/a", "then-", 2, 3);
	send_and_free(fd, text);
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"then-", 3,
					   WAIT_MS));
	expect_order(answers, "then-", 3);
	g_assert_cmpint(cluster_runs(&pair.cluster, "then-1"), ==, 1);
	close(fd);
	g_string_free(answers, TRUE);
}

/*
 * Large answers wait behind a slow one. The daemon stops reading from their
 * upstreams until it is their turn, and each answer then arrives complete.
 */
static void test_large_answers_wait(void)
{
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = start_slow_request("{\"factor\": 400}", "/s/a", "large-0");

	add_gets(text, "/bytes/1000000", "x", 1, CALLS);
	add_gets(text, "/s/a", "large-", 1, 2);
	send_and_free(fd, text);
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"large-1\"",
					   1, WAIT_MS));
	g_assert_cmpuint(raw_count(answers->str, "HTTP/1.1 200"), ==, CALLS + 1);
	g_assert_cmpuint(raw_count(answers->str, "Content-Length: 1000000"), ==,
			 CALLS - 1);
	g_assert_cmpuint(answers->len, >, (CALLS - 1) * 1000000);
	close(fd);
	g_string_free(answers, TRUE);
}

static void test_bytes_one_at_a_time(void)
{
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);

	add_gets(text, "/s/a", "byte-", 0, 3);
	for (size_t i = 0; i < text->len; i++)
		raw_send(fd, text->str + i, 1);
	g_string_free(text, TRUE);
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"byte-", 3,
					   WAIT_MS));
	expect_order(answers, "byte-", 3);
	close(fd);
	g_string_free(answers, TRUE);
}

/* Occupies all slots of the upstream until its freeze is lifted. */
static void occupy_all_slots(int fds[SLOTS / CALLS])
{
	int64_t started = pair_upstream_count(&pair, "started");

	pair_set_upstream(&pair, "{\"freeze\": true}");
	for (int i = 0; i < SLOTS / CALLS; i++) {
		GString *text = g_string_new(NULL);

		fds[i] = pair_connect(&pair);
		add_gets(text, "/s/a", "hog-", i * CALLS, (i + 1) * CALLS);
		send_and_free(fds[i], text);
	}
	pair_wait_for(&pair, pair_upstream_count, "started", started + SLOTS);
}

static void send_request_with_target(int fd, const char *id)
{
	GString *text = g_string_new(NULL);

	pair_add_request(text, "GET", "/s/aimed", id);
	send_and_free(fd, text);
}

/*
 * All slots are occupied. A caller sends one GET and then another on the same
 * connection. If the first waited for a slot until its deadline, because it was
 * alone when it arrived, its answer would come too late to be useful, and it
 * would block the second answer although that is ready. Both must be refused
 * once the target latency has passed.
 */
static void test_first_waits_for_its_target(void)
{
	GString *answers = g_string_new(NULL);
	int fds[SLOTS / CALLS];
	int64_t began;
	int fd;

	occupy_all_slots(fds);
	fd = pair_connect(&pair);
	began = g_get_monotonic_time();
	send_request_with_target(fd, "aimed-0");
	rig_sleep_ms(50);
	send_request_with_target(fd, "aimed-1");
	g_assert_true(
		raw_read_until_found(fd, answers, "HTTP/1.1 503", 2, WAIT_MS));
	g_assert_cmpint(g_get_monotonic_time() - began, <, TARGET_REFUSAL_MAX_US);
	g_assert_cmpuint(raw_count(answers->str, "\r\nRetry-After: "), ==, 2);
	pair_set_upstream(&pair, "{\"freeze\": false}");
	g_assert_cmpint(cluster_runs(&pair.cluster, "aimed-0"), ==, 0);
	for (int i = 0; i < SLOTS / CALLS; i++)
		close(fds[i]);
	close(fd);
	g_string_free(answers, TRUE);
}

/* A request with no other behind it blocks no answer. It waits for a slot
 * beyond its target, since a late answer is of more use to its caller than
 * none. */
static void test_single_request_waits_past_target(void)
{
	GString *answers = g_string_new(NULL);
	int fds[SLOTS / CALLS];
	int fd;

	occupy_all_slots(fds);
	fd = pair_connect(&pair);
	send_request_with_target(fd, "alone-0");
	rig_sleep_ms(2 * TARGET_MS);
	pair_set_upstream(&pair, "{\"freeze\": false}");
	g_assert_true(raw_read_until_found(fd, answers, "{\"id\":\"alone-0\"",
					   1, WAIT_MS));
	for (int i = 0; i < SLOTS / CALLS; i++)
		close(fds[i]);
	close(fd);
	g_string_free(answers, TRUE);
}

/*
 * The daemon is stopped while eight GETs are in flight. As all of them have
 * started, all are answered, and only the last answer closes the connection.
 */
static void test_stop_with_requests_in_flight(void)
{
	int64_t started = pair_upstream_count(&pair, "started");
	GString *answers = g_string_new(NULL);
	GString *text = g_string_new(NULL);
	int fd = pair_connect(&pair);

	pair_set_upstream(&pair, "{\"freeze\": true}");
	add_gets(text, "/s/a", "stop-", 0, CALLS);
	send_and_free(fd, text);
	pair_wait_for(&pair, pair_upstream_count, "started", started + CALLS);
	rig_signal(pair.cluster.daemons[0], SIGHUP);
	rig_signal(pair.cluster.daemons[0], SIGTERM);
	rig_sleep_ms(300);
	pair_set_upstream(&pair, "{\"freeze\": false}");
	g_assert_true(raw_read_until_close(fd, answers, WAIT_MS));
	g_assert_cmpuint(raw_count(answers->str, "HTTP/1.1 200"), ==, CALLS);
	expect_order(answers, "stop-", CALLS);
	g_assert_cmpuint(raw_count(answers->str, "Connection: close"), ==, 1);
	close(fd);
	g_string_free(answers, TRUE);
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	pair_start(&pair, config, G_STRINGIFY(SLOTS));
	g_test_add_func("/ahead/concurrent",
			test_pipelined_requests_run_concurrently);
	g_test_add_func("/ahead/first-slowest", test_first_is_slowest);
	g_test_add_func("/ahead/first-times-out", test_first_times_out);
	g_test_add_func("/ahead/refusal", test_refusal_in_the_middle);
	g_test_add_func("/ahead/disconnect", test_caller_disconnects);
	g_test_add_func("/ahead/post-once",
			test_post_behind_unanswered_get_runs_once);
	g_test_add_func("/ahead/post-follows", test_post_runs_after_the_get);
	g_test_add_func("/ahead/large", test_large_answers_wait);
	g_test_add_func("/ahead/bytes", test_bytes_one_at_a_time);
	g_test_add_func("/ahead/first-waits", test_first_waits_for_its_target);
	g_test_add_func("/ahead/single", test_single_request_waits_past_target);
	g_test_add_func("/ahead/stop", test_stop_with_requests_in_flight);
	status = g_test_run();
	cluster_stop(&pair.cluster);
	return status;
}
