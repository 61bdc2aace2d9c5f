/*
 * NAME
 *	owner - admits and runs all requests of this host's upstream
 *
 * DESCRIPTION
 *	Every request to the upstream passes through its owner, which therefore
 *	knows exactly what is running and queued. The owner admits, queues, runs
 *	or refuses an attempt. Only the owner can say that an attempt was not
 *	run, and it never runs the attempt after that.
 */
#ifndef COMFREYDOCKD_UPSTREAM_OWNER_H
#define COMFREYDOCKD_UPSTREAM_OWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/daemon.h"

/* What an upstream announces about itself. */
struct owner_announcement {
	char **groups;
	char *address; /* IP number, of this host */
	uint16_t port;
	uint32_t slots;
	uint32_t warm_ms;
	bool is_new_start; /* a new process: earlier state is discarded */
	bool is_report; /* heartbeats don't undo an operator's drain */
};

enum owner_state {
	OWNER_NO_UPSTREAM,
	OWNER_UP,
	OWNER_DRAINING,
};

struct owner_status {
	enum owner_state state;
	bool is_evacuated;
	uint32_t slots;
	uint32_t limit;
	uint32_t running;
	uint32_t queued;
	uint32_t expected_wait_us;
	uint32_t pace_percent; /* current service time, in % of the usual */
	int64_t pace_age_us; /* -1: the pace is not known yet */
	bool states_limit; /* the upstream states a limit of its own */
	double limit_per_s; /* if it does */
};

struct owner *owner_create(struct daemon *daemon);
void owner_destroy(struct owner *owner);

/* Takes a copy. A second announcement replaces the first. */
void owner_announce(struct owner *owner,
		    const struct owner_announcement *announcement);

/* Drains for the operator: refuses all new and queued attempts as not run, and
 * lets running ones finish. */
void owner_drain(struct owner *owner);

/* Drains for good, as this daemon is stopping. */
void owner_stop(struct owner *owner);

/* Drains at the request of the upstream itself, which may announce itself
 * again later. */
void owner_drain_upstream(struct owner *owner);
void owner_resume(struct owner *owner);

/* The failure domain of this host was evacuated or restored. While it is
 * evacuated, the owner refuses all attempts that it has not begun. */
void owner_set_evacuated(struct owner *owner, bool is_evacuated);

/* The configuration has changed, and with it perhaps the measuring budget. */
void owner_note_config(struct owner *owner);

/* Calls back once nothing runs or waits any more; at once if that is so now. */
void owner_when_idle(struct owner *owner, void (*handle_idle)(void *data),
		     void *data);

/* Calls back whenever the state or the announcement has changed. */
void owner_when_changed(struct owner *owner,
			void (*handle_state)(struct owner *owner, void *data),
			void *data);

/* RETURN VALUE: the last announcement, or NULL if there was none yet. */
const struct owner_announcement *owner_announced(const struct owner *owner);

void owner_get_status(const struct owner *owner, struct owner_status *status);

#endif
