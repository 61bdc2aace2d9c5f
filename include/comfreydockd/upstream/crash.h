/*
 * NAME
 *	crash - what ran at an upstream as it ended
 *
 * DESCRIPTION
 *	Internal to upstream/. Runs that the upstream broke off within
 *	CRASH_WINDOW_MS of each other are kept until it is known whether the
 *	upstream itself has ended: nobody listens at its address any more, or
 *	another start has followed. One that still listens has only dropped
 *	connections, and what was kept is forgotten.
 *
 *	Requests that the quarantine holds are refused here, and are run as a
 *	trial where it names this host.
 *
 *	A daemon that is gone itself, as where its host lost its power, tells
 *	of no crash.
 */
#ifndef COMFREYDOCKD_UPSTREAM_CRASH_H
#define COMFREYDOCKD_UPSTREAM_CRASH_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/timeline.h"

struct owner;
struct owner_attempt;

#define CRASH_RUNS_MAX 32
#define CRASH_WINDOW_MS 200
#define CRASH_CONFIRM_MS 10000 /* a later start tells nothing of these runs */

struct crash_run {
	char trace[TIMELINE_TRACE_MAX];
	uint64_t content;
	int64_t started_us;
};

struct crash_watch {
	struct crash_run runs[CRASH_RUNS_MAX];
	unsigned int count;
	int64_t broken_us; /* the last of them */
	unsigned int checks; /* made since */
	ev_timer check;
};

void crash_init(struct owner *owner);
void crash_finish(struct owner *owner);

/* The upstream broke the run off. */
void crash_note_broken(struct owner *owner, const struct owner_attempt *attempt);

/* The upstream has ended, as is known by a refused connection or a new start:
 * what ran there is marked in the daemon's quarantine. */
void crash_confirm(struct owner *owner, const char *by);

/* A run has ended; is_served: by a whole answer that tells of no failure. An
 * upstream that fails all requests has perhaps begun to run none. */
void crash_note_finished(struct owner *owner,
			 const struct owner_attempt *attempt, bool is_served);

/*
 * An attempt arrives, and its turn comes.
 *
 * RETURN VALUE: false where its request is held: it was refused and freed.
 */
bool crash_may_queue(struct owner *owner, struct owner_attempt *attempt);
bool crash_may_start(struct owner *owner, struct owner_attempt *attempt);

#endif
