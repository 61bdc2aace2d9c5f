#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/config/model.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/operator/operator.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/platform/evacuation_rows.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/owner.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/jsonc.h"
#include "sample_config.h"

/* A fake owner; the test sets its number of running requests. */
struct owner {
	struct owner_status status;
	uint16_t port;
	void (*handle_idle)(void *data);
	void *data;
};

void owner_announce(struct owner *owner,
		    const struct owner_announcement *announcement)
{
	owner->status.state = OWNER_UP;
	owner->status.slots = announcement->slots;
	owner->port = announcement->port;
}

void owner_drain(struct owner *owner)
{
	owner->status.state = OWNER_DRAINING;
}

void owner_resume(struct owner *owner)
{
	owner->status.state = OWNER_UP;
}

static void owner_settle(struct owner *owner)
{
	void (*handle_idle)(void *data) = owner->handle_idle;

	if (owner->status.running || !handle_idle)
		return;
	owner->handle_idle = NULL;
	handle_idle(owner->data);
}

void owner_when_idle(struct owner *owner, void (*handle_idle)(void *data),
		     void *data)
{
	owner->handle_idle = handle_idle;
	owner->data = data;
	owner_settle(owner);
}

void owner_get_status(const struct owner *owner, struct owner_status *status)
{
	*status = owner->status;
}

/* A fake member table with one group. */
/* A fake store of the evacuated domains, with one row at most. */
struct evacuation_rows {
	struct evacuation *evacuation;
	char domain[MEMBER_DOMAIN_MAX]; /* "": no row */
	char by[MEMBER_DOMAIN_MAX];
	bool is_away;
	enum platform_status changes_to;
};

void evacuation_rows_list(struct evacuation_rows *rows,
			  evacuation_list_handler handler, void *data)
{
	struct evacuation_row row = {rows->domain, rows->by, 1790000000000};

	handler(!rows->is_away, &row, rows->domain[0] && !rows->is_away, data);
}

void evacuation_rows_change(struct evacuation_rows *rows, const char *domain,
			    const char *by, evacuation_change_handler handler,
			    void *data)
{
	if (rows->changes_to == PLATFORM_OK) {
		g_strlcpy(rows->domain, by ? domain : "", sizeof(rows->domain));
		g_strlcpy(rows->by, by ? by : "", sizeof(rows->by));
		evacuation_set(rows->evacuation, rows->evacuation->as_of + 1,
			       evacuation_key(domain), by, 0);
	}
	handler(rows->changes_to, data);
}

struct member_table {
	struct member_list all;
	GPtrArray *group;
};

struct member_list *member_table_all(struct member_table *table)
{
	return &table->all;
}

struct member *member_table_find(struct member_table *table, const char *host)
{
	struct member *member;

	TAILQ_FOREACH (member, &table->all, link) {
		if (strcmp(member->host, host) == 0)
			return member;
	}
	return NULL;
}

struct peer *peers_connect(struct peers *peers, const struct member *member)
{
	(void)peers;
	(void)member;
	return NULL;
}

uint64_t peer_send(struct peer *peer, const Cfd__Frame *frame)
{
	(void)peer;
	(void)frame;
	return 0;
}

const char *peer_host(const struct peer *peer)
{
	(void)peer;
	return "";
}

void peers_set_frame_handler(struct peers *peers, Cfd__Frame__KindCase kind,
			     void (*handle)(struct peer *peer,
					    const Cfd__Frame *frame, void *data),
			     void *data)
{
	(void)peers;
	(void)kind;
	(void)handle;
	(void)data;
}

size_t member_table_size(const struct member_table *table)
{
	(void)table;
	return 1;
}

void entry_append_metrics(const struct entry *entry, GString *text)
{
	(void)entry;
	(void)text;
}

const GPtrArray *member_table_group(struct member_table *table, const char *group)
{
	return strcmp(group, "archive-feed") == 0 ? table->group : NULL;
}

