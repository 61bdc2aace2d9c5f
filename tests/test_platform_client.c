#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/platform/platform.h"
#include "common/counters.h"
#include "common/http_client.h"
#include "common/log.h"
#include "common/socket.h"
#include "rig.h"

/* A version of the store in its first era, before any restore. */
#define FIRST_ERA_VERSION(n) \
	((uint64_t)1 << PLATFORM_VERSION_BITS | (uint64_t)(n))

struct fixture {
	struct rig *rig;
	struct rig_process *standin;
	struct ev_loop *loop;
	struct http_client *http;
	struct platform *platform;
	enum platform_status status;
	unsigned int answers;
	uint64_t version;
	uint64_t store_version;
	size_t rows;
	char *text;
};

static void set_up(struct fixture *f, gconstpointer data)
{
	char *url;

	(void)data;
	f->rig = rig_create();
	f->standin = rig_start_standin(
		f->rig, "standin/platform/standin-platform", NULL);
	url = g_strdup_printf("http://127.0.0.1:%u", f->standin->port);
	f->loop = ev_loop_new(0);
	f->http = http_client_create(f->loop);
	f->platform = platform_create(f->http, url);
	g_free(url);
}

static void tear_down(struct fixture *f, gconstpointer data)
{
	(void)data;
	platform_destroy(f->platform);
	http_client_destroy(f->http);
	ev_loop_destroy(f->loop);
	rig_destroy(f->rig);
	g_free(f->text);
}

static void handle_answer(const struct platform_answer *answer, void *data)
{
	struct fixture *f = data;

	f->answers++;
	f->status = answer->status;
	f->rows = answer->row_count;
	f->store_version = answer->version;
	f->version = answer->row_count ? answer->rows[0].version : 0;
	g_free(f->text);
	f->text = answer->row_count ? g_strdup(answer->rows[0].value) :
				      g_strndup(answer->body, answer->size);
	ev_break(f->loop, EVBREAK_ALL);
}

static enum platform_status wait_answer(struct fixture *f)
{
	ev_run(f->loop, 0);
	return f->status;
}

static enum platform_status put(struct fixture *f, const char *key,
				int64_t if_version, const char *value)
{
	struct platform_op op = {
		.kind = PLATFORM_PUT,
		.key = key,
		.if_version = if_version,
		.value = value,
	};

	platform_transact(f->platform, &op, 1, handle_answer, f);
	return wait_answer(f);
}

static enum platform_status get(struct fixture *f, const char *key)
{
	platform_get(f->platform, key, handle_answer, f);
	return wait_answer(f);
}

static void inject_fault(struct fixture *f, const char *body)
{
	g_free(rig_http_ok("POST", f->standin->port, "/standin/fault", body));
}

