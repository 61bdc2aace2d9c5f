#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/config/model.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/operator/operator.h"
#include "common/clock.h"
#include "common/jsonc.h"
#include "operator_fixture.h"
#include "sample_config.h"

static void offer_sample(struct operator_fixture *f, uint64_t version)
{
	char *text = sample_config_read();
	char sha256[65];

	config_body_sha256(text, strlen(text), sha256);
	g_assert_cmpint(config_store_offer(f->daemon.config, "spurningalina",
					   version, sha256, text, strlen(text)),
			==, CONFIG_OFFER_ADOPTED);
	g_free(text);
}

/* Guards against metrics that don't show which configuration a daemon holds,
 * how old it is and whether the retry budget of a service is used up. An
 * operator needs all three to handle an alert. */
static void test_metrics_show_the_configuration(struct operator_fixture *f,
						gconstpointer unused)
{
	(void)unused;
	config_store_note_head(f->daemon.config, 0, NULL);
	operator_fixture_call(f, "GET", "/metrics", NULL, 200,
			      "comfreydock_config_behind 0\n");
	operator_fixture_call(f, "GET", "/metrics", NULL, 200,
			      "\ncomfreydock_config_told_age_us ");
	offer_sample(f, 3);
	operator_fixture_call(
		f, "GET", "/metrics", NULL, 200,
		"comfreydock_config_version{namespace=\"spurningalina\"} 3\n");
	operator_fixture_call(f, "GET", "/metrics", NULL, 200,
			      "\ncomfreydock_config_age_us ");
}

/*
 * Guards against a false conflict. One namespace gave up a host name and
 * another takes it, but this daemon has not received the first change yet. It
 * must not tell the operator that the name still belongs to the first
 * namespace.
 */
static void test_conflict_with_stale_configuration(struct operator_fixture *f,
						   gconstpointer unused)
{
	const char *path = "/v1/config/check";
	char *sample = sample_config_read();
	GString *other = g_string_new(sample);

	(void)unused;
	offer_sample(f, 3);
	g_string_replace(other, "\"spurningalina\"", "\"other\"", 0);
	operator_fixture_call(f, "POST", path, other->str, 422,
			      "belongs to service");
	config_store_note_head(f->daemon.config, 9, "esja-02");
	operator_fixture_call(f, "POST", path, other->str, 503,
			      "may be old (head 0, known 9)");
	operator_fixture_call(f, "POST", path, "{", 422,
			      "\"result\":\"refused\"");
	operator_fixture_call(f, "POST", path, sample, 200,
			      "\"result\":\"passes\"");
	g_string_free(other, TRUE);
	g_free(sample);
}

static void test_paths(struct operator_fixture *f, gconstpointer unused)
{
	(void)unused;
	timeline_add(&f->daemon.timeline, "t1", EV_DAEMON_STARTED, "x");
	operator_fixture_call(f, "GET", "/v1/status", NULL, 200,
			      "\"host\":\"esja-01\"");
	operator_fixture_call(f, "GET", "/v1/hosts", NULL, 200,
			      "\"host\":\"esja-02\"");
	operator_fixture_call(f, "GET", "/v1/config", NULL, 200,
			      "\"namespaces\":[]");
	operator_fixture_call(f, "GET", "/v1/timeline?trace=t1", NULL, 200,
			      "daemon.started");
	operator_fixture_call(f, "GET", "/metrics", NULL, 200,
			      "comfreydock_upstream_running 0");
	operator_fixture_call(f, "GET", "/v1/upstream", NULL, 200,
			      "\"state\":\"none\"");
	operator_fixture_call(f, "GET", "/v1/quarantine", NULL, 200,
			      "\"requests\":[]");
	operator_fixture_call(f, "GET", "/v1/other", NULL, 404, "no such path");
	operator_fixture_call(f, "GET", "/v1/upstream/drain", NULL, 405,
			      "wrong method");
}

