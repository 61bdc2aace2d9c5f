#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/content.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/headers.h"
#include "common/clock.h"
#include "entry_fixture.h"
#include "paused_clock.h"

#define DEADLINE_MS 100
#define BODY_FORMAT                                                           \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"%s\"],"       \
	"\"group\":\"g\",\"rules\":[{\"name\":\"r\",\"path_prefix\":\"/r/\"," \
	"\"deadline_ms\":" G_STRINGIFY(DEADLINE_MS) "}]}}}"

static void adopt(struct entry_fixture *f, uint64_t version, const char *host)
{
	char *body = g_strdup_printf(BODY_FORMAT, host);

	entry_fixture_adopt(f, version, body);
	g_free(body);
}

/*
 * Begins a call that the entry must answer at once.
 *
 * RETURN VALUE: the status of the entry's own reply.
 */
static unsigned int request_status(struct entry_fixture *f, const char *host,
				   const char *target)
{
	struct fields fields;
	struct call_request request = {.method = "GET",
				       .target = target,
				       .host = host,
				       .caller = "127.0.0.1",
				       .arrived_us = clock_mono_us(),
				       .fields = &fields};

	fields_init(&fields);
	g_assert_null(entry_fixture_begin(f, &request));
	fields_finish(&fields);
	return f->status;
}

static void test_unmatched_request_gets_404(struct entry_fixture *f,
					    gconstpointer unused)
{
	(void)unused;
	g_assert_cmpuint(request_status(f, "old.example", "/r/1"), ==, 503);
	adopt(f, 1, "old.example");
	g_assert_cmpuint(request_status(f, "other.example", "/r/1"), ==, 404);
	g_assert_cmpuint(request_status(f, "old.example", "/other"), ==, 404);
	g_assert_cmpuint(f->come_back_ms, ==, 0);
}

/* Guards against requests for a rule that is invalid, in a version accepted
 * elsewhere, waiting for an upstream, ending as final or following another
 * rule. */
static void test_invalid_rule_gets_503(struct entry_fixture *f,
				       gconstpointer unused)
{
	(void)unused;
	entry_fixture_adopt(f, 1,
			    "{\"namespace\":\"n\",\"services\":{\"s\":{"
			    "\"hosts\":[\"old.example\"],\"rules\":["
			    "{\"name\":\"r\",\"path_prefix\":\"/r/\","
			    "\"deadline_ms\":100},"
			    "{\"name\":\"all\",\"deadline_ms\":100,"
			    "\"to\":[{\"group\":\"g\"}]}]}}}");
	g_assert_cmpuint(request_status(f, "old.example", "/r/1"), ==, 503);
	g_assert_cmpstr(f->reason, ==, "rule-invalid");
	g_assert_cmpuint(f->come_back_ms, >, 0);
}

/*
 * Guards against a 404 for a route that a newer configuration adds. No client
 * retries a 404, while other daemons serve the route already. It happens if the
 * entry looks only at the configuration it holds, when a peer has reported a
 * newer one that this daemon can't fetch yet: the file is large, its link slow
 * or its peers are busy. The symptom is a log line for each such request, with
 * known_head above head. The request must end as not run, with a time to come
 * back.
 */
static void test_no_404_while_a_newer_version_is_known(struct entry_fixture *f,
						       gconstpointer unused)
{
	(void)unused;
	adopt(f, 1, "old.example");
	config_store_note_head(f->daemon.config, 2, "esja-01");
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 503);
	g_assert_cmpuint(f->come_back_ms, >, 0);
	g_assert_cmpuint(request_status(f, "old.example", "/new/1"), ==, 503);
	entry_fixture_note_listing(f, 2);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 503);
	adopt(f, 2, "new.example");
	g_assert_cmpuint(request_status(f, "old.example", "/r/1"), ==, 404);
}

/*
 * Guards against a 404 in a failure domain that is cut off from the platform
 * and from all other domains. Its daemons all hold the same version, so none of
 * them is behind, while routes are added elsewhere. What counts is the age of
 * the platform's last confirmation that nothing newer exists, not how recently
 * a peer has passed it on.
 */
static void test_no_404_on_an_old_confirmation(struct entry_fixture *f,
					       gconstpointer unused)
{
	struct config_store *config = f->daemon.config;

	(void)unused;
	adopt(f, 1, "old.example");
	config_store_note_confirmed(config, 1, 0);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 404);
	paused_clock_advance_us(CONFIG_CONFIRMED_MAX_AGE_US);
	config_store_note_confirmed(config, 1, CONFIG_CONFIRMED_MAX_AGE_US);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 404);
	paused_clock_advance_us(1);
	config_store_note_confirmed(config, 1, CONFIG_CONFIRMED_MAX_AGE_US + 1);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 503);
	g_assert_cmpuint(f->come_back_ms, >, 0);
	config_store_note_confirmed(config, 1, CONFIG_CONFIRMED_MAX_AGE_US / 2);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 404);
}