static void test_rows_and_objects(struct fixture *f, gconstpointer data)
{
	struct platform *platform = f->platform;

	(void)data;
	g_assert_cmpint(get(f, "ns/a b"), ==, PLATFORM_NOT_FOUND);
	g_assert_cmpint(put(f, "ns/a b", PLATFORM_ABSENT, "{\"x\":1}"), ==,
			PLATFORM_OK);
	g_assert_cmpuint(f->store_version, ==, FIRST_ERA_VERSION(1));
	g_assert_cmpint(put(f, "ns/a b", PLATFORM_ABSENT, "2"), ==,
			PLATFORM_CONFLICT);
	g_assert_cmpuint(f->version, ==, FIRST_ERA_VERSION(1));
	g_assert_cmpint(get(f, "ns/a b"), ==, PLATFORM_OK);
	g_assert_cmpstr(f->text, ==, "{\"x\":1}");
	put(f, "ns/c", PLATFORM_ANY_VERSION, "3");
	platform_list(platform, "ns", NULL, 0, handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpuint(f->rows, ==, 2);
	platform_list(platform, "ns", "a b", 0, handle_answer, f);
	wait_answer(f);
	g_assert_cmpuint(f->rows, ==, 1);
	platform_put_object(platform, "o/1", "body", 4, handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	platform_get_object(platform, "o/1", handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpstr(f->text, ==, "body");
	platform_get_object(platform, "o/2", handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_NOT_FOUND);
}

/*
 * Guards against a write that is applied twice. The table service applies a write
 * and loses the answer on a reused connection. An HTTP library may resend the
 * request when such a connection closes, and an operator's change would then
 * conflict with itself.
 */
static void test_lost_answer_is_unknown_and_not_resent(struct fixture *f,
						       gconstpointer data)
{
	struct counters before = counters;
	char *stats;

	(void)data;
	put(f, "t/a", PLATFORM_ABSENT, "1");
	inject_fault(f, "{\"lose_next\":1}");
	g_assert_cmpint(put(f, "t/a", PLATFORM_ANY_VERSION, "2"), ==,
			PLATFORM_UNKNOWN);
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_OK);
	g_assert_cmpuint(f->version, ==, FIRST_ERA_VERSION(2));
	g_assert_cmpuint(counters.platform_writes - before.platform_writes, ==,
			 2);
	g_assert_cmpuint(counters.platform_unknown - before.platform_unknown,
			 ==, 1);
	stats = rig_http_ok("GET", f->standin->port, "/standin/stats", NULL);
	g_assert_cmpint(rig_json_int(stats, "writes"), ==, 2);
	g_free(stats);
}

/*
 * The table service first closes connections, then its process is gone. A read
 * fails in both cases. A write certainly took no effect only in the second case,
 * where the connection is refused.
 */
static void test_outage(struct fixture *f, gconstpointer data)
{
	(void)data;
	inject_fault(f, "{\"down\":true}");
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_UNAVAILABLE);
	g_assert_false(platform_is_up(f->platform));
	g_assert_cmpint(put(f, "t/a", PLATFORM_ABSENT, "1"), ==,
			PLATFORM_UNKNOWN);
	inject_fault(f, "{\"down\":false}");
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_NOT_FOUND);
	g_assert_true(platform_is_up(f->platform));
	rig_kill(f->standin);
	g_assert_cmpint(put(f, "t/a", PLATFORM_ABSENT, "1"), ==,
			PLATFORM_UNAVAILABLE);
	g_assert_cmpstr(platform_last_error(f->platform), !=, "");
}

/* A service that hangs must delay its caller only for a bounded time. */
static void test_slow_platform(struct fixture *f, gconstpointer data)
{
	(void)data;
	inject_fault(f, "{\"slow_ms\":3000}");
	g_assert_cmpint(put(f, "t/a", PLATFORM_ABSENT, "1"), ==,
			PLATFORM_UNKNOWN);
	rig_signal(f->standin, SIGTERM);
	g_assert_cmpint(rig_wait_end(f->standin, 1000), ==, 0);
}

