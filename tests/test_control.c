#include <ev.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "common/http_client.h"
#include "common/log.h"
#include "platform/control.h"

#define REPORT(service, address, state, rest)                                 \
	"{\"service\":" service ",\"address\":" address                       \
	",\"zone\":\"surco\",\"version\":\"v1\",\"slots\":9,\"state\":" state \
	",\"coldRemainingMs\":0,\"sequence\":4" rest "}"
#define GOOD REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"ready\"", "")

static void test_report_is_read(void)
{
	struct json_object *root;
	struct report report;

	g_assert_null(control_read_report(
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"draining\"",
		       ",\"born\":1700000000000,\"more\":[1]"),
		"i-1", &report, &root));
	g_assert_cmpstr(report.instance, ==, "i-1");
	g_assert_cmpstr(report.group, ==, "desk");
	g_assert_cmpstr(report.address, ==, "10.1.0.9");
	g_assert_cmpuint(report.port, ==, 8080);
	g_assert_cmpuint(report.slots, ==, 9);
	g_assert_cmpuint(report.sequence, ==, 4);
	g_assert_cmpint(report.born_ms, ==, 1700000000000);
	g_assert_true(report.is_draining);
	json_object_put(root);
}

/*
 * Guards against an upstream that is used because of an invalid report: missing
 * fields, fields of another type, an unknown state, or bytes that are not JSON.
 */
static void test_invalid_reports_are_refused(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"7",
		"{}",
		"\xff\xfe{",
		REPORT("7", "\"10.1.0.9:8080\"", "\"ready\"", ""),
		REPORT("\"\"", "\"10.1.0.9:8080\"", "\"ready\"", ""),
		REPORT("\"desk\"", "\"10.1.0.9\"", "\"ready\"", ""),
		REPORT("\"desk\"", "\"name:8080\"", "\"ready\"", ""),
		REPORT("\"desk\"", "\"10.1.0.9:0\"", "\"ready\"", ""),
		REPORT("\"desk\"", "\"10.1.0.9:99999\"", "\"ready\"", ""),
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"asleep\"", ""),
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "true", ""),
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"ready\"",
		       ",\"sequence\":\"4\""),
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"ready\"",
		       ",\"slots\":-1"),
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"ready\"",
		       ",\"born\":\"soon\""),
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"ready\"",
		       ",\"born\":1.5"),
		REPORT("\"desk\"", "\"10.1.0.9:8080\"", "\"ready\"",
		       ",\"coldRemainingMs\":null"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct json_object *root;
		struct report report;

		if (!control_read_report(bad[i], "i-1", &report, &root))
			g_error("accepted: %s", bad[i]);
		json_object_put(root);
	}
}

static void test_random_corruption_is_survived(void)
{
	for (int i = 0; i < 20000; i++) {
		char text[] = GOOD;
		struct json_object *root;
		struct report report;

		for (int flips = g_test_rand_int_range(1, 6); flips > 0; flips--)
			text[g_test_rand_int_range(0, sizeof(text) - 1)] =
				(char)g_test_rand_int_range(1, 256);
		control_read_report(text, "i-1", &report, &root);
		json_object_put(root);
	}
}

struct fixture {
	struct ev_loop *loop;
	struct http_client *http;
	struct control *control;
	struct control_ops ops;
	bool ready;
	enum report_verdict verdict;
	unsigned int reports;
	GString *deregistered;
	long status;
};

static bool is_ready(void *data)
{
	return ((struct fixture *)data)->ready;
}

static enum report_verdict take_report(const struct report *report, void *data)
{
	struct fixture *f = data;

	g_assert_cmpstr(report->instance, ==, "i-1");
	f->reports++;
	return f->verdict;
}

static void take_deregistration(const char *instance, void *data)
{
	g_string_append(((struct fixture *)data)->deregistered, instance);
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct fixture *f = data;

	f->status = answer->result == CURLE_OK ? answer->status : -1;
	ev_break(f->loop, EVBREAK_ALL);
}

static long ask(struct fixture *f, uint16_t port, const char *method,
		const char *path, const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	struct http_call call = {
		.method = method,
		.url = url,
		.body = body,
		.size = body ? strlen(body) : 0,
	};

	http_client_call(f->http, &call, handle_answer, f);
	ev_run(f->loop, 0);
	g_free(url);
	return f->status;
}

static void set_up(struct fixture *f, gconstpointer data)
{
	struct settings_address any = {.address = (char *)"127.0.0.1"};

	(void)data;
	f->loop = ev_loop_new(0);
	f->http = http_client_create(f->loop);
	f->deregistered = g_string_new(NULL);
	f->ops = (struct control_ops){is_ready, take_report,
				      take_deregistration, f};
	f->control = control_create(f->loop, &any, &any, &f->ops);
	g_assert_nonnull(f->control);
}

static void tear_down(struct fixture *f, gconstpointer data)
{
	(void)data;
	http_client_destroy(f->http);
	control_destroy(f->control);
	g_string_free(f->deregistered, TRUE);
	ev_loop_destroy(f->loop);
}

static void test_readiness(struct fixture *f, gconstpointer data)
{
	uint16_t port = control_ready_port(f->control);

	(void)data;
	g_assert_cmpint(ask(f, port, "GET", "/comfreydock/ready", NULL), ==, 503);
	f->ready = true;
	g_assert_cmpint(ask(f, port, "GET", "/comfreydock/ready", NULL), ==, 200);
	g_assert_cmpint(ask(f, port, "GET", "/", NULL), ==, 404);
}

/* A late report is acknowledged like any other, because the upstream would only
 * send it again even later. A report from a foreign instance is refused. */
static void test_reports_and_deregistration(struct fixture *f, gconstpointer data)
{
	static const char path[] = "/comfreydock/instances/i-1/heartbeat";
	uint16_t port = control_reports_port(f->control);

	(void)data;
	f->verdict = REPORT_NEWS;
	g_assert_cmpint(ask(f, port, "POST", path, GOOD), ==, 200);
	f->verdict = REPORT_LATE;
	g_assert_cmpint(ask(f, port, "POST", path, GOOD), ==, 200);
	f->verdict = REPORT_UNCERTAIN;
	g_assert_cmpint(ask(f, port, "POST", path, GOOD), ==, 503);
	f->verdict = REPORT_FOREIGN;
	g_assert_cmpint(ask(f, port, "POST", path, GOOD), ==, 400);
	g_assert_cmpint(ask(f, port, "POST", path, "{}"), ==, 400);
	g_assert_cmpuint(f->reports, ==, 4);
	g_assert_cmpint(ask(f, port, "POST",
			    "/comfreydock/instances/i-1/deregister", ""),
			==, 200);
	g_assert_cmpstr(f->deregistered->str, ==, "i-1");
	g_assert_cmpint(
		ask(f, port, "POST", "/comfreydock/instances//heartbeat", GOOD),
		==, 404);
	g_assert_cmpint(ask(f, port, "POST", "/comfreydock/other", GOOD), ==,
			404);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/control/read", test_report_is_read);
	g_test_add_func("/control/invalid", test_invalid_reports_are_refused);
	g_test_add_func("/control/corruption",
			test_random_corruption_is_survived);
	g_test_add("/control/ready", struct fixture, NULL, set_up,
		   test_readiness, tear_down);
	g_test_add("/control/reports", struct fixture, NULL, set_up,
		   test_reports_and_deregistration, tear_down);
	return g_test_run();
}