static void test_quarantine_is_cleared(struct operator_fixture *f,
				       gconstpointer data)
{
	const char *path = "/v1/quarantine/clear?content=0000000000000abc";
	int64_t now = clock_mono_us();

	(void)data;
	operator_fixture_call(f, "POST", path, "", 404,
			      "no request with this content");
	for (uint64_t crash = 1; crash <= QUARANTINE_CRASHES; crash++)
		quarantine_note_crash(f->daemon.quarantine, 0xabc, crash, now);
	operator_fixture_call(
		f, "GET", "/v1/quarantine", NULL, 200,
		"\"content\":\"0000000000000abc\",\"state\":\"held\"");
	operator_fixture_call(f, "POST", path, "", 200, "\"state\":\"cleared\"");
	g_assert_cmpuint(quarantine_held_count(f->daemon.quarantine), ==, 0);
	operator_fixture_call(f, "POST", path, "", 404,
			      "no request with this content");
	operator_fixture_call(f, "POST", "/v1/quarantine/clear?content=abc", "",
			      400, "16 hexadecimal digits");
	operator_fixture_call(f, "POST", "/v1/quarantine/clear", "", 400,
			      "16 hexadecimal digits");
}

static void test_domain_is_evacuated(struct operator_fixture *f,
				     gconstpointer data)
{
	const char *evacuate =
		"/v1/evacuations/evacuate?domain=hall-katla&by=anna";
	const char *restore = "/v1/evacuations/restore?domain=hall-katla";

	(void)data;
	operator_fixture_call(f, "GET", "/v1/evacuations", NULL, 200,
			      "\"domains\":[]");
	operator_fixture_call(f, "POST", evacuate, "", 200,
			      "\"state\":\"evacuated\"");
	operator_fixture_call(f, "GET", "/v1/evacuations", NULL, 200,
			      "\"domain\":\"hall-katla\",\"by\":\"anna\"");
	operator_fixture_call(f, "GET", "/v1/evacuations", NULL, 200,
			      "\"in_force\":true");
	operator_fixture_call(f, "GET", "/v1/status", NULL, 200,
			      "\"evacuated_domains\":1");
	f->evacuation_rows.is_away = true;
	operator_fixture_call(f, "GET", "/v1/evacuations", NULL, 200,
			      "\"platform_answered\":false");
	operator_fixture_call(f, "GET", "/v1/evacuations", NULL, 200,
			      "\"domain\":\"hall-katla\"");
	f->evacuation_rows.is_away = false;
	operator_fixture_call(f, "POST", restore, "", 200,
			      "\"state\":\"restored\"");
	operator_fixture_call(f, "GET", "/v1/evacuations", NULL, 200,
			      "\"domains\":[]");
}

/* Guards against an order that the operator believes in force and that is not. */
static void test_refused_evacuations_say_why(struct operator_fixture *f,
					     gconstpointer data)
{
	const char *evacuate = "/v1/evacuations/evacuate?domain=hall-katla";

	(void)data;
	operator_fixture_call(f, "POST", "/v1/evacuations/evacuate", "", 400,
			      "a failure domain is required");
	operator_fixture_call(f, "POST",
			      "/v1/evacuations/evacuate?domain=hall-kalta", "",
			      404, "no known host is in this failure domain");
	f->evacuation_rows.changes_to = PLATFORM_REJECTED;
	operator_fixture_call(f, "POST", evacuate, "", 409,
			      "the platform's operator");
	f->evacuation_rows.changes_to = PLATFORM_UNAVAILABLE;
	operator_fixture_call(f, "POST", evacuate, "", 503,
			      "nothing was changed");
	f->evacuation_rows.changes_to = PLATFORM_UNKNOWN;
	operator_fixture_call(f, "POST", evacuate, "", 503, "repeat the command");
	g_assert_cmpuint(f->evacuation.count, ==, 0);
}

/*
 * Guards against hosts that are missing from the pages of a listing. The
 * listing has pages because one answer with 22,000 hosts would need more memory
 * than a daemon may use and would delay its calls.
 */
