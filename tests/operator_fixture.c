#include "operator_fixture.h"

#include <ev.h>
#include <string.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/operator/operator.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/quota/quota.h"
#include "common/http_client.h"

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

void operator_fixture_settle(struct owner *owner)
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
	operator_fixture_settle(owner);
}

void owner_get_status(const struct owner *owner, struct owner_status *status)
{
	*status = owner->status;
}

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
	struct evacuation_change change = {
		.version = rows->evacuation->as_of + 1,
		.is_evacuated = by,
	};

	if (rows->changes_to == PLATFORM_OK) {
		g_strlcpy(rows->domain, by ? domain : "", sizeof(rows->domain));
		g_strlcpy(rows->by, by ? by : "", sizeof(rows->by));
		change.key = evacuation_key(domain);
		evacuation_apply(rows->evacuation, change.version, &change, 1, 0);
	}
	handler(rows->changes_to, data);
}

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

struct peer *peers_connect_for_query(struct peers *peers,
				     const struct member *member)
{
	peers->peer.host = member->host;
	return &peers->peer;
}

uint64_t peer_send(struct peer *peer, const Cfd__Frame *frame)
{
	uint8_t *bytes;
	size_t size;

	if (frame->kind_case == CFD__FRAME__KIND_ORGANISATION_QUERY)
		peer->queries++;
	if (frame->kind_case != CFD__FRAME__KIND_ORGANISATION_REPORT)
		return 0;
	size = cfd__organisation_report__get_packed_size(
		frame->organisation_report);
	bytes = g_malloc(size);
	cfd__organisation_report__pack(frame->organisation_report, bytes);
	if (peer->sent)
		cfd__organisation_report__free_unpacked(peer->sent, NULL);
	peer->sent = cfd__organisation_report__unpack(NULL, size, bytes);
	g_free(bytes);
	return 0;
}

const char *peer_host(const struct peer *peer)
{
	return peer->host;
}

void peers_set_frame_handler(struct peers *peers, Cfd__Frame__KindCase kind,
			     void (*handle)(struct peer *peer,
					    const Cfd__Frame *frame, void *data),
			     void *data)
{
	peers->handlers[kind].handle = handle;
	peers->handlers[kind].data = data;
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

void quota_append_metrics(const struct quota *quota, GString *text)
{
	(void)quota;
	(void)text;
}

const GPtrArray *member_table_group(struct member_table *table, const char *group)
{
	return strcmp(group, "archive-feed") == 0 ? table->group : NULL;
}

void operator_fixture_setup(struct operator_fixture *f, gconstpointer token)
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

void operator_fixture_teardown(struct operator_fixture *f, gconstpointer unused)
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
	struct operator_fixture *f = data;

	g_assert_cmpint(answer->result, ==, CURLE_OK);
	f->answer.status = answer->status;
	g_string_truncate(f->answer.body, 0);
	g_string_append_len(f->answer.body, answer->body, (gssize)answer->size);
	f->answers++;
	f->conflicts += answer->status == 409;
	ev_break(f->daemon.loop, EVBREAK_ALL);
}

void operator_fixture_begin(struct operator_fixture *f, const char *method,
			    const char *path, const char *body)
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

void operator_fixture_call(struct operator_fixture *f, const char *method,
			   const char *path, const char *body, long status,
			   const char *expected)
{
	operator_fixture_begin(f, method, path, body);
	ev_run(f->daemon.loop, 0);
	g_assert_cmpint(f->answer.status, ==, status);
	if (!strstr(f->answer.body->str, expected))
		g_error("expected \"%s\" in: %s", expected, f->answer.body->str);
}

void operator_fixture_run(struct operator_fixture *f, int turns)
{
	for (int i = 0; i < turns; i++) {
		ev_run(f->daemon.loop, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}