struct fixture {
	struct settings settings;
	struct daemon daemon;
	struct evacuation evacuation;
	struct evacuation_rows evacuation_rows;
	struct owner owner;
	struct member_table members;
	struct member member;
	const char *token;
	struct {
		long status;
		GString *body;
	} answer;
	unsigned int answers;
	unsigned int conflicts;
	enum config_platform_status transacts_to;
	char *row;
};

static void setup(struct fixture *f, gconstpointer token)
{
	f->settings.host = "esja-01";
	f->settings.domain = "hall-esja";
	f->member.domain = "hall-katla";
	f->daemon.evacuation = &f->evacuation;
	f->daemon.evacuation_rows = &f->evacuation_rows;
	f->evacuation_rows.evacuation = &f->evacuation;
	f->settings.admin.address = "127.0.0.1";
	f->settings.admin_token = (char *)token;
	f->token = token;
	f->daemon.loop = ev_loop_new(0);
	f->daemon.settings = &f->settings;
	f->daemon.config = config_store_create();
	f->daemon.quarantine = quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);
	f->daemon.owner = &f->owner;
	f->daemon.members = &f->members;
	timeline_init(&f->daemon.timeline, 8);
	TAILQ_INIT(&f->members.all);
	f->members.group = g_ptr_array_new();
	g_strlcpy(f->member.host, "esja-02", sizeof(f->member.host));
	TAILQ_INSERT_TAIL(&f->members.all, &f->member, link);
	g_ptr_array_add(f->members.group, &f->member);
	f->daemon.operator_api = operator_api_create(&f->daemon);
	g_assert_nonnull(f->daemon.operator_api);
	f->daemon.http = http_client_create(f->daemon.loop);
	f->answer.body = g_string_new(NULL);
}

static void teardown(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	http_client_destroy(f->daemon.http);
	operator_api_destroy(f->daemon.operator_api);
	config_store_destroy(f->daemon.config);
	quarantine_destroy(f->daemon.quarantine);
	timeline_finish(&f->daemon.timeline);
	ev_loop_destroy(f->daemon.loop);
	g_ptr_array_free(f->members.group, TRUE);
	g_string_free(f->answer.body, TRUE);
	g_free(f->row);
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct fixture *f = data;

	g_assert_cmpint(answer->result, ==, CURLE_OK);
	f->answer.status = answer->status;
	g_string_truncate(f->answer.body, 0);
	g_string_append_len(f->answer.body, answer->body, (gssize)answer->size);
	f->answers++;
	f->conflicts += answer->status == 409;
	ev_break(f->daemon.loop, EVBREAK_ALL);
}

static void begin(struct fixture *f, const char *method, const char *path,
		  const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    f->daemon.admin_port, path);
	char *bearer = g_strconcat("Bearer ", f->token, NULL);
	const char *headers[] = {"Authorization", bearer, NULL};
	struct http_call call = {
		.method = method,
		.url = url,
		.headers = f->token ? headers : NULL,
		.body = body,
		.size = body ? strlen(body) : 0,
	};

	http_client_call(f->daemon.http, &call, handle_answer, f);
	g_free(bearer);
	g_free(url);
}

static void call(struct fixture *f, const char *method, const char *path,
		 const char *body, long status, const char *expected)
{
	begin(f, method, path, body);
	ev_run(f->daemon.loop, 0);
	g_assert_cmpint(f->answer.status, ==, status);
	if (!strstr(f->answer.body->str, expected))
		g_error("expected \"%s\" in: %s", expected, f->answer.body->str);
}