static void test_hosts_come_in_pages(struct operator_fixture *f,
				     gconstpointer unused)
{
	enum {
		MORE = 600
	};
	struct member *more = g_new0(struct member, MORE);
	char *path = g_strdup("/v1/hosts");
	unsigned int hosts = 0;
	unsigned int pages = 0;

	(void)unused;
	for (int i = 0; i < MORE; i++) {
		g_snprintf(more[i].host, sizeof(more[i].host), "katla-%d", i);
		more[i].domain = more[i].region = "katla";
		TAILQ_INSERT_TAIL(&f->members.all, &more[i], link);
	}
	while (path) {
		char *at;

		operator_fixture_call(f, "GET", path, NULL, 200, "\"hosts\":[{");
		for (at = f->answer.body->str; (at = strstr(at, "\"host\":"));
		     at++)
			hosts++;
		g_free(path);
		at = strstr(f->answer.body->str, "\"next\":\"");
		path = NULL;
		if (at) {
			at += strlen("\"next\":\"");
			path = g_strdup_printf("/v1/hosts?after=%.*s",
					       (int)strcspn(at, "\""), at);
		}
		pages++;
	}
	g_assert_cmpuint(hosts, ==, MORE + 1);
	g_assert_cmpuint(pages, ==, 3);
	operator_fixture_call(f, "GET", "/v1/hosts?after=gone", NULL, 404,
			      "begin anew");
	for (int i = 0; i < MORE; i++)
		TAILQ_REMOVE(&f->members.all, &more[i], link);
	g_free(more);
}

/* Guards against use of the admin port by anyone on the network without a
 * token. */
static void test_token_is_needed(struct operator_fixture *f, gconstpointer token)
{
	static const char *const wrong[] = {"", "s", "secreT", "secretsecret"};

	operator_fixture_call(f, "GET", "/v1/status", NULL, 200, "esja-01");
	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
		f->token = wrong[i];
		operator_fixture_call(f, "POST", "/v1/upstream/drain", "", 401,
				      "token");
	}
	f->token = NULL;
	operator_fixture_call(f, "GET", "/metrics", NULL, 401, "token");
	g_assert_cmpint(f->owner.status.state, ==, OWNER_NO_UPSTREAM);
	f->token = token;
}

static void test_upstream_announces_itself(struct operator_fixture *f,
					   gconstpointer unused)
{
	const char *path = "/v1/upstream/announce";

	(void)unused;
	operator_fixture_call(f, "POST", path,
			      "{\"groups\": [\"g\"], \"address\": "
			      "\"127.0.0.1\", \"port\": 81, "
			      "\"slots\": 12}",
			      200, "\"state\":\"up\",\"slots\":12");
	g_assert_cmpuint(f->owner.port, ==, 81);
	operator_fixture_call(f, "POST", path,
			      "{\"groups\": [\"g\"], \"address\": "
			      "\"10.0.0.1\", \"port\": 82, "
			      "\"slot\": 12}",
			      400, "did you mean \\\"slots\\\"");
	g_assert_nonnull(strstr(f->answer.body->str, "loopback"));
	g_assert_cmpuint(f->owner.port, ==, 81);
}

/*
 * Guards against a broken answer: if the upstream were told "may stop" while a
 * request runs, it would exit and break off that answer.
 */
static void test_stop_waits_for_the_last_request(struct operator_fixture *f,
						 gconstpointer unused)
{
	(void)unused;
	f->owner.status.running = 1;
	operator_fixture_begin(f, "POST", "/v1/upstream/stop", "");
	operator_fixture_run(f, 30);
	g_assert_cmpint(f->owner.status.state, ==, OWNER_DRAINING);
	g_assert_cmpuint(f->answers, ==, 0);
	f->owner.status.running = 0;
	operator_fixture_settle(&f->owner);
	ev_run(f->daemon.loop, 0);
	g_assert_cmpint(f->answer.status, ==, 200);
	g_assert_nonnull(strstr(f->answer.body->str, "may stop"));
}

/* Guards against a stop that stays in effect after the operator resumes the
 * upstream. */
static void test_resume_cancels_stop(struct operator_fixture *f,
				     gconstpointer unused)
{
	(void)unused;
	f->owner.status.running = 1;
	operator_fixture_begin(f, "POST", "/v1/upstream/stop", "");
	operator_fixture_run(f, 30);
	operator_fixture_begin(f, "POST", "/v1/upstream/resume", "");
	operator_fixture_run(f, 60);
	g_assert_cmpint(f->owner.status.state, ==, OWNER_UP);
	f->owner.status.running = 0;
	operator_fixture_settle(&f->owner);
	g_assert_cmpuint(f->answers, ==, 2);
	g_assert_cmpuint(f->conflicts, ==, 1);
}

