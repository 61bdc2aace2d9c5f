#include "owner_fixture.h"

#include <stdlib.h>
#include <string.h>

#include "comfreydockd/upstream/owner.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "paused_clock.h"

static void handle_request(struct http_request *request, void *data)
{
	struct owner_fixture *f = data;
	int number = atoi(http_request_path(request) + 1);

	g_assert_cmpint(number, >, 0);
	g_assert_cmpint(number, <=, OWNER_FIXTURE_ATTEMPTS);
	f->runs[number]++;
	g_ptr_array_add(f->waiting, request);
}

void owner_fixture_answer(struct owner_fixture *f, guint index)
{
	struct http_request *request = g_ptr_array_index(f->waiting, index);
	const char *path = http_request_path(request);
	char *body = g_strdup(path);

	g_ptr_array_remove_index_fast(f->waiting, index);
	http_request_reply(request, 200, NULL, body, strlen(body));
	g_free(body);
}

void owner_fixture_run_for(struct owner_fixture *f, int ms)
{
	for (int i = 0; i < ms; i++) {
		paused_clock_advance_us(US_PER_MS);
		for (int j = 0; j < 4; j++)
			ev_run(f->entry.daemon.loop, EVRUN_NOWAIT);
	}
}

void owner_fixture_wait_for_runs(struct owner_fixture *f, guint count)
{
	for (int i = 0; i < 1000 && f->waiting->len < count; i++)
		owner_fixture_run_for(f, 1);
	g_assert_cmpuint(f->waiting->len, ==, count);
}

static void handle_frame(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct owner_fixture *f = data;
	const Cfd__AnswerBody *body = frame->answer_body;

	(void)peer;
	switch (frame->kind_case) {
	case CFD__FRAME__KIND_NOT_RUN:
		f->ends[frame->not_run->seq]++;
		f->was_refused[frame->not_run->seq] = true;
		break;
	case CFD__FRAME__KIND_FAILED:
		f->ends[frame->failed->seq]++;
		break;
	case CFD__FRAME__KIND_ANSWER_BODY:
		g_string_append_len(f->bodies[body->seq],
				    (const char *)body->data.data,
				    (gssize)body->data.len);
		f->ends[body->seq] += body->ends || body->aborted;
		f->was_answered[body->seq] |= body->ends;
		f->was_aborted[body->seq] |= body->aborted;
		break;
	default:
		break;
	}
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	(void)peer;
	(void)error;
	(void)data;
}

void owner_fixture_send_for(struct owner_fixture *f, uint64_t seq, int number,
			    bool idempotent, uint32_t remaining_ms)
{
	char *target = g_strdup_printf("/%d", number);
	Cfd__Attempt attempt = CFD__ATTEMPT__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	attempt.seq = seq;
	attempt.trace = target;
	attempt.group = (char *)OWNER_FIXTURE_GROUP;
	attempt.method = (char *)"GET";
	attempt.target = target;
	attempt.remaining_us = remaining_ms * US_PER_MS;
	attempt.may_queue = true;
	attempt.idempotent = idempotent;
	attempt.body_ends = true;
	frame.kind_case = CFD__FRAME__KIND_ATTEMPT;
	frame.attempt = &attempt;
	peer_send(f->peer, &frame);
	g_free(target);
}

void owner_fixture_send(struct owner_fixture *f, uint64_t seq, int number,
			bool idempotent)
{
	owner_fixture_send_for(f, seq, number, idempotent, 60000);
}

void owner_fixture_announce(struct owner_fixture *f, uint16_t port)
{
	char *groups[] = {(char *)OWNER_FIXTURE_GROUP, NULL};
	struct owner_announcement announcement = {
		.groups = groups,
		.address = (char *)"127.0.0.1",
		.port = port,
		.slots = OWNER_FIXTURE_ATTEMPTS / 2,
		.is_new_start = true,
	};

	owner_announce(f->owner, &announcement);
}

static void owner_fixture_listen(struct owner_fixture *f, uint16_t port)
{
	struct http_server_options options = {
		.address = "127.0.0.1",
		.port = port,
	};

	f->server = http_server_create(f->entry.daemon.loop, &options,
				       handle_request, f);
	f->port = http_server_port(f->server);
}

void owner_fixture_stop_listening(struct owner_fixture *f)
{
	http_server_destroy(f->server);
	f->server = NULL;
}

void owner_fixture_listen_again(struct owner_fixture *f)
{
	owner_fixture_listen(f, f->port);
}

void owner_fixture_set_up(struct owner_fixture *f, gconstpointer headers)
{
	struct daemon *daemon = &f->entry.daemon;
	struct peers_role role = {handle_frame, handle_lost, f};
	struct member member = {.host = "esja-02"};

	entry_fixture_set_up(&f->entry, NULL);
	if (headers)
		daemon->headers = headers;
	daemon->http = http_client_create(daemon->loop);
	f->waiting = g_ptr_array_new();
	for (size_t i = 0; i <= OWNER_FIXTURE_ATTEMPTS; i++)
		f->bodies[i] = g_string_new(NULL);
	f->owner = owner_create(daemon);
	owner_fixture_listen(f, 0);
	owner_fixture_announce(f, f->port);
	peers_set_entry_role(daemon->peers, &role);
	f->peer = peers_connect(daemon->peers, &member);
}

void owner_fixture_tear_down(struct owner_fixture *f, gconstpointer unused)
{
	struct daemon *daemon = &f->entry.daemon;

	while (f->waiting->len)
		owner_fixture_answer(f, 0);
	owner_fixture_run_for(f, 10);
	entry_fixture_tear_down(&f->entry, unused);
	owner_destroy(f->owner);
	http_client_destroy(daemon->http);
	http_server_destroy(f->server);
	g_ptr_array_unref(f->waiting);
	for (size_t i = 0; i <= OWNER_FIXTURE_ATTEMPTS; i++)
		g_string_free(f->bodies[i], TRUE);
	memset(f, 0, sizeof(*f));
}
