#include "call_owners.h"

#include <ev.h>
#include <string.h>

#include "comfreydockd/member/member.h"
#include "common/clock.h"
#include "paused_clock.h"

const char *const call_owner_hosts[CALL_OWNERS] = {"esja-02", "hekla-02"};

static void add_member(struct call_owners *owners, const char *host, uint16_t port)
{
	char *groups[] = {(char *)"g", NULL};
	struct member member = {.address = "127.0.0.1",
				.incarnation = 1,
				.domain = "d",
				.region = "r",
				.peer_port = port,
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups,
				.slots = 64};

	g_strlcpy(member.host, host, sizeof(member.host));
	member_table_update(owners->entry.daemon.members, &member,
			    clock_mono_us());
}

static void set_key(struct settings *settings)
{
	settings->peer_key = (uint8_t *)"key";
	settings->peer_key_size = strlen("key");
}

void call_owners_set_up(struct call_owners *owners, const char *config,
			const struct peers_role roles[CALL_OWNERS])
{
	struct daemon *daemon = &owners->daemon;

	set_key(&owners->entry.settings);
	owners->entry.settings.domain = (char *)"d";
	entry_fixture_set_up(&owners->entry, NULL);
	entry_fixture_adopt(&owners->entry, 1, config);
	owners->settings.host = (char *)call_owner_hosts[1];
	owners->settings.peer.address = (char *)"127.0.0.1";
	set_key(&owners->settings);
	daemon->loop = owners->entry.daemon.loop;
	daemon->settings = &owners->settings;
	daemon->members = member_table_create();
	daemon->peers = peers_create(daemon);
	for (int i = 0; i < CALL_OWNERS; i++) {
		struct peers *peers =
			i ? daemon->peers : owners->entry.daemon.peers;

		peers_set_owner_role(peers, &roles[i]);
		add_member(owners, call_owner_hosts[i], peers_port(peers));
	}
}

void call_owners_tear_down(struct call_owners *owners)
{
	entry_fixture_tear_down(&owners->entry, NULL);
	peers_destroy(owners->daemon.peers);
	member_table_destroy(owners->daemon.members);
}

void call_owners_run_for(struct call_owners *owners, int ms)
{
	for (int i = 0; i < ms; i++) {
		paused_clock_advance_us(US_PER_MS);
		for (int j = 0; j < 4; j++)
			ev_run(owners->entry.daemon.loop, EVRUN_NOWAIT);
	}
}

void call_owner_send_part(struct peer *peer, uint64_t seq, const char *text,
			  bool ends)
{
	Cfd__AnswerBody body = CFD__ANSWER_BODY__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	body.seq = seq;
	body.data.data = (uint8_t *)text;
	body.data.len = strlen(text);
	body.ends = ends;
	body.aborted = !ends && !*text;
	frame.kind_case = CFD__FRAME__KIND_ANSWER_BODY;
	frame.answer_body = &body;
	peer_send(peer, &frame);
}

void call_owner_send_head(struct peer *peer, uint64_t seq, uint32_t status)
{
	Cfd__Answer answer = CFD__ANSWER__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	answer.seq = seq;
	answer.status = status;
	answer.length = -1;
	frame.kind_case = CFD__FRAME__KIND_ANSWER;
	frame.answer = &answer;
	peer_send(peer, &frame);
}

void call_owner_send_not_run(struct peer *peer, uint64_t seq, Cfd__Reason reason)
{
	Cfd__NotRun not_run = CFD__NOT_RUN__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	not_run.seq = seq;
	not_run.reason = reason;
	frame.kind_case = CFD__FRAME__KIND_NOT_RUN;
	frame.not_run = &not_run;
	peer_send(peer, &frame);
}

void call_owner_send_failed(struct peer *peer, uint64_t seq)
{
	Cfd__Failed failed = CFD__FAILED__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	failed.seq = seq;
	frame.kind_case = CFD__FRAME__KIND_FAILED;
	frame.failed = &failed;
	peer_send(peer, &frame);
}
