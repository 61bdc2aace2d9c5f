#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/content.h"
#include "comfreydockd/caller/entry.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/headers.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "paused_clock.h"

#define DEADLINE_MS 100
#define BODY_FORMAT                                                           \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"%s\"],"       \
	"\"group\":\"g\",\"rules\":[{\"name\":\"r\",\"path_prefix\":\"/r/\"," \
	"\"deadline_ms\":" G_STRINGIFY(DEADLINE_MS) "}]}}}"

/* An entry with peers and a configuration, but without any owner. */
struct fixture {
	struct settings settings;
	struct daemon daemon;
	unsigned int status; /* of the entry's own reply */
	uint32_t come_back_ms;
};

static void handle_reply(void *data, struct call_reply *reply)
{
	struct fixture *f = data;

	f->status = reply->status;
	f->come_back_ms = reply->come_back_ms;
}

static const struct call_sink sink = {.handle_reply = handle_reply};

static void set_up(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->settings.host = (char *)"esja-02";
	f->settings.peer.address = (char *)"127.0.0.1";
	f->daemon.loop = EV_DEFAULT;
	f->daemon.settings = &f->settings;
	f->daemon.headers = &headers_own;
	timeline_init(&f->daemon.timeline, 16);
	f->daemon.members = member_table_create();
	f->daemon.quarantine = quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	f->daemon.config = config_store_create();
	f->daemon.peers = peers_create(&f->daemon);
	f->daemon.entry = entry_create(&f->daemon);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	entry_destroy(f->daemon.entry);
	peers_destroy(f->daemon.peers);
	config_store_destroy(f->daemon.config);
	member_table_destroy(f->daemon.members);
	quarantine_destroy(f->daemon.quarantine);
	timeline_finish(&f->daemon.timeline);
}

/* Records the listing of a peer that holds this version. */
static void note_listing(struct fixture *f, uint64_t version)
{
	struct config_version line = {
		.name = "n", .version = version, .at = version};

	config_store_note_listing(f->daemon.config, version, &line, 1);
}

static void adopt(struct fixture *f, uint64_t version, const char *host)
{
	char *body = g_strdup_printf(BODY_FORMAT, host);
	char sha256[65];

	config_body_sha256(body, strlen(body), sha256);
	note_listing(f, version);
	g_assert_cmpint(config_store_offer(f->daemon.config, "n", version,
					   sha256, body, strlen(body)),
			==, CONFIG_OFFER_ADOPTED);
	g_free(body);
}

/*
 * Begins a call that the entry must answer at once.
 *
 * RETURN VALUE: the status of the entry's own reply.
 */
static unsigned int request_status(struct fixture *f, const char *host,
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
	f->status = 0;
	f->come_back_ms = 0;
	g_assert_null(entry_begin(f->daemon.entry, &request, &sink, f));
	fields_finish(&fields);
	return f->status;
}

static void test_unmatched_request_gets_404(struct fixture *f,
					    gconstpointer unused)
{
	(void)unused;
	g_assert_cmpuint(request_status(f, "old.example", "/r/1"), ==, 503);
	adopt(f, 1, "old.example");
	g_assert_cmpuint(request_status(f, "other.example", "/r/1"), ==, 404);
	g_assert_cmpuint(request_status(f, "old.example", "/other"), ==, 404);
	g_assert_cmpuint(f->come_back_ms, ==, 0);
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
static void test_no_404_while_a_newer_version_is_known(struct fixture *f,
						       gconstpointer unused)
{
	(void)unused;
	adopt(f, 1, "old.example");
	config_store_note_head(f->daemon.config, 2, "esja-01");
	g_assert_cmpuint(request_status(f, "new.example", "/r/1"), ==, 503);
	g_assert_cmpuint(f->come_back_ms, >, 0);
	g_assert_cmpuint(request_status(f, "old.example", "/new/1"), ==, 503);
	note_listing(f, 2);
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
static void test_no_404_on_an_old_confirmation(struct fixture *f,
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
static void test_no_404_without_confirmation(struct fixture *f,
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
static void test_no_upstream_come_back_time(struct fixture *f,
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
static void test_quarantined_request_is_not_sent(struct fixture *f,
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
static void test_caller_service_does_not_change_the_key(struct fixture *f,
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
	g_test_add("/entry/unmatched", struct fixture, NULL, set_up,
		   test_unmatched_request_gets_404, tear_down);
	g_test_add("/entry/behind", struct fixture, NULL, set_up,
		   test_no_404_while_a_newer_version_is_known, tear_down);
	g_test_add("/entry/old-confirmation", struct fixture, NULL, set_up,
		   test_no_404_on_an_old_confirmation, tear_down);
	g_test_add("/entry/no-confirmation", struct fixture, NULL, set_up,
		   test_no_404_without_confirmation, tear_down);
	g_test_add("/entry/quarantined", struct fixture, NULL, set_up,
		   test_quarantined_request_is_not_sent, tear_down);
	g_test_add("/entry/quarantined-any-caller-service", struct fixture,
		   NULL, set_up, test_caller_service_does_not_change_the_key,
		   tear_down);
	g_test_add("/entry/no-upstream", struct fixture, NULL, set_up,
		   test_no_upstream_come_back_time, tear_down);
	return g_test_run();
}
