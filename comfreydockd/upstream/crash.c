#include "comfreydockd/upstream/crash.h"

#include <string.h>

#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/id.h"
#include "common/key_text.h"
#include "common/log.h"
#include "common/timer.h"

/* Delays before each check whether the upstream still listens. The first check
 * is almost immediate, the second is for a kernel that was slow to close the
 * upstream's socket. */
static const int64_t check_delays_ms[] = {20, 250};

/* Discards the recorded runs. Ends the trials among them, which were left open
 * by crash_note_run_result(); for other requests quarantine_end_trial() has no
 * effect. */
static void crash_clear(struct owner *owner)
{
	for (unsigned int i = 0; i < owner->crash.count; i++)
		quarantine_end_trial(owner->daemon->quarantine,
				     owner->crash.runs[i].content);
	owner->crash.count = 0;
	ev_timer_stop(owner->daemon->loop, &owner->crash.port_check_timer);
}

/* Schedules the next check of the port. If the upstream still listens at the
 * last one, it is taken not to have crashed, and the recorded runs are
 * discarded. */
static void crash_schedule_next_check(struct owner *owner)
{
	struct crash_watch *watch = &owner->crash;

	if (watch->checks >= G_N_ELEMENTS(check_delays_ms)) {
		crash_clear(owner);
		return;
	}
	timer_restart_us(owner->daemon->loop, &watch->port_check_timer,
			 check_delays_ms[watch->checks] * US_PER_MS);
}

static void handle_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct owner *owner = timer->data;

	(void)events;
	ev_timer_stop(loop, timer);
	owner->crash.checks++;
	if (probe_upstream_is_listening(owner->probe))
		crash_schedule_next_check(owner);
	else
		crash_confirm(owner, "refused");
}

void crash_init(struct owner *owner)
{
	ev_init(&owner->crash.port_check_timer, handle_check);
	owner->crash.port_check_timer.data = owner;
}

void crash_finish(struct owner *owner)
{
	ev_timer_stop(owner->daemon->loop, &owner->crash.port_check_timer);
}

void crash_note_broken(struct owner *owner, const struct owner_attempt *attempt)
{
	struct crash_watch *watch = &owner->crash;
	int64_t now = clock_mono_us();
	struct crash_run *run;

	if (now - watch->last_broken_us > CRASH_WINDOW_MS * US_PER_MS)
		crash_clear(owner);
	watch->last_broken_us = now;
	if (watch->count == 0) {
		watch->checks = 0;
		crash_schedule_next_check(owner);
	}
	if (watch->count == CRASH_RUNS_MAX)
		return;
	run = &watch->runs[watch->count++];
	trace_label(attempt->request->trace, run->trace);
	run->content = attempt->request->content_key;
	run->started_us = attempt->started_us;
}

/* Requests with equal content, also of different callers, are one request to
 * the quarantine, which one crash marks only once. */
static bool is_first_of_content(const struct crash_watch *watch, unsigned int at)
{
	for (unsigned int i = 0; i < at; i++) {
		if (watch->runs[i].content == watch->runs[at].content)
			return false;
	}
	return true;
}

/*
 * RETURN VALUE: the outcome for the log. "marked": the request now has a mark;
 * "again": another run of the same request was marked for this crash;
 * "spared": the quarantine did not mark it, as it was answered recently or the
 * table is full of held requests; "unknown": it has no content hash.
 */
static const char *mark_crashed_run(struct owner *owner, unsigned int at,
				    uint64_t crash_id)
{
	const struct crash_watch *watch = &owner->crash;

	if (watch->runs[at].content == 0)
		return "unknown";
	if (!is_first_of_content(watch, at))
		return "again";
	if (quarantine_note_crash(owner->daemon->quarantine,
				  watch->runs[at].content, crash_id,
				  clock_mono_us()))
		return "marked";
	counters.quarantine_spared++;
	return "spared";
}