/*
 * Guards against a 404 from a daemon that never got a confirmation: its peers
 * gave it a configuration but pass on none, and the platform has been
 * unreachable since the start.
 */
static void test_no_404_without_confirmation(struct entry_fixture *f,
					     gconstpointer unused)
{
	(void)unused;
	adopt(f, 1, "old.example");
	paused_clock_advance_us(CONFIG_CONFIRMED_MAX_AGE_US * 2);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 404);
	config_store_expect_confirmation(f->daemon.config);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 404);
	paused_clock_advance_us(CONFIG_CONFIRMED_MAX_AGE_US + 1);
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 503);
}

/* Guards against a caller that uses up its retries within a few milliseconds of
 * a daemon's start, before the daemon can know any upstream. */
static void test_no_upstream_come_back_time(struct entry_fixture *f,
					    gconstpointer unused)
{
	(void)unused;
	adopt(f, 1, "old.example");
	g_assert_cmpuint(request_status(f, "old.example", "/r/1"), ==, 503);
	g_assert_cmpuint(f->come_back_ms, >=, DEADLINE_MS / 5);
	g_assert_cmpuint(f->come_back_ms, <=, DEADLINE_MS / 3);
}

/* Guards against a request that is sent to an upstream although it has crashed
 * three, and against one that is refused for the crashes of another. */
static void test_quarantined_request_is_not_sent(struct entry_fixture *f,
						 gconstpointer unused)
{
	struct content content = {
		.service = "s",
		.method = "GET",
		.target = "/r/deadly",
		.caller = "",
		.body = "",
	};
	int64_t now = clock_mono_us();

	(void)unused;
	adopt(f, 1, "old.example");
	for (uint64_t crash = 1; crash <= QUARANTINE_CRASHES; crash++)
		quarantine_note_crash(f->daemon.quarantine,
				      content_key(&content, content_seed(NULL, 0)),
				      crash, now);
	g_assert_cmpuint(request_status(f, "old.example", "/r/deadly"), ==, 503);
	g_assert_cmpuint(f->come_back_ms, ==, QUARANTINE_TRIAL_US / US_PER_MS);
	g_assert_cmpuint(request_status(f, "old.example", "/r/other"), ==, 503);
	g_assert_cmpuint(f->come_back_ms, <=, DEADLINE_MS / 3);
	paused_clock_advance_us(QUARANTINE_TRIAL_US);
	g_assert_cmpuint(request_status(f, "old.example", "/r/deadly"), ==, 503);
	g_assert_cmpuint(f->come_back_ms, ==, US_PER_S / US_PER_MS);
}

/* Guards against a key that depends on the service beside the entry: the same
 * request would crash three more upstreams for each such service. */
static void test_caller_service_does_not_change_the_key(struct entry_fixture *f,
							gconstpointer unused)
{
	struct headers headers = headers_own;

	headers.caller_service = "Caller-Service";
	f->daemon.headers = &headers;
	f->settings.service = (char *)"lookup-desk";
	test_quarantined_request_is_not_sent(f, unused);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/entry/unmatched", struct entry_fixture, NULL,
		   entry_fixture_set_up, test_unmatched_request_gets_404,
		   entry_fixture_tear_down);
	g_test_add("/entry/invalid-rule", struct entry_fixture, NULL,
		   entry_fixture_set_up, test_invalid_rule_gets_503,
		   entry_fixture_tear_down);
	g_test_add("/entry/behind", struct entry_fixture, NULL,
		   entry_fixture_set_up,
		   test_no_404_while_a_newer_version_is_known,
		   entry_fixture_tear_down);
	g_test_add("/entry/old-confirmation", struct entry_fixture, NULL,
		   entry_fixture_set_up, test_no_404_on_an_old_confirmation,
		   entry_fixture_tear_down);
	g_test_add("/entry/no-confirmation", struct entry_fixture, NULL,
		   entry_fixture_set_up, test_no_404_without_confirmation,
		   entry_fixture_tear_down);
	g_test_add("/entry/quarantined", struct entry_fixture, NULL,
		   entry_fixture_set_up, test_quarantined_request_is_not_sent,
		   entry_fixture_tear_down);
	g_test_add("/entry/quarantined-any-caller-service",
		   struct entry_fixture, NULL, entry_fixture_set_up,
		   test_caller_service_does_not_change_the_key,
		   entry_fixture_tear_down);
	g_test_add("/entry/no-upstream", struct entry_fixture, NULL,
		   entry_fixture_set_up, test_no_upstream_come_back_time,
		   entry_fixture_tear_down);
	return g_test_run();
}
