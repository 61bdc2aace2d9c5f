#include "comfreydockd/stop.h"

#include <ev.h>
#include <glib.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/caller/listener.h"
#include "comfreydockd/member/gossip.h"
#include "comfreydockd/member/rows.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/owner.h"
#include "common/clock.h"
#include "common/log.h"

#define CHECK_INTERVAL_S 0.05
/* How long the daemon must be idle after the port was closed, so that the
 * connections accepted last still get their answers. It isn't while a caller
 * reads. */
#define IDLE_BEFORE_LEAVE_US (300 * US_PER_MS)
/* Time to write the last answers to callers before the process exits. */
#define FINAL_ANSWERS_US (100 * US_PER_MS)
/* Time for gossip to spread that this host leaves. */
#define LEAVE_SPREAD_US (500 * US_PER_MS)

enum stop_step {
	STOP_NOT_BEGUN,
	STOP_SERVING, /* a stop has begun, all requests are still served */
	STOP_DRAINING, /* the owner refuses new requests */
	STOP_ANNOUNCING_CLOSE, /* answers say "Connection: close" */
	STOP_REFUSING_CONNECTIONS, /* open connections are still served */
	STOP_REFUSING_REQUESTS, /* on open connections too */
};

struct stop {
	struct daemon *daemon;
	struct listener *listener;
	struct rows *rows;
	ev_timer check;
	enum stop_step step;
	int64_t begun_at_us;
	/* Last check at which a request was in flight or new connections were
	 * still accepted. */
	int64_t last_busy_us;
	int64_t leave_started_us; /* 0: the host hasn't begun to leave */
	bool row_leave_done;
	bool has_cancelled;
	bool has_ended_calls;
	bool is_being_read; /* callers read answers, as of the last check */
};

static bool is_idle(const struct stop *stop)
{
	struct owner_status status;

	owner_get_status(stop->daemon->owner, &status);
	return status.running == 0 && status.queued == 0 &&
	       entry_call_count(stop->daemon->entry) == 0 &&
	       !stop->is_being_read;
}

static void handle_row_leave_done(bool is_deleted, void *data)
{
	struct stop *stop = data;

	(void)is_deleted;
	stop->row_leave_done = true;
}

static void leave(struct stop *stop, int64_t now)
{
	stop->leave_started_us = now;
	gossip_leave(stop->daemon->gossip);
	rows_leave(stop->rows, handle_row_leave_done, stop);
}

/* Takes the steps that are due, several at once if their times are equal. */
static void advance_steps(struct stop *stop, int64_t elapsed_us)
{
	const struct settings_stop *times = &stop->daemon->settings->stop;

	if (stop->step == STOP_SERVING &&
	    elapsed_us >= times->drain_after_ms * US_PER_MS) {
		stop->step = STOP_DRAINING;
		owner_stop(stop->daemon->owner);
	}
	if (stop->step == STOP_DRAINING &&
	    elapsed_us >= times->close_after_ms * US_PER_MS) {
		stop->step = STOP_ANNOUNCING_CLOSE;
		listener_announce_close(stop->listener);
	}
	if (stop->step == STOP_ANNOUNCING_CLOSE &&
	    elapsed_us >= times->refuse_after_ms * US_PER_MS) {
		stop->step = STOP_REFUSING_CONNECTIONS;
		listener_quiesce(stop->listener);
	}
	if (stop->step == STOP_REFUSING_CONNECTIONS &&
	    elapsed_us >= times->turn_away_after_ms * US_PER_MS) {
		stop->step = STOP_REFUSING_REQUESTS;
		listener_turn_away(stop->listener);
	}
}

/*
 * Cancels the calls that no upstream has started when the timeout is reached.
 * Their callers are told that the requests did not run, and can repeat them
 * through another daemon at once. If the process just exited, the callers would
 * see a broken connection and not know whether their requests ran.
 */
static void cancel_unstarted_calls(struct stop *stop)
{
	if (stop->has_cancelled)
		return;
	stop->has_cancelled = true;
	entry_cancel_waiting(stop->daemon->entry);
}

/* Ends the calls that still run when the stop can't wait any longer. Their
 * callers are told that the outcome is unknown. */
static void end_running_calls(struct stop *stop)
{
	if (stop->has_ended_calls)
		return;
	stop->has_ended_calls = true;
	entry_end_all(stop->daemon->entry);
}

/* Callers may still send requests on open connections while the host leaves, so
 * the process exits only while no request is in flight. must_exit overrides
 * that. */
static bool may_exit(const struct stop *stop, int64_t now, bool must_exit)
{
	int64_t leaving_us = now - stop->leave_started_us;

	if (must_exit)
		return true;
	return stop->leave_started_us && is_idle(stop) &&
	       leaving_us >= LEAVE_SPREAD_US &&
	       (stop->row_leave_done ||
		leaving_us >= stop->daemon->settings->stop.leave_ms * US_PER_MS);
}

static void handle_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct stop *stop = timer->data;
	const struct settings *settings = stop->daemon->settings;
	int64_t now = clock_mono_us();
	int64_t elapsed_us = now - stop->begun_at_us;
	/* drain_timeout_ms counts from the step that stops accepting new
	 * connections. */
	int64_t timeout_us = (settings->stop.refuse_after_ms +
			      (int64_t)settings->drain_timeout_ms) *
			     US_PER_MS;
	bool has_timed_out = elapsed_us >= timeout_us;

	(void)events;
	advance_steps(stop, elapsed_us);
	stop->is_being_read = listener_is_being_read(stop->listener);
	listener_end_stalled(stop->listener);
	if (stop->step < STOP_REFUSING_CONNECTIONS || !is_idle(stop))
		stop->last_busy_us = now;
	if (has_timed_out)
		cancel_unstarted_calls(stop);
	if (elapsed_us >= timeout_us + LEAVE_SPREAD_US - FINAL_ANSWERS_US)
		end_running_calls(stop);
	if (!stop->leave_started_us &&
	    (has_timed_out || now - stop->last_busy_us >= IDLE_BEFORE_LEAVE_US))
		leave(stop, now);
	if (!may_exit(stop, now, elapsed_us >= timeout_us + LEAVE_SPREAD_US))
		return;
	log_event(EV_DAEMON_STOPPED,
		  LOG_INT("calls", entry_call_count(stop->daemon->entry)),
		  LOG_INT("being_read", stop->is_being_read));
	ev_break(loop, EVBREAK_ALL);
}

struct stop *stop_create(struct daemon *daemon, struct listener *listener,
			 struct rows *rows)
{
	struct stop *stop = g_new0(struct stop, 1);

	stop->daemon = daemon;
	stop->listener = listener;
	stop->rows = rows;
	ev_timer_init(&stop->check, handle_check, 0.0, CHECK_INTERVAL_S);
	stop->check.data = stop;
	return stop;
}

void stop_destroy(struct stop *stop)
{
	if (!stop)
		return;
	ev_timer_stop(stop->daemon->loop, &stop->check);
	g_free(stop);
}

void stop_begin(struct stop *stop)
{
	if (stop->step != STOP_NOT_BEGUN)
		return;
	stop->step = STOP_SERVING;
	stop->begun_at_us = clock_mono_us();
	stop->last_busy_us = stop->begun_at_us;
	log_event(EV_DAEMON_STOPPING);
	ev_timer_start(stop->daemon->loop, &stop->check);
}

bool stop_has_begun(const struct stop *stop)
{
	return stop->step != STOP_NOT_BEGUN;
}