static void fake_get(void *platform, const char *key,
		     config_get_handler handler, void *data)
{
	struct operator_fixture *f = platform;
	bool is_head = strcmp(key, CONFIG_HEAD_KEY) == 0;

	handler(CONFIG_PLATFORM_OK, 1, is_head ? NULL : f->row, 0, data);
}

static void fake_transact(void *platform, const struct config_write *writes,
			  size_t count, config_done_handler handler, void *data)
{
	struct operator_fixture *f = platform;

	(void)count;
	g_free(f->row);
	f->row = g_strdup(writes[0].value);
	handler(f->transacts_to, data);
}

static void platform_put(void *platform, const char *key, const char *body,
			 size_t size, config_done_handler handler, void *data)
{
	(void)platform;
	(void)key;
	(void)body;
	(void)size;
	handler(CONFIG_PLATFORM_OK, data);
}

static void platform_wait(void *platform, uint32_t ms, void (*handler)(void *),
			  void *data)
{
	(void)platform;
	(void)ms;
	handler(data);
}

static void test_check_and_apply(struct operator_fixture *f, gconstpointer unused)
{
	static const struct config_platform_ops ops = {
		.get = fake_get,
		.transact = fake_transact,
		.put_object = platform_put,
		.wait = platform_wait,
	};
	char *sample = sample_config_read();
	const char *path = "/v1/config/apply?base=0&who=anna";

	(void)unused;
	operator_fixture_call(f, "POST", path, sample, 503,
			      "no platform is configured");
	operator_api_set_platform(f->daemon.operator_api, &ops, f);
	operator_fixture_call(f, "POST", "/v1/config/check?file=f.json", sample,
			      200, "no upstream announces \\\"lookup-desk\\\"");
	g_assert_null(strstr(f->answer.body->str, "archive-feed"));
	operator_fixture_call(f, "POST", "/v1/config/check", "{", 422,
			      "\"result\":\"refused\"");
	operator_fixture_call(f, "POST", "/v1/config/apply?base=x&who=a",
			      sample, 400, "base=");
	operator_fixture_call(f, "POST", path, "{", 422,
			      "\"result\":\"refused\"");
	f->transacts_to = CONFIG_PLATFORM_UNKNOWN;
	operator_fixture_call(f, "POST", path, sample, 200,
			      "\"result\":\"in-force\"");
	g_assert_cmpuint(
		config_snapshot_find(config_store_current(f->daemon.config),
				     "spurningalina")
			->version,
		==, 1);
	operator_fixture_call(f, "POST", "/v1/config/apply?base=7&who=bjarni",
			      sample, 409, "\"winner\":\"anna\"");
	operator_fixture_call(f, "GET", "/v1/config?namespace=spurningalina",
			      NULL, 200, "\"who\":\"anna\"");
	/* This query goes to every daemon after an apply, so it must not read
	 * the platform. */
	operator_fixture_call(f, "GET",
			      "/v1/config?namespace=spurningalina&held=1", NULL,
			      200, "\"version\":1");
	g_assert_null(strstr(f->answer.body->str, "platform_answered"));
	operator_fixture_call(f, "GET", "/v1/config?body=1", NULL, 200,
			      "connect-through");
	g_free(sample);
}

#define ADD(path, token, function)                       \
	g_test_add(path, struct operator_fixture, token, \
		   operator_fixture_setup, function, operator_fixture_teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/operator/paths", NULL, test_paths);
	ADD("/operator/configuration-age", NULL,
	    test_metrics_show_the_configuration);
	ADD("/operator/stale-conflict", NULL,
	    test_conflict_with_stale_configuration);
	ADD("/operator/hosts", NULL, test_hosts_come_in_pages);
	ADD("/operator/quarantine", NULL, test_quarantine_is_cleared);
	ADD("/operator/evacuate", NULL, test_domain_is_evacuated);
	ADD("/operator/evacuate-refused", NULL, test_refused_evacuations_say_why);
	ADD("/operator/token", "secret", test_token_is_needed);
	ADD("/operator/announce", NULL, test_upstream_announces_itself);
	ADD("/operator/stop", NULL, test_stop_waits_for_the_last_request);
	ADD("/operator/stop-resumed", NULL, test_resume_cancels_stop);
	ADD("/operator/apply", NULL, test_check_and_apply);
	return g_test_run();
}
