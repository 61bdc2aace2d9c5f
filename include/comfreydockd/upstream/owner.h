/*
 * NAME
 *	owner - the only path to this host's upstream
 *
 * DESCRIPTION
 *	Everything that runs on the upstream passes here, so what is running
 *	and queued is known exactly. The owner admits, queues, runs or refuses;
 *	it alone can say "not run", and keeps that word.
 */
#ifndef COMFREYDOCKD_UPSTREAM_OWNER_H
#define COMFREYDOCKD_UPSTREAM_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/daemon.h"

/* What an upstream says of itself. */
struct owner_announcement {
	char **groups;
	char *address; /* IP number, of this host */
	uint16_t port;
	uint32_t slots;
	uint32_t warm_ms;
	bool is_new_start; /* nothing of before is there any more */
	bool is_report; /* one of many: does not take back an operator's drain */
};

enum owner_state {
	OWNER_NO_UPSTREAM,
	OWNER_UP,
	OWNER_DRAINING,
};

struct owner_status {
	enum owner_state state;
	uint32_t slots;
	uint32_t limit;
	uint32_t running;
	uint32_t queued;
	uint32_t expected_wait_us;
	uint32_t pace_percent; /* of the usual time that work takes now */
	int64_t pace_age_us; /* -1: nothing is known yet */
};

struct owner *owner_create(struct daemon *daemon);
void owner_destroy(struct owner *owner);

/* Takes a copy. A second announcement replaces the first. */
void owner_announce(struct owner *owner,
		    const struct owner_announcement *announcement);

/* Refuses all new and queued work as not run from now on; what runs goes on. */
void owner_drain(struct owner *owner);

/* The same, for good: this daemon ends. */
void owner_stop(struct owner *owner);

/* The same, at the wish of the upstream itself: it may take it back. */
void owner_drain_upstream(struct owner *owner);
void owner_resume(struct owner *owner);

/* Another configuration is in force: the measuring budget may be another. */
void owner_note_config(struct owner *owner);

/* Calls back once nothing runs any more, at once if nothing does. */
void owner_when_idle(struct owner *owner, void (*handle_idle)(void *data),
		     void *data);

/* Calls back whenever the state or the announcement has changed. */
void owner_when_changed(struct owner *owner,
			void (*handle_state)(struct owner *owner, void *data),
			void *data);

/* RETURN VALUE: what the upstream last said, or NULL if nothing yet. */
const struct owner_announcement *owner_announced(const struct owner *owner);

void owner_get_status(const struct owner *owner, struct owner_status *status);

#endif
