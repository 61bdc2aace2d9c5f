#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "cluster.h"
#include "raw.h"

/*
 * Requests that crash each upstream that runs them, and requests that run while
 * upstreams crash for other reasons.
 */

#define CRASHING_PATH "/crash/report"
#define CALL_MS 3000
#define PAUSE_MS 60
#define WORK_MS 20 /* the service time of each request */
#define WAIT_UP_MS 15000
#define CRASHES_TO_HOLD 3 /* crashed upstreams after which a request is held */
#define PROPAGATION_US (3 * G_TIME_SPAN_SECOND) /* until all daemons know */
#define WATCH_US (5 * G_TIME_SPAN_SECOND) /* observed after that */
#define LATE_CRASHES_MAX 3 /* crashes allowed in that time */
#define CRASH_TIMEOUT_US (40 * G_TIME_SPAN_SECOND)

static const struct cluster_options options = {
	.count = 5,
	.service_time_us = G_STRINGIFY(WORK_MS) "000",
};
static struct cluster cluster;
static unsigned int sent;

static void call_through(unsigned int daemon, const char *path, char *outcome,
			 size_t size)
{
	char *id = g_strdup_printf("deadly-%u", ++sent);
	struct rig_answer *answer =
		cluster_call(&cluster, daemon, "GET", path, id, NULL, CALL_MS);

	g_strlcpy(outcome, cluster_outcome(answer), size);
	rig_answer_free(answer);
	g_free(id);
}

/* Sends the request through the daemons in turn and restarts crashed upstreams,
 * until so many have crashed or the time is over.
 * RETURN VALUE: the number of upstreams that crashed. */
static unsigned int call_repeatedly(const char *path, unsigned int until_ended,
				    gint64 until_us)
{
	unsigned int ended = 0;
	char outcome[32];

	while (ended < until_ended && g_get_monotonic_time() < until_us) {
		call_through(sent % cluster.count, path, outcome,
			     sizeof(outcome));
		rig_sleep_ms(PAUSE_MS);
		ended += cluster_restart_upstreams(&cluster, &options);
	}
	return ended;
}

static void assert_served_everywhere(const char *path)
{
	char outcome[32];

	for (unsigned int i = 0; i < cluster.count; i++) {
		call_through(i, path, outcome, sizeof(outcome));
		g_assert_cmpstr(outcome, ==, "run");
	}
}

static void assert_quarantined(const char *path)
{
	gint64 now = g_get_monotonic_time();
	unsigned int ended;

	ended = call_repeatedly(path, CRASHES_TO_HOLD, now + CRASH_TIMEOUT_US);
	g_assert_cmpuint(ended, >=, CRASHES_TO_HOLD);
	now = g_get_monotonic_time();
	call_repeatedly(path, UINT_MAX, now + PROPAGATION_US);
	ended = call_repeatedly(path, UINT_MAX, now + PROPAGATION_US + WATCH_US);
	g_assert_cmpuint(ended, <=, LATE_CRASHES_MAX);
}

/* Guards against entries that retry a request which crashes each upstream,
 * until no upstream is left. */
static void test_crashing_request_is_quarantined(void)
{
	char outcome[32];

	assert_quarantined(CRASHING_PATH);
	for (unsigned int i = 0; i < cluster.count; i++) {
		call_through(i, CRASHING_PATH, outcome, sizeof(outcome));
		g_assert_cmpstr(outcome, ==, "not-run");
	}
}

static void wait_all_up(void)
{
	cluster_wait_up(&cluster, cluster.count, WAIT_UP_MS);
}

static bool holds_none(void *data)
{
	unsigned int daemon = GPOINTER_TO_UINT(data);
	char *list = rig_http_ok("GET", cluster.daemons[daemon]->admin_port,
				 "/v1/quarantine", NULL);
	bool holds = strstr(list, "\"held\"") != NULL;

	g_free(list);
	return !holds;
}

static void kill_hosts(unsigned int hosts)
{
	for (unsigned int i = 0; i < hosts; i++) {
		rig_signal(cluster.daemons[i], SIGKILL);
		rig_signal(cluster.upstreams[i], SIGKILL);
	}
}

static void restart_hosts(unsigned int hosts)
{
	for (unsigned int i = 0; i < hosts; i++) {
		rig_kill(cluster.daemons[i]);
		rig_kill(cluster.upstreams[i]);
		cluster_start_daemon(&cluster, i, &options);
		cluster_start_upstream(&cluster, i, &options);
	}
	wait_all_up();
}

static bool all_hold_request(void *unused)
{
	bool all = true;

	(void)unused;
	for (unsigned int i = 0; i < cluster.count; i++)
		all &= !holds_none(GUINT_TO_POINTER(i));
	return all;
}

/* Guards against a held request that crashes upstreams again after all daemons
 * lost their state at the same time. */
static void test_quarantine_survives_loss_of_all_hosts(void)
{
	kill_hosts(cluster.count);
	restart_hosts(cluster.count);
	g_assert_true(rig_wait_until(all_hold_request, NULL, CALL_MS));
	g_assert_cmpuint(call_repeatedly(CRASHING_PATH, UINT_MAX,
					 g_get_monotonic_time() + PROPAGATION_US),
			 ==, 0);
}

/* Guards against a request that stays refused on some daemon after an operator
 * has cleared it. */
