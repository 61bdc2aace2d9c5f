/*
 * NAME
 *	owner_fixture - an owner, and an entry's end of a link in memory
 *
 * DESCRIPTION
 *	The upstream is an HTTP server in the test. It holds each request until the
 *	test answers it, with the request's path.
 */
#ifndef TESTS_OWNER_FIXTURE_H
#define TESTS_OWNER_FIXTURE_H

#include <glib.h>

#include "comfreydockd/peer/peers.h"
#include "common/http_server.h"
#include "entry_fixture.h"

#define OWNER_FIXTURE_ATTEMPTS 12
#define OWNER_FIXTURE_GROUP "g"

struct owner_fixture {
	struct entry_fixture entry;
	struct owner *owner;
	struct http_server *server;
	uint16_t port; /* of the upstream */
	struct peer *peer; /* the entry's end */
	GPtrArray *waiting; /* of http_request */
	/* By the number in the path. */
	unsigned int runs[OWNER_FIXTURE_ATTEMPTS + 1];
	/* By seq: */
	GString *bodies[OWNER_FIXTURE_ATTEMPTS + 1]; /* of the answers */
	unsigned int ends[OWNER_FIXTURE_ATTEMPTS + 1]; /* frames that end it */
	bool was_aborted[OWNER_FIXTURE_ATTEMPTS + 1]; /* within the answer */
	bool was_refused[OWNER_FIXTURE_ATTEMPTS + 1];
	bool was_answered[OWNER_FIXTURE_ATTEMPTS + 1];
	bool was_cancelled[OWNER_FIXTURE_ATTEMPTS + 1]; /* once it was sent */
};

/* Announces the upstream. headers: the names of the fields; NULL: the project's
 * own. */
void owner_fixture_set_up(struct owner_fixture *f, gconstpointer headers);
void owner_fixture_tear_down(struct owner_fixture *f, gconstpointer unused);

/* Advances the paused clock while the loop runs. */
void owner_fixture_run_for(struct owner_fixture *f, int ms);

/* Announces a new start of the upstream, at this port. */
void owner_fixture_announce(struct owner_fixture *f, uint16_t port);

/* The upstream's port refuses connections, or accepts them again. */
void owner_fixture_stop_listening(struct owner_fixture *f);
void owner_fixture_listen_again(struct owner_fixture *f);

/* Waits until this many requests are held. */
void owner_fixture_wait_for_runs(struct owner_fixture *f, guint count);

/* Answers one of the requests that are held. */
void owner_fixture_answer(struct owner_fixture *f, guint index);

/* Sends an attempt to the group, with the path "/NUMBER". */
void owner_fixture_send(struct owner_fixture *f, uint64_t seq, int number,
			bool idempotent);
void owner_fixture_send_for(struct owner_fixture *f, uint64_t seq, int number,
			    bool idempotent, uint32_t remaining_ms);

#endif