static void mark_and_log_crashed_run(struct owner *owner, unsigned int at,
				     uint64_t crash_id)
{
	const struct crash_run *run = &owner->crash.runs[at];
	const char *outcome = mark_crashed_run(owner, at, crash_id);
	char content[KEY_TEXT_SIZE];

	timeline_log(&owner->daemon->timeline, run->trace, EV_OWNER_RAN_AT_CRASH,
		     LOG_STR("content", key_text(run->content, content)),
		     LOG_STR("outcome", outcome),
		     LOG_INT("ran_us",
			     owner->crash.last_broken_us - run->started_us));
}

void crash_confirm(struct owner *owner, const char *by)
{
	struct crash_watch *watch = &owner->crash;
	int64_t age_us = clock_mono_us() - watch->last_broken_us;
	uint64_t crash_id;

	if (watch->count == 0)
		return;
	if (age_us <= CRASH_CONFIRM_MS * US_PER_MS) {
		crash_id = quarantine_crash_id(
			member_host_hash(owner->daemon->settings->host),
			id_random_u64());
		counters.owner_crashes++;
		log_event(EV_OWNER_CRASHED, LOG_STR("by", by),
			  LOG_STR("instance", owner->history.instance),
			  LOG_INT("runs", watch->count),
			  LOG_INT("age_us", age_us));
		for (unsigned int i = 0; i < watch->count; i++)
			mark_and_log_crashed_run(owner, i, crash_id);
	}
	crash_clear(owner);
}

static bool is_watched(const struct crash_watch *watch, uint64_t content)
{
	for (unsigned int i = 0; i < watch->count; i++) {
		if (watch->runs[i].content == content)
			return true;
	}
	return false;
}

void crash_note_run_result(struct owner *owner,
			   const struct owner_attempt *attempt, bool is_served)
{
	struct quarantine *quarantine = owner->daemon->quarantine;
	uint64_t content = attempt->request->content_key;

	if (content == 0)
		return;
	/* If the run is recorded, the upstream may have crashed. Its trial then
	 * stays open until this is known, as a crash makes the trial a failed
	 * one. */
	if (is_served)
		quarantine_note_answer(quarantine, content, clock_mono_us());
	else if (attempt->is_trial && !is_watched(&owner->crash, content))
		quarantine_end_trial(quarantine, content);
}

/* A request that may run as a trial only at another host is held here. */
static struct quarantine_decision
check_quarantine(const struct owner *owner, const struct owner_attempt *attempt)
{
	const char *host = owner->daemon->settings->host;
	struct quarantine_decision decision =
		quarantine_judge(owner->daemon->quarantine,
				 attempt->request->content_key, clock_mono_us());

	if (decision.verdict == QUARANTINE_TRIAL &&
	    decision.trial_host != member_host_hash(host))
		decision.verdict = QUARANTINE_HELD;
	return decision;
}

static void refuse_quarantined(struct owner_attempt *attempt, int64_t left_us)
{
	counters.quarantine_refused++;
	attempt_owner_step(&attempt->state, OWNER_REFUSE);
	attempt_refuse(attempt, CFD__REASON__REASON_QUARANTINED,
		       (uint32_t)(MAX(left_us, 0) / US_PER_MS));
}

bool owner_quarantine_admit_arrival(struct owner *owner,
				    struct owner_attempt *attempt)
{
	struct quarantine_decision decision = check_quarantine(owner, attempt);

	if (decision.verdict != QUARANTINE_HELD)
		return true;
	refuse_quarantined(attempt, decision.left_us);
	return false;
}

static void begin_trial(struct owner *owner, struct owner_attempt *attempt)
{
	char content[KEY_TEXT_SIZE];
	uint64_t key = attempt->request->content_key;

	attempt->is_trial = true;
	counters.quarantine_trials++;
	quarantine_begin_trial(owner->daemon->quarantine, key);
	timeline_log(&owner->daemon->timeline, attempt->request->trace,
		     EV_QUARANTINE_TRIAL,
		     LOG_STR("content", key_text(key, content)));
}

bool owner_quarantine_admit_start(struct owner *owner,
				  struct owner_attempt *attempt)
{
	struct quarantine_decision decision = check_quarantine(owner, attempt);

	if (decision.verdict == QUARANTINE_HELD) {
		refuse_quarantined(attempt, decision.left_us);
		return false;
	}
	if (decision.verdict == QUARANTINE_TRIAL)
		begin_trial(owner, attempt);
	return true;
}
