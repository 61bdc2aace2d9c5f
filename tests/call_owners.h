/*
 * NAME
 *	call_owners - an entry with two owners that send what a test says
 *
 * DESCRIPTION
 *	The first owner is beside the entry, on the link in memory. The second is
 *	on another host, "hekla-02", with a connection over TCP. Both have the
 *	group "g".
 */
#ifndef TESTS_CALL_OWNERS_H
#define TESTS_CALL_OWNERS_H

#include "comfreydockd/peer/peers_internal.h"
#include "entry_fixture.h"

#define CALL_OWNERS 2

struct call_owners {
	struct entry_fixture entry;
	struct settings settings; /* of the second owner */
	struct daemon daemon;
};

/* Names of the owners' hosts. */
extern const char *const call_owner_hosts[CALL_OWNERS];

/* roles: one for each owner */
void call_owners_set_up(struct call_owners *owners, const char *config,
			const struct peers_role roles[CALL_OWNERS]);
void call_owners_tear_down(struct call_owners *owners);

/* Advances the paused clock while the loop handles the links. */
void call_owners_run_for(struct call_owners *owners, int ms);

/* Frames from an owner. A part without text ends the answer, as complete or as
 * aborted. */
void call_owner_send_head(struct peer *peer, uint64_t seq, uint32_t status);
void call_owner_send_part(struct peer *peer, uint64_t seq, const char *text,
			  bool ends);
void call_owner_send_not_run(struct peer *peer, uint64_t seq, Cfd__Reason reason);
void call_owner_send_failed(struct peer *peer, uint64_t seq);

#endif
