#include "comfreydockd/upstream/attempts.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/freeze.h"

#define SWEEP_S 0.1
/* A run without an answer's head, or without a caller, is aborted this long after its
 * deadline: nobody waits for it, and its slot would otherwise never be freed. */
#define DEADLINE_GRACE_US (1 * US_PER_S)
/* A run whose answer has stopped for this long is aborted once its deadline is
 * over. An answer that still arrives may take as long as it needs. */
#define ANSWER_PAUSE_US (5 * US_PER_S)
/* A run whose caller reads no byte of its answer for this long is aborted. */
#define STALL_US (60 * US_PER_S)
/* The same while the daemon stops. */
#define STOPPING_STALL_US (10 * US_PER_S)
/* A loop without an iteration for this long was stopped or starved. */
#define FREEZE_US (300 * US_PER_MS)
/* After a freeze no attempt starts for this long. Frames that entries sent
 * during the freeze, above all cancels and closed connections, are partly still
 * in the entries' own send buffers and arrive only now. If an entry takes longer
 * to reply to a ping, its attempts are refused until then. */
#define POST_FREEZE_READ_US (50 * US_PER_MS)

/* The sweep goes through all running attempts every SWEEP_S. */
static void owner_mark_sweep(struct owner *owner, int64_t now)
{
	owner->last_sweep_us = now;
	freeze_take_mark(&owner->last_sweep);
}

/* A sweep is due every SWEEP_S, so a long gap since the last one shows that the
 * loop stood still. */
void owner_notice_freeze(struct owner *owner, int64_t now)
{
	if (now - owner->last_sweep_us <= FREEZE_US)
		return;
	counters.owner_freezes++;
	freeze_log(EV_OWNER_FROZEN, now - owner->last_sweep_us,
		   &owner->last_sweep);
	owner_mark_sweep(owner, now);
	owner->no_start_before_us = now + POST_FREEZE_READ_US;
	peers_ping_entries(owner->daemon->peers);
}

/* RETURN VALUE: why the run has to end; NULL: it need not. */
static const char *find_abort_reason(const struct owner_attempt *attempt,
				     int64_t now)
{
	int64_t stall_us =
		attempt->owner->is_stopping ? STOPPING_STALL_US : STALL_US;

	if (!attempt->head_us)
		return now > attempt->item.deadline_us + DEADLINE_GRACE_US ?
			       "no answer long after deadline" :
			       NULL;
	if (!attempt->peer && now > attempt->item.deadline_us + DEADLINE_GRACE_US)
		return "no caller waits for the rest of the answer";
	if (attempt->stalled_since_us)
		return now - attempt->stalled_since_us > stall_us ?
			       "the caller takes nothing" :
			       NULL;
	if (now > attempt->item.deadline_us + DEADLINE_GRACE_US &&
	    now - attempt->progress_us > ANSWER_PAUSE_US)
		return "the answer stopped";
	return NULL;
}

static void owner_sweep_runs(struct owner *owner, int64_t now)
{
	struct owner_attempt *attempt = TAILQ_FIRST(&owner->runs);

	while (attempt) {
		struct owner_attempt *next = TAILQ_NEXT(attempt, running_link);

		const char *why = find_abort_reason(attempt, now);
		bool is_upstreams_fault = !attempt->stalled_since_us;

		if (why) {
			attempt_abort(attempt, why);
			if (is_upstreams_fault)
				owner_note_breaker_result(owner, false);
		}
		attempt = next;
	}
}

static void handle_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct owner *owner = timer->data;
	int64_t now = clock_mono_us();

	(void)loop;
	(void)events;
	owner_notice_freeze(owner, now);
	owner_mark_sweep(owner, now);
	owner_sweep_runs(owner, now);
	owner_configure_cold(owner);
	/* The slots of a warming upstream grow with time, without an event. */
	if (queue_length(&owner->queue))
		owner_schedule_dispatch(owner);
}

void owner_init_sweep(struct owner *owner)
{
	owner_mark_sweep(owner, clock_mono_us());
	ev_timer_init(&owner->sweep_timer, handle_sweep, SWEEP_S, SWEEP_S);
	owner->sweep_timer.data = owner;
}
