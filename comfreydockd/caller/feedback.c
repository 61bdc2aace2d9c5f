#include "comfreydockd/caller/feedback.h"

#include "comfreydockd/decide/health.h"
#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/pick.h"
#include "common/clock.h"

const struct pick_load *feedback_read_load(const Cfd__Load *load,
					   struct pick_load *out)
{
	if (!load)
		return NULL;
	out->running = load->running;
	out->queued = load->queued;
	out->limit = load->limit;
	out->expected_wait_us = load->expected_wait_us;
	out->service_us = load->service_us;
	out->pace_percent = load->pace_percent;
	return out;
}

static enum health_outcome health_outcome_of(enum attempt_end end)
{
	switch (end) {
	case ATTEMPT_FAILED:
		return HEALTH_ERROR;
	case ATTEMPT_LOST:
	case ATTEMPT_UNREACHED:
		return HEALTH_LOST;
	case ATTEMPT_TIMED_OUT:
		return HEALTH_TIMEOUT;
	default:
		return HEALTH_OK;
	}
}

static void report_to_pick(struct entry_attempt *attempt, enum attempt_end end,
			   const struct pick_load *load, int64_t now)
{
	struct pick_set *picks = &attempt->upstream->service->picks;
	struct pick_candidate *candidate = &attempt->upstream->candidate;
	int64_t until_us = attempt->head_us ? attempt->head_us : now;
	int64_t latency_us = pace_nominal_us(attempt->pace_percent,
					     until_us - attempt->sent_us);

	if (end == ATTEMPT_ANSWERED)
		pick_note_done(picks, candidate, latency_us, load, now);
	else if (end == ATTEMPT_REFUSED || end == ATTEMPT_REFUSED_BUSY)
		pick_note_refused(picks, candidate, end == ATTEMPT_REFUSED_BUSY,
				  load, now);
	else
		pick_note_failed(picks, candidate, latency_us, load, now);
}

static void report_to_health(struct entry_attempt *attempt,
			     enum attempt_end end, int64_t now)
{
	struct health *health = &attempt->upstream->service->health;
	struct health_upstream *upstream = &attempt->upstream->health;

	if (end == ATTEMPT_REFUSED || end == ATTEMPT_REFUSED_BUSY)
		health_note_refused(health, upstream, attempt->epoch, true, now);
	else if (end == ATTEMPT_CANCELLED)
		health_note_refused(health, upstream, attempt->epoch, false, now);
	else
		health_note_ended(health, upstream, attempt->epoch,
				  health_outcome_of(end), now);
}

void feedback_note_end(struct entry_attempt *attempt, enum attempt_end end,
		       const Cfd__Load *load)
{
	struct pick_load pick_load;
	int64_t now = clock_mono_us();

	if (!attempt->upstream->listed)
		return;
	report_to_pick(attempt, end, feedback_read_load(load, &pick_load), now);
	report_to_health(attempt, end, now);
}

void feedback_note_load(struct entry_attempt *attempt, const Cfd__Load *load,
			int64_t now_us)
{
	struct service_upstream *upstream = attempt->upstream;
	struct pick_load pick_load;

	service_upstream_note_heard(upstream, now_us);
	if (load && upstream->listed)
		pick_note_load(&upstream->service->picks, &upstream->candidate,
			       feedback_read_load(load, &pick_load), now_us);
}
