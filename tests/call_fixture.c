#include "call_fixture.h"

#include <errno.h>
#include <ev.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "comfreydockd/member/member.h"
#include "common/clock.h"
#include "common/socket.h"
#include "paused_clock.h"

#define HOST "esja-02" /* the host of the fixture */

#define CONFIG                                                         \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"h\"]," \
	"\"group\":\"g\",\"rules\":[{\"name\":\"r\",\"path_prefix\":"  \
	"\"/\",\"idempotent\":true,\"deadline_ms\":" G_STRINGIFY(DEADLINE_MS) "}]}}}"

void cf_send_head_as(const struct fixture *f, uint32_t status, int64_t length,
		     const char *name, const char *value)
{
	Cfd__Answer answer = CFD__ANSWER__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	Cfd__Header header = CFD__HEADER__INIT;
	Cfd__Header *headers[] = {&header};

	header.name = (char *)name;
	header.value = (char *)value;
	answer.seq = f->seq;
	answer.status = status;
	answer.length = length;
	answer.headers = headers;
	answer.n_headers = name ? 1 : 0;
	frame.kind_case = CFD__FRAME__KIND_ANSWER;
	frame.answer = &answer;
	peer_send(f->peer, &frame);
}

void cf_send_head(const struct fixture *f, int64_t length)
{
	cf_send_head_as(f, 200, length, NULL, NULL);
}

void cf_send_last_part(const struct fixture *f, size_t size, bool ends,
		       bool aborted)
{
	Cfd__AnswerBody body = CFD__ANSWER_BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;
	char *bytes = g_strnfill(size, 'b');

	body.seq = f->seq;
	body.data.data = (uint8_t *)bytes;
	body.data.len = size;
	body.ends = ends;
	body.aborted = aborted;
	frame.kind_case = CFD__FRAME__KIND_ANSWER_BODY;
	frame.answer_body = &body;
	peer_send(f->peer, &frame);
	g_free(bytes);
}

void cf_send_part(const struct fixture *f, size_t size, bool ends)
{
	cf_send_last_part(f, size, ends, false);
}

/* Answers to /silent are left to the test. */
static void handle_attempt(struct peer *peer, Cfd__Frame *frame, void *data)
{
	struct fixture *f = data;
	const char *target;

	f->cancels += frame->kind_case == CFD__FRAME__KIND_CANCEL;
	if (frame->kind_case != CFD__FRAME__KIND_ATTEMPT)
		return;
	target = frame->attempt->target;
	f->peer = peer;
	f->seq = frame->attempt->seq;
	f->attempts++;
	if (strcmp(target, "/short-head") == 0)
		cf_send_head(f, SHORT_BYTES);
	if (strcmp(target, "/long-head") == 0)
		cf_send_head(f, LONG_BYTES);
	if (strcmp(target, "/no-length-part") == 0) {
		cf_send_head(f, -1);
		cf_send_part(f, PART_BYTES, false);
	}
	if (strcmp(target, "/short-part") == 0) {
		cf_send_head(f, SHORT_BYTES);
		cf_send_part(f, PART_BYTES, false);
	}
	if (strcmp(target, "/long-part") == 0) {
		cf_send_head(f, LONG_BYTES);
		cf_send_part(f, PART_BYTES, false);
	}
}

static void handle_lost(struct peer *peer, const char *error, void *data)
{
	struct fixture *f = data;

	(void)peer;
	(void)error;
	f->peer = NULL;
}

static void add_member(struct fixture *f)
{
	char *groups[] = {(char *)"g", NULL};
	struct member member = {.host = HOST,
				.address = "127.0.0.1",
				.incarnation = 1,
				.domain = "d",
				.region = "r",
				.peer_port = 1,
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups,
				.slots = 64};

	member_table_update(f->entry.daemon.members, &member, clock_mono_us());
}

void cf_set_up(struct fixture *f, gconstpointer unused)
{
	struct peers_role role = {
		.handle_frame = handle_attempt,
		.handle_lost = handle_lost,
		.data = f,
	};
	struct settings *settings = &f->entry.settings;

	settings->domain = (char *)"d";
	settings->caller.address = (char *)"127.0.0.1";
	settings->max_connections = 8;
	settings->max_head_bytes = 4096;
	entry_fixture_set_up(&f->entry, unused);
	entry_fixture_adopt(&f->entry, 1, CONFIG);
	add_member(f);
	peers_set_owner_role(f->entry.daemon.peers, &role);
	f->listener = listener_create(&f->entry.daemon);
	g_assert_nonnull(f->listener);
	f->fd = socket_connect("127.0.0.1", listener_port(f->listener));
	g_assert_cmpint(f->fd, >=, 0);
	f->answers = g_string_new(NULL);
}

void cf_tear_down(struct fixture *f, gconstpointer unused)
{
	close(f->fd);
	listener_destroy(f->listener);
	entry_fixture_tear_down(&f->entry, unused);
	g_string_free(f->answers, TRUE);
}

static void read_answers(struct fixture *f)
{
	char bytes[65536];
	ssize_t size;

	while ((size = recv(f->fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0)
		g_string_append_len(f->answers, bytes, size);
	f->is_closed |= size == 0 && !f->is_reset;
	f->is_reset |= size < 0 && errno == ECONNRESET;
}

void cf_run_due(struct fixture *f)
{
	for (int i = 0; i < 10; i++) {
		ev_run(f->entry.daemon.loop, EVRUN_NOWAIT);
		read_answers(f);
	}
}

void cf_run_for(struct fixture *f, int ms)
{
	for (int i = 0; i < ms; i += STEP_MS) {
		paused_clock_advance_us(STEP_MS * US_PER_MS);
		cf_run_due(f);
	}
}

void cf_send_text(struct fixture *f, const char *text)
{
	g_assert_cmpint(send(f->fd, text, strlen(text), MSG_NOSIGNAL), ==,
			strlen(text));
	cf_run_due(f);
}

void cf_send_requests(struct fixture *f, const char *target, int count)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < count; i++)
		g_string_append_printf(
			text, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target);
	cf_send_text(f, text->str);
	g_string_free(text, TRUE);
}

unsigned int cf_count_answers(const struct fixture *f, const char *status)
{
	char *line = g_strconcat("HTTP/1.1 ", status, NULL);
	const char *at = f->answers->str;
	unsigned int count = 0;

	for (; (at = strstr(at, line)); at++)
		count++;
	g_free(line);
	return count;
}