/* A watch must report a change immediately, and a deleted row without a value. */
static void test_watch_reports_changes(struct fixture *f, gconstpointer data)
{
	struct platform_op delete = {PLATFORM_DELETE, "t/a",
				     FIRST_ERA_VERSION(1), NULL};

	(void)data;
	put(f, "t/a", PLATFORM_ABSENT, "1");
	platform_watch(f->platform, "t", 0, 5000, handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpstr(f->text, ==, "1");
	platform_watch(f->platform, "t", f->store_version, 100, handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpuint(f->rows, ==, 0);
	platform_transact(f->platform, &delete, 1, handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	platform_watch(f->platform, "t", FIRST_ERA_VERSION(1), 5000,
		       handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpuint(f->rows, ==, 1);
	g_assert_null(f->text);
}

/* A request for changes must answer at once, also without any. */
static void test_changes_are_answered_at_once(struct fixture *f,
					      gconstpointer data)
{
	(void)data;
	put(f, "t/a", PLATFORM_ABSENT, "1");
	platform_get_changes(f->platform, "t", 0, handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpstr(f->text, ==, "1");
	platform_get_changes(f->platform, "t", f->store_version, handle_answer,
			     f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpuint(f->rows, ==, 0);
	g_assert_cmpuint(f->store_version, ==, FIRST_ERA_VERSION(1));
}

/* Guards against a second answer to a caller that has opened another watch. */
static void test_cancelled_watch_stays_unanswered(struct fixture *f,
						  gconstpointer data)
{
	struct platform_call *watch;

	(void)data;
	watch = platform_watch(f->platform, "t", 0, 5000, handle_answer, f);
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_NOT_FOUND);
	platform_cancel(watch);
	put(f, "t/a", PLATFORM_ABSENT, "1");
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_OK);
	g_assert_cmpuint(f->answers, ==, 3);
}

/* Guards against a daemon that waits for the operator's rows on a connection
 * that was lost without an error, although new ones work. */
static void test_silent_connection_delays_no_rows(struct fixture *f,
						  gconstpointer data)
{
	char *target = g_strdup_printf("127.0.0.1:%u", f->standin->port);
	struct rig_process *relay = rig_start_standin(
		f->rig, "tests/system/relay", "--target", target, NULL);
	char *url = g_strdup_printf("http://127.0.0.1:%u", relay->port);
	struct platform *platform = platform_create(f->http, url);
	enum platform_status statuses[3];

	(void)data;
	put(f, "t/a", PLATFORM_ABSENT, "1");
	platform_get(platform, "t/a", handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_free(rig_http_ok("POST", relay->control_port, "/set",
			   "{\"silence\": true}"));
	platform_get_from(platform, "t/a", 1, handle_answer, f);
	statuses[0] = wait_answer(f);
	platform_get_changes(platform, "t", 0, handle_answer, f);
	statuses[1] = wait_answer(f);
	platform_watch(platform, "t", 0, 5000, handle_answer, f);
	statuses[2] = wait_answer(f);
	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		g_assert_cmpint(statuses[i], ==, PLATFORM_OK);
	platform_destroy(platform);
	g_free(url);
	g_free(target);
}

static void restore_store(struct fixture *f, const char *body)
{
	g_free(rig_http_ok("POST", f->standin->port, "/standin/restore", body));
}

static void count_restored(void *data)
{
	unsigned int *count = data;

	(*count)++;
}

/* Guards against a watch that continues from a version before a restore. That
 * version now stands for another change or for none. */
static void test_watch_from_older_era_ends(struct fixture *f, gconstpointer data)
{
	unsigned int restored = 0;

	(void)data;
	platform_set_restore_handler(f->platform, count_restored, &restored);
	for (int i = 0; i < 3; i++)
		put(f, "t/a", PLATFORM_ANY_VERSION, "1");
	restore_store(f, "{\"transactions\": 2}");
	platform_watch(f->platform, "t", FIRST_ERA_VERSION(1), 100,
		       handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_HISTORY_GONE);
	g_assert_cmpuint(restored, ==, 1);
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_OK);
	platform_watch(f->platform, "t", f->store_version, 100, handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpuint(restored, ==, 1);
}

/* Guards against a conditional write with a version that the store has assigned
 * again after a restore. It would overwrite a value that the writer never read. */
static void test_conditions_from_older_era_fail(struct fixture *f,
						gconstpointer data)
{
	int64_t before;

	(void)data;
	put(f, "t/a", PLATFORM_ABSENT, "1");
	put(f, "t/a", PLATFORM_ANY_VERSION, "2");
	get(f, "t/a");
	before = (int64_t)f->version;
	restore_store(f, "{\"transactions\": 1}");
	put(f, "t/a", PLATFORM_ANY_VERSION, "3");
	g_assert_cmpint(put(f, "t/a", before, "4"), ==, PLATFORM_CONFLICT);
	get(f, "t/a");
	g_assert_cmpstr(f->text, ==, "3");
	g_assert_cmpint(put(f, "t/a", (int64_t)f->version, "4"), ==, PLATFORM_OK);
}

/* The store has compacted its history. A watch that continued from an older
 * version would silently miss changes. */
static void test_compacted_history_is_reported(struct fixture *f,
					       gconstpointer data)
{
	(void)data;
	put(f, "t/a", PLATFORM_ABSENT, "1");
	put(f, "t/a", PLATFORM_ANY_VERSION, "2");
	g_free(rig_http_ok("POST", f->standin->port, "/standin/compact", ""));
	platform_watch(f->platform, "t", FIRST_ERA_VERSION(1), 100,
		       handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_HISTORY_GONE);
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_OK);
	g_assert_cmpuint(f->store_version, ==, FIRST_ERA_VERSION(2));
}

/* A write that is refused because the store is full or unavailable must certainly
 * have no effect. */
static void test_refused_writes_are_not_done(struct fixture *f, gconstpointer data)
{
	(void)data;
	inject_fault(f, "{\"status\":503}");
	g_assert_cmpint(put(f, "t/a", PLATFORM_ABSENT, "1"), ==,
			PLATFORM_UNAVAILABLE);
	inject_fault(f, "{\"status\":429}");
	g_assert_cmpint(put(f, "t/a", PLATFORM_ABSENT, "1"), ==,
			PLATFORM_UNAVAILABLE);
	inject_fault(f, "{\"status\":0}");
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_NOT_FOUND);
	g_assert_cmpint(put(f, "op/a", PLATFORM_ABSENT, "1"), ==,
			PLATFORM_REJECTED);
}

/*
 * A write whose answer was lost takes effect later. It must not overwrite a value
 * that was written in the meantime, because its condition no longer holds.
 */
static void test_late_write_keeps_its_condition(struct fixture *f,
						gconstpointer data)
{
	(void)data;
	inject_fault(f, "{\"lose_next\":1,\"late_ms\":100}");
	g_assert_cmpint(put(f, "t/a", PLATFORM_ABSENT, "late"), ==,
			PLATFORM_UNKNOWN);
	g_assert_cmpint(put(f, "t/a", PLATFORM_ABSENT, "mine"), ==, PLATFORM_OK);
	platform_watch(f->platform, "t", FIRST_ERA_VERSION(1), 300,
		       handle_answer, f);
	wait_answer(f);
	g_assert_cmpint(get(f, "t/a"), ==, PLATFORM_OK);
	g_assert_cmpstr(f->text, ==, "mine");
}

static void test_destroy_drops_open_calls(struct fixture *f, gconstpointer data)
{
	(void)data;
	platform_get(f->platform, "t/a", handle_answer, f);
	platform_destroy(f->platform);
	f->platform = NULL;
	ev_run(f->loop, EVRUN_NOWAIT);
	g_assert_cmpuint(f->answers, ==, 0);
}

/* A fake store that sends an answer of one row in small parts. */
struct trickle {
	struct ev_loop *loop;
	ev_io accepting;
	ev_timer tick;
	int fd;
	GString *answer;
	size_t sent;
	size_t part;
	size_t stops_at; /* sends nothing from this offset on */
};

static void trickle_send(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct trickle *trickle = timer->data;
	size_t left =
		MIN(trickle->answer->len, trickle->stops_at) - trickle->sent;
	ssize_t size = send(trickle->fd, trickle->answer->str + trickle->sent,
			    MIN(left, trickle->part), MSG_NOSIGNAL);

	(void)events;
	trickle->sent += (size_t)MAX(size, 0);
	if (size <= 0)
		ev_timer_stop(loop, timer);
}

static void trickle_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct trickle *trickle = watcher->data;

	(void)events;
	trickle->fd = accept(watcher->fd, NULL, NULL);
	ev_timer_again(loop, &trickle->tick);
}

static void trickle_start(struct trickle *trickle, struct fixture *f,
			  size_t value_bytes, unsigned int parts)
{
	GString *body =
		g_string_new("{\"rows\":[{\"table\":\"t\",\"part\":\"\","
			     "\"key\":\"a\",\"ver\":3,\"value\":\"");
	uint16_t port = 0;
	int fd = socket_listen_udp_free("127.0.0.1", 0, &port);
	char *url = g_strdup_printf("http://127.0.0.1:%u", port);

	memset(trickle, 0, sizeof(*trickle));
	for (size_t i = 0; i < value_bytes; i++)
		g_string_append_c(body, 'A');
	g_string_append(body, "\"}],\"hasMore\":false,\"ver\":3,\"nowMs\":1}");
	trickle->answer = g_string_new(NULL);
	g_string_printf(trickle->answer,
			"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			body->len, body->str);
	trickle->part = trickle->answer->len / parts + 1;
	trickle->stops_at = SIZE_MAX;
	ev_io_init(&trickle->accepting, trickle_accept, fd, EV_READ);
	ev_timer_init(&trickle->tick, trickle_send, 0.0, 0.1);
	trickle->accepting.data = trickle->tick.data = trickle;
	trickle->loop = f->loop;
	ev_io_start(f->loop, &trickle->accepting);
	platform_destroy(f->platform);
	f->platform = platform_create(f->http, url);
	g_free(url);
	g_string_free(body, TRUE);
}

static void trickle_stop(struct trickle *trickle)
{
	ev_timer_stop(trickle->loop, &trickle->tick);
	ev_io_stop(trickle->loop, &trickle->accepting);
	close(trickle->accepting.fd);
	close(trickle->fd);
	g_string_free(trickle->answer, TRUE);
}

/*
 * A row of several MB takes seconds on a slow link. With a timeout of two seconds
 * it would never arrive: a starting host would have no configuration, and a host
 * that is behind could not catch up.
 */
static void test_large_row_may_take_seconds(struct fixture *f, gconstpointer data)
{
	struct trickle trickle;

	(void)data;
	trickle_start(&trickle, f, 40000, 30);
	platform_get(f->platform, "t/a", handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_OK);
	g_assert_cmpuint(f->rows, ==, 1);
	trickle_stop(&trickle);
}

/* The store stalls in the middle of a row. The read must fail soon enough that the
 * caller can try again. */
static void test_stalled_row_times_out(struct fixture *f, gconstpointer data)
{
	struct trickle trickle;
	gint64 began_us = g_get_monotonic_time();

	(void)data;
	trickle_start(&trickle, f, 40000, 30);
	trickle.stops_at = 10000;
	platform_get(f->platform, "t/a", handle_answer, f);
	g_assert_cmpint(wait_answer(f), ==, PLATFORM_UNAVAILABLE);
	g_assert_cmpint(g_get_monotonic_time() - began_us, <,
			10 * G_USEC_PER_SEC);
	trickle_stop(&trickle);
}

#define ADD(name, function)                                                \
	g_test_add("/platform-client/" name, struct fixture, NULL, set_up, \
		   function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	ADD("rows-and-objects", test_rows_and_objects);
	ADD("lost-answer", test_lost_answer_is_unknown_and_not_resent);
	ADD("outage", test_outage);
	ADD("slow", test_slow_platform);
	ADD("large-row", test_large_row_may_take_seconds);
	ADD("stalled-row", test_stalled_row_times_out);
	ADD("watch", test_watch_reports_changes);
	ADD("changes", test_changes_are_answered_at_once);
	ADD("cancelled-watch", test_cancelled_watch_stays_unanswered);
	ADD("silent-connection", test_silent_connection_delays_no_rows);
	ADD("compacted-history", test_compacted_history_is_reported);
	ADD("older-era-watch", test_watch_from_older_era_ends);
	ADD("older-era-condition", test_conditions_from_older_era_fail);
	ADD("refused", test_refused_writes_are_not_done);
	ADD("late", test_late_write_keeps_its_condition);
	ADD("destroy", test_destroy_drops_open_calls);
	return g_test_run();
}