static void run_loop_iterations(struct fixture *f, int turns)
{
	for (int i = 0; i < turns; i++) {
		ev_run(f->daemon.loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

static void offer_sample(struct fixture *f, uint64_t version)
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
static void test_metrics_show_the_configuration(struct fixture *f,
						gconstpointer unused)
{
	(void)unused;
	config_store_note_head(f->daemon.config, 0, NULL);
	call(f, "GET", "/metrics", NULL, 200, "comfreydock_config_behind 0\n");
	call(f, "GET", "/metrics", NULL, 200,
	     "\ncomfreydock_config_told_age_us ");
	offer_sample(f, 3);
	call(f, "GET", "/metrics", NULL, 200,
	     "comfreydock_config_version{namespace=\"spurningalina\"} 3\n");
	call(f, "GET", "/metrics", NULL, 200, "\ncomfreydock_config_age_us ");
}

/*
 * Guards against a false conflict. One namespace gave up a host name and
 * another takes it, but this daemon has not received the first change yet. It
 * must not tell the operator that the name still belongs to the first
 * namespace.
 */
static void test_conflict_with_stale_configuration(struct fixture *f,
						   gconstpointer unused)
{
	const char *path = "/v1/config/check";
	char *sample = sample_config_read();
	GString *other = g_string_new(sample);

	(void)unused;
	offer_sample(f, 3);
	g_string_replace(other, "\"spurningalina\"", "\"other\"", 0);
	call(f, "POST", path, other->str, 422, "belongs to service");
	config_store_note_head(f->daemon.config, 9, "esja-02");
	call(f, "POST", path, other->str, 503, "may be old (head 0, known 9)");
	call(f, "POST", path, "{", 422, "\"result\":\"refused\"");
	call(f, "POST", path, sample, 200, "\"result\":\"passes\"");
	g_string_free(other, TRUE);
	g_free(sample);
}

static void test_paths(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	timeline_add(&f->daemon.timeline, "t1", EV_DAEMON_STARTED, "x");
	call(f, "GET", "/v1/status", NULL, 200, "\"host\":\"esja-01\"");
	call(f, "GET", "/v1/hosts", NULL, 200, "\"host\":\"esja-02\"");
	call(f, "GET", "/v1/config", NULL, 200, "\"namespaces\":[]");
	call(f, "GET", "/v1/timeline?trace=t1", NULL, 200, "daemon.started");
	call(f, "GET", "/metrics", NULL, 200, "comfreydock_upstream_running 0");
	call(f, "GET", "/v1/upstream", NULL, 200, "\"state\":\"none\"");
	call(f, "GET", "/v1/quarantine", NULL, 200, "\"requests\":[]");
	call(f, "GET", "/v1/other", NULL, 404, "no such path");
	call(f, "GET", "/v1/upstream/drain", NULL, 405, "wrong method");
}

static void test_quarantine_is_cleared(struct fixture *f, gconstpointer data)
{
	const char *path = "/v1/quarantine/clear?content=0000000000000abc";
	int64_t now = clock_mono_us();

	(void)data;
	call(f, "POST", path, "", 404, "no request with this content");
	for (uint64_t crash = 1; crash <= QUARANTINE_CRASHES; crash++)
		quarantine_note_crash(f->daemon.quarantine, 0xabc, crash, now);
	call(f, "GET", "/v1/quarantine", NULL, 200,
	     "\"content\":\"0000000000000abc\",\"state\":\"held\"");
	call(f, "POST", path, "", 200, "\"state\":\"cleared\"");
	g_assert_cmpuint(quarantine_held_count(f->daemon.quarantine), ==, 0);
	call(f, "POST", path, "", 404, "no request with this content");
	call(f, "POST", "/v1/quarantine/clear?content=abc", "", 400,
	     "16 hexadecimal digits");
	call(f, "POST", "/v1/quarantine/clear", "", 400, "16 hexadecimal digits");
}

static void test_domain_is_evacuated(struct fixture *f, gconstpointer data)
{
	const char *evacuate =
		"/v1/evacuations/evacuate?domain=hall-katla&by=anna";
	const char *restore = "/v1/evacuations/restore?domain=hall-katla";

	(void)data;
	call(f, "GET", "/v1/evacuations", NULL, 200, "\"domains\":[]");
	call(f, "POST", evacuate, "", 200, "\"state\":\"evacuated\"");
	call(f, "GET", "/v1/evacuations", NULL, 200,
	     "\"domain\":\"hall-katla\",\"by\":\"anna\"");
	call(f, "GET", "/v1/evacuations", NULL, 200, "\"in_force\":true");
	call(f, "GET", "/v1/status", NULL, 200, "\"evacuated_domains\":1");
	f->evacuation_rows.is_away = true;
	call(f, "GET", "/v1/evacuations", NULL, 200,
	     "\"platform_answered\":false");
	call(f, "GET", "/v1/evacuations", NULL, 200, "\"domain\":\"hall-katla\"");
	f->evacuation_rows.is_away = false;
	call(f, "POST", restore, "", 200, "\"state\":\"restored\"");
	call(f, "GET", "/v1/evacuations", NULL, 200, "\"domains\":[]");
}

/* Guards against an order that the operator believes in force and that is not. */
static void test_refused_evacuations_say_why(struct fixture *f, gconstpointer data)
{
	const char *evacuate = "/v1/evacuations/evacuate?domain=hall-katla";

	(void)data;
	call(f, "POST", "/v1/evacuations/evacuate", "", 400,
	     "a failure domain is required");
	call(f, "POST", "/v1/evacuations/evacuate?domain=hall-kalta", "", 404,
	     "no known host is in this failure domain");
	f->evacuation_rows.changes_to = PLATFORM_REJECTED;
	call(f, "POST", evacuate, "", 409, "the platform's operator");
	f->evacuation_rows.changes_to = PLATFORM_UNAVAILABLE;
	call(f, "POST", evacuate, "", 503, "nothing was changed");
	f->evacuation_rows.changes_to = PLATFORM_UNKNOWN;
	call(f, "POST", evacuate, "", 503, "repeat the command");
	g_assert_cmpuint(f->evacuation.count, ==, 0);
}

/*
 * Guards against hosts that are missing from the pages of a listing. The
 * listing has pages because one answer with 22,000 hosts would need more memory
 * than a daemon may use and would delay its calls.
 */
static void test_hosts_come_in_pages(struct fixture *f, gconstpointer unused)
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

		call(f, "GET", path, NULL, 200, "\"hosts\":[{");
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
	call(f, "GET", "/v1/hosts?after=gone", NULL, 404, "begin anew");
	for (int i = 0; i < MORE; i++)
		TAILQ_REMOVE(&f->members.all, &more[i], link);
	g_free(more);
}

/* Guards against use of the admin port by anyone on the network without a
 * token. */
static void test_token_is_needed(struct fixture *f, gconstpointer token)
{
	static const char *const wrong[] = {"", "s", "secreT", "secretsecret"};

	call(f, "GET", "/v1/status", NULL, 200, "esja-01");
	for (size_t i = 0; i < G_N_ELEMENTS(wrong); i++) {
		f->token = wrong[i];
		call(f, "POST", "/v1/upstream/drain", "", 401, "token");
	}
	f->token = NULL;
	call(f, "GET", "/metrics", NULL, 401, "token");
	g_assert_cmpint(f->owner.status.state, ==, OWNER_NO_UPSTREAM);
	f->token = token;
}

static void test_upstream_announces_itself(struct fixture *f, gconstpointer unused)
{
	const char *path = "/v1/upstream/announce";

	(void)unused;
	call(f, "POST", path,
	     "{\"groups\": [\"g\"], \"address\": \"127.0.0.1\", \"port\": 81, "
	     "\"slots\": 12}",
	     200, "\"state\":\"up\",\"slots\":12");
	g_assert_cmpuint(f->owner.port, ==, 81);
	call(f, "POST", path,
	     "{\"groups\": [\"g\"], \"address\": \"10.0.0.1\", \"port\": 82, "
	     "\"slot\": 12}",
	     400, "did you mean \\\"slots\\\"");
	g_assert_nonnull(strstr(f->answer.body->str, "loopback"));
	g_assert_cmpuint(f->owner.port, ==, 81);
}

/*
 * Guards against a broken answer: if the upstream were told "may stop" while a
 * request runs, it would exit and break off that answer.
 */
static void test_stop_waits_for_the_last_request(struct fixture *f,
						 gconstpointer unused)
{
	(void)unused;
	f->owner.status.running = 1;
	begin(f, "POST", "/v1/upstream/stop", "");
	run_loop_iterations(f, 30);
	g_assert_cmpint(f->owner.status.state, ==, OWNER_DRAINING);
	g_assert_cmpuint(f->answers, ==, 0);
	f->owner.status.running = 0;
	owner_settle(&f->owner);
	ev_run(f->daemon.loop, 0);
	g_assert_cmpint(f->answer.status, ==, 200);
	g_assert_nonnull(strstr(f->answer.body->str, "may stop"));
}

/* Guards against a stop that stays in effect after the operator resumes the
 * upstream. */
static void test_resume_cancels_stop(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->owner.status.running = 1;
	begin(f, "POST", "/v1/upstream/stop", "");
	run_loop_iterations(f, 30);
	begin(f, "POST", "/v1/upstream/resume", "");
	run_loop_iterations(f, 60);
	g_assert_cmpint(f->owner.status.state, ==, OWNER_UP);
	f->owner.status.running = 0;
	owner_settle(&f->owner);
	g_assert_cmpuint(f->answers, ==, 2);
	g_assert_cmpuint(f->conflicts, ==, 1);
}

static void fake_get(void *platform, const char *key,
		     config_get_handler handler, void *data)
{
	struct fixture *f = platform;
	bool is_head = strcmp(key, CONFIG_HEAD_KEY) == 0;

	handler(CONFIG_PLATFORM_OK, 1, is_head ? NULL : f->row, 0, data);
}

static void fake_transact(void *platform, const struct config_write *writes,
			  size_t count, config_done_handler handler, void *data)
{
	struct fixture *f = platform;

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

static void test_check_and_apply(struct fixture *f, gconstpointer unused)
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
	call(f, "POST", path, sample, 503, "no platform is configured");
	operator_api_set_platform(f->daemon.operator_api, &ops, f);
	call(f, "POST", "/v1/config/check?file=f.json", sample, 200,
	     "no upstream announces \\\"lookup-desk\\\"");
	g_assert_null(strstr(f->answer.body->str, "archive-feed"));
	call(f, "POST", "/v1/config/check", "{", 422, "\"result\":\"refused\"");
	call(f, "POST", "/v1/config/apply?base=x&who=a", sample, 400, "base=");
	call(f, "POST", path, "{", 422, "\"result\":\"refused\"");
	f->transacts_to = CONFIG_PLATFORM_UNKNOWN;
	call(f, "POST", path, sample, 200, "\"result\":\"in-force\"");
	g_assert_cmpuint(
		config_snapshot_find(config_store_current(f->daemon.config),
				     "spurningalina")
			->version,
		==, 1);
	call(f, "POST", "/v1/config/apply?base=7&who=bjarni", sample, 409,
	     "\"winner\":\"anna\"");
	call(f, "GET", "/v1/config?namespace=spurningalina", NULL, 200,
	     "\"who\":\"anna\"");
	/* This query goes to every daemon after an apply, so it must not read
	 * the platform. */
	call(f, "GET", "/v1/config?namespace=spurningalina&held=1", NULL, 200,
	     "\"version\":1");
	g_assert_null(strstr(f->answer.body->str, "platform_answered"));
	call(f, "GET", "/v1/config?body=1", NULL, 200, "connect-through");
	g_free(sample);
}

#define ADD(path, token, function) \
	g_test_add(path, struct fixture, token, setup, function, teardown)

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
