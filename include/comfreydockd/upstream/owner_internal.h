/*
 * NAME
 *	owner_internal - the owner's state, for the files in upstream/
 */
#ifndef COMFREYDOCKD_UPSTREAM_OWNER_INTERNAL_H
#define COMFREYDOCKD_UPSTREAM_OWNER_INTERNAL_H

#include <ev.h>
#include <glib.h>
#include <stddef.h>

#include "comfreydockd/decide/advertised_limit.h"
#include "comfreydockd/decide/breaker.h"
#include "comfreydockd/decide/cold_start.h"
#include "comfreydockd/decide/knee.h"
#include "comfreydockd/decide/limit.h"
#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/queue.h"
#include "comfreydockd/decide/speed.h"
#include "comfreydockd/decide/warm.h"
#include "comfreydockd/upstream/attempts.h"
#include "comfreydockd/upstream/crash.h"
#include "comfreydockd/upstream/gauge.h"
#include "comfreydockd/upstream/owner.h"
#include "comfreydockd/upstream/probe.h"
#include "comfreydockd/upstream/recent_ids.h"
#include "comfreydockd/upstream/report.h"
#include "comfreydockd/upstream/unread_fields.h"
#include "common/freeze.h"

/* The retry-after that is sent if no estimate is known, as on a drain. */
#define OWNER_RETRY_AFTER_MS 1000

struct owner {
	struct daemon *daemon;
	enum owner_state state;
	struct owner_announcement announced;
	struct report_history history; /* empty if the upstream never reports */
	/* Another start than the announced one listens at its address, or may. That
	 * the port accepts connections says nothing about the announced one. */
	bool is_superseded;
	bool is_closed; /* drained by the operator or by this daemon's stop */
	bool is_stopping;
	bool is_evacuated; /* with the failure domain of this host */
	ev_timer start_check_timer; /* retries the health request */
	struct report_check start_check; /* for a start not confirmed yet */
	struct gauge *gauge;
	struct pace pace; /* how slow the upstream reports its host to be */
	struct knee knee;
	struct breaker breaker; /* opens if the upstream answers no request */
	/* Attempts that wait at the gate, before the queue; see gate.h. */
	TAILQ_HEAD(, owner_attempt) held;
	ev_timer gate_timer;
	struct answer_load load; /* as the upstream last reported it */
	int64_t load_at_us; /* 0: never */
	struct run_pool *pool;
	char pool_instance[REPORT_INSTANCE_MAX]; /* the start that it is of */
	struct recent_ids answered; /* by the upstream, on connections of any pool */
	GPtrArray *old_pools; /* of former addresses; runs may still use them */
	struct limit limit;
	struct warm warm;
	struct cold_start cold;
	bool was_limiting; /* as last logged */
	struct advertised_limit advertised;
	bool limit_is_unreadable; /* as last logged */
	int64_t limit_notified_us; /* when entries were last told of a change */
	ev_timer start_rate_timer; /* dispatches when another may start */
	struct queue queue;
	struct speed speed; /* service time, without the effect of pace */
	struct probe *probe;
	struct crash_watch crash;
	struct unread_fields unread;
	uint32_t running;
	TAILQ_HEAD(, owner_attempt) runs;
	ev_prepare loop_prepare; /* dispatches, once all input was read */
	bool dispatch_is_due;
	ev_timer dispatch_timer;
	ev_timer stale_timer;
	ev_timer sweep_timer; /* aborts hanging runs, see sweep.c */
	int64_t last_sweep_us;
	struct freeze_mark last_sweep;
	int64_t no_start_before_us; /* see handle_loop_prepare() */
	void (*handle_idle)(void *data);
	void *idle_data;
	void (*handle_state)(struct owner *owner, void *data);
	void *state_data;
};

/* owner.c */

/* Adds an attempt to the queue; refuses and frees it if the queue does not
 * accept it. */
void owner_enqueue(struct owner *owner, struct owner_attempt *attempt);
bool owner_has_group(const struct owner *owner, const char *group);

/* Treats the upstream as gone until its next announcement. */
void owner_set_no_upstream(struct owner *owner);

/* Schedules the start of queued attempts for the end of the loop iteration. */
void owner_schedule_dispatch(struct owner *owner);

static inline struct owner_attempt *owner_attempt_of(struct queue_item *item)
{
	return (struct owner_attempt *)((char *)item -
					offsetof(struct owner_attempt, item));
}

/* owner_state.c: the upstream's announcement and state */

/* An upstream that reports its slots and its load gets a fixed limit instead of
 * an estimated one. */
const struct limit_policy *owner_limit_policy(const struct owner *owner);
void owner_announcement_finish(struct owner_announcement *announcement);

/* Calls handle_state, which passes the state on to the other daemons. */
void owner_publish(struct owner *owner);

/* The upstream's port refuses connections, or accepts them again. */
void owner_note_reachable(bool reachable, void *data);

/* cold.c: whether the upstream is cold, see decide/cold_start.h */

/* Reads the limit again, from the configuration and the settings. */
void owner_configure_cold(struct owner *owner);
void owner_note_cold_heartbeat(struct owner *owner, uint32_t cold_ms);
void owner_note_cold_health(struct owner *owner, uint32_t cold_ms);

/* The upstream answered without saying that it is cold. */
void owner_note_not_cold(struct owner *owner);

/* RETURN VALUE: true if the upstream must be asked whether it is cold. */
bool owner_cold_is_outdated(const struct owner *owner);

/* start_rate.c: the rate of starts, as a cold upstream or one with a limit of
 * its own tolerates it; see decide/cold_start.h and decide/advertised_limit.h */
void owner_init_start_rate(struct owner *owner);
void owner_finish_start_rate(struct owner *owner);

/* The upstream stated a limit, or none. source names what stated it, for the
 * log. */
void owner_note_limit(struct owner *owner, const char *text, const char *source);
void owner_note_no_limit(struct owner *owner);

/* The upstream was replaced. unknown: another daemon may have sent requests to
 * the new one. */
void owner_reset_limit(struct owner *owner, bool unknown);

void owner_note_start(struct owner *owner, struct owner_attempt *attempt);

/* RETURN VALUE: how long the rate delays an attempt that is enqueued now. */
int64_t owner_start_wait_us(const struct owner *owner);

/* RETURN VALUE: how many of the slots the rate keeps busy, at least one. */
uint32_t owner_rate_slots(const struct owner *owner, uint32_t slots);

/* RETURN VALUE: false if the rate is used up. A timer then dispatches as soon as
 * another attempt may start. */
bool owner_rate_allows_start(struct owner *owner);

/* sweep.c: the sweep, a timer that aborts runs that hang and detects freezes of
 * this daemon's loop */
void owner_init_sweep(struct owner *owner);
void owner_notice_freeze(struct owner *owner, int64_t now);

/* frames.c: the handlers of the owner's role, for frames from entries */
void owner_fill_role(struct owner *owner, struct peers_role *role);

#endif