static void test_operator_clears_quarantine(void)
{
	char *list = rig_http_ok("GET", cluster.daemons[0]->admin_port,
				 "/v1/quarantine", NULL);
	const char *content = strstr(list, "\"content\":\"");
	char *path;

	g_assert_nonnull(strstr(list, "\"held\""));
	path = g_strdup_printf("/v1/quarantine/clear?content=%.16s",
			       content + strlen("\"content\":\""));
	g_free(rig_http_ok("POST", cluster.daemons[0]->admin_port, path, ""));
	for (unsigned int i = 0; i < cluster.count; i++)
		g_assert_true(rig_wait_until(holds_none, GUINT_TO_POINTER(i),
					     CALL_MS));
	g_free(path);
	g_free(list);
}

static void set_upstreams(const char *body)
{
	for (unsigned int i = 0; i < cluster.count; i++)
		cluster_set_upstream(&cluster, i, body);
}

/* Guards against a request that keeps crashing upstreams because others, which
 * answer all requests with an error, have cleared its marks. */
static void test_failed_answers_clear_no_marks(void)
{
	char outcome[32];

	set_upstreams("{\"fail_fast\": true}");
	for (unsigned int i = 0; i < cluster.count; i++)
		call_through(i, "/crash/failing", outcome, sizeof(outcome));
	set_upstreams("{\"fail_fast\": false}");
	assert_quarantined("/crash/failing");
}

/* Guards against requests that are held because an upstream drops connections
 * without having crashed. */
static void test_dropped_connections_mark_nothing(void)
{
	int64_t before = cluster_sum_counter(&cluster, "quarantine_marked");
	char outcome[32];

	set_upstreams("{\"drop_next\": 4, \"drop_runs\": true}");
	for (unsigned int i = 0; i < 2 * cluster.count; i++) {
		call_through(i % cluster.count, "/dropped", outcome,
			     sizeof(outcome));
		rig_sleep_ms(PAUSE_MS);
	}
	set_upstreams("{\"drop_next\": 0}");
	g_assert_cmpint(cluster_sum_counter(&cluster, "owner_broken"), >, 0);
	g_assert_cmpint(cluster_sum_counter(&cluster, "quarantine_marked"), ==,
			before);
	assert_served_everywhere("/dropped");
}

/* Sends one request to each daemon, so that they run at the same time, and
 * stores the cluster.count connections in fds. */
static void send_to_all(const char *path, int *fds)
{
	for (unsigned int i = 0; i < cluster.count; i++) {
		char *text = g_strdup_printf(
			"GET %s HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"
			"X-Request-Id: beside-%u\r\n\r\n",
			path, ++sent);

		fds[i] = raw_connect(cluster.daemons[i]->caller_port);
		raw_send_text(fds[i], text);
		g_free(text);
	}
}

static void close_all(const int *fds)
{
	for (unsigned int i = 0; i < cluster.count; i++)
		close(fds[i]);
}

/* Guards against a frequent request that is held because it ran on each
 * upstream at the time when another request crashed it. */
static void test_concurrent_popular_request_is_served(void)
{
	int fds[CLUSTER_MAX] = {0};
	char outcome[32];
	unsigned int ended = 0;

	while (ended < 2 * CRASHES_TO_HOLD - 1) {
		char *path = g_strdup_printf("/crash/other-%u", ended / 2);

		send_to_all("/popular", fds);
		call_through(sent % cluster.count, path, outcome,
			     sizeof(outcome));
		rig_sleep_ms(PAUSE_MS);
		close_all(fds);
		ended += cluster_restart_upstreams(&cluster, &options);
		wait_all_up();
		g_free(path);
	}
	assert_served_everywhere("/popular");
}

/* Guards against a request that is held because upstreams happened to crash for
 * other reasons while it ran. */
static void test_unrelated_crashes_hold_nothing(void)
{
	int fds[CLUSTER_MAX] = {0};

	for (unsigned int round = 0; round < CRASHES_TO_HOLD + 1; round++) {
		send_to_all("/alike", fds);
		rig_sleep_ms(WORK_MS / 4);
		rig_kill(cluster.upstreams[round]);
		rig_sleep_ms(PAUSE_MS);
		close_all(fds);
		cluster_restart_upstreams(&cluster, &options);
		wait_all_up();
	}
	assert_served_everywhere("/alike");
}

/* Guards against a request that is held because several hosts lost power at the
 * same time while it ran there. */
static void test_host_failures_hold_nothing(void)
{
	int fds[CLUSTER_MAX] = {0};

	send_to_all("/dark", fds);
	rig_sleep_ms(WORK_MS / 4);
	kill_hosts(CRASHES_TO_HOLD);
	close_all(fds);
	restart_hosts(CRASHES_TO_HOLD);
	assert_served_everywhere("/dark");
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	g_test_add_func("/deadly/quarantined",
			test_crashing_request_is_quarantined);
	g_test_add_func("/deadly/all-hosts-killed",
			test_quarantine_survives_loss_of_all_hosts);
	g_test_add_func("/deadly/cleared", test_operator_clears_quarantine);
	g_test_add_func("/deadly/failing", test_failed_answers_clear_no_marks);
	g_test_add_func("/deadly/dropped", test_dropped_connections_mark_nothing);
	g_test_add_func("/deadly/concurrent",
			test_concurrent_popular_request_is_served);
	g_test_add_func("/deadly/unrelated-crashes",
			test_unrelated_crashes_hold_nothing);
	g_test_add_func("/deadly/host-failures", test_host_failures_hold_nothing);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
