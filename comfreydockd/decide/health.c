#include "comfreydockd/decide/health.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define HEALTH_JITTER 0.2

void health_init(struct health *health, const struct health_policy *policy,
		 uint64_t seed)
{
	health->policy = policy;
	health->random.state = seed;
	health->last_trial_us = 0;
	TAILQ_INIT(&health->upstreams);
}

static bool is_in_use(const struct health_upstream *upstream)
{
	return upstream->available && upstream->state == HEALTH_CLOSED;
}

static void set_state(struct health_upstream *upstream, enum health_state state)
{
	upstream->state = state;
	upstream->epoch++;
	upstream->trials_out = 0;
	upstream->trials_passed = 0;
}

static void close_circuit(struct health_upstream *upstream)
{
	set_state(upstream, HEALTH_CLOSED);
	upstream->error_rate = 0;
	upstream->samples = 0;
	upstream->streak = 0;
}

/* Once the other upstreams have left, all available ones may be ejected. The
 * service would then refuse every call although an upstream is ready, so the
 * upstream whose ejection ends first is taken back. */
static void keep_one_in_use(struct health *health)
{
	struct health_upstream *upstream;
	struct health_upstream *best = NULL;

	TAILQ_FOREACH (upstream, &health->upstreams, link) {
		if (!upstream->available)
			continue;
		if (upstream->state == HEALTH_CLOSED)
			return;
		if (!best || upstream->ejected_until_us < best->ejected_until_us)
			best = upstream;
	}
	if (best)
		close_circuit(best);
}

void health_add(struct health *health, struct health_upstream *upstream,
		bool available)
{
	memset(upstream, 0, sizeof(*upstream));
	upstream->available = available;
	TAILQ_INSERT_TAIL(&health->upstreams, upstream, link);
	keep_one_in_use(health);
}

void health_remove(struct health *health, struct health_upstream *upstream)
{
	TAILQ_REMOVE(&health->upstreams, upstream, link);
	keep_one_in_use(health);
}

void health_set_available(struct health *health,
			  struct health_upstream *upstream, bool available)
{
	upstream->available = available;
	keep_one_in_use(health);
}

bool health_is_usable(const struct health_upstream *upstream)
{
	if (!upstream->available || upstream->state == HEALTH_EJECTED)
		return false;
	return upstream->state == HEALTH_CLOSED || upstream->trials_out == 0;
}

static size_t count_in_use(const struct health *health)
{
	const struct health_upstream *upstream;
	size_t in_use = 0;

	TAILQ_FOREACH (upstream, &health->upstreams, link)
		in_use += is_in_use(upstream);
	return in_use;
}

static bool may_eject(const struct health *health)
{
	const struct health_upstream *upstream;
	size_t in_use = count_in_use(health);
	size_t available = 0;
	size_t out;

	TAILQ_FOREACH (upstream, &health->upstreams, link)
		available += upstream->available;
	out = available - in_use + 1;
	return in_use > 1 && (double)out <= MAX(1.0, HEALTH_EJECTED_SHARE_MAX *
							     (double)available);
}

static void eject(struct health *health, struct health_upstream *upstream,
		  int64_t now_us)
{
	double factor = 1.0 + HEALTH_JITTER * random_unit(&health->random);
	int64_t time_us = HEALTH_EJECT_US;

	if (now_us - upstream->ejected_us > HEALTH_EJECTION_RESET_US)
		upstream->ejections = 0;
	for (uint32_t i = 0; i < upstream->ejections; i++) {
		time_us *= 2;
		if (time_us >= HEALTH_EJECT_MAX_US)
			break;
	}
	time_us = MIN(time_us, HEALTH_EJECT_MAX_US);
	upstream->ejected_until_us = now_us + (int64_t)((double)time_us * factor);
	set_state(upstream, HEALTH_EJECTED);
	upstream->ejected_us = now_us;
	upstream->ejections++;
}

static void eject_if_failing(struct health *health,
			     struct health_upstream *upstream, int64_t now_us)
{
	if (!is_in_use(upstream))
		return;
	if (!health->policy->should_eject(health, upstream, now_us))
		return;
	if (health_is_mute(upstream, now_us) ? count_in_use(health) > 1 :
					       may_eject(health))
		eject(health, upstream, now_us);
}

uint32_t health_note_sent(struct health *health,
			  struct health_upstream *upstream, int64_t now_us)
{
	uint32_t epoch = upstream->epoch;

	if (upstream->unanswered++ == 0 && upstream->open_questions == 0)
		upstream->heard_us = now_us;
	if (upstream->state == HEALTH_HALF_OPEN)
		upstream->trials_out++;
	eject_if_failing(health, upstream, now_us);
	return epoch;
}

static void end_attempt(struct health_upstream *upstream)
{
	if (upstream->unanswered > 0)
		upstream->unanswered--;
}

static void note_trial(struct health *health, struct health_upstream *upstream,
		       bool good, int64_t now_us)
{
	if (upstream->trials_out > 0)
		upstream->trials_out--;
	if (!good) {
		eject(health, upstream, now_us);
		return;
	}
	if (++upstream->trials_passed >= HEALTH_TRIALS)
		close_circuit(upstream);
}

static void note_call(struct health *health, struct health_upstream *upstream,
		      bool good, int64_t now_us)
{
	upstream->samples++;
	upstream->streak = good ? 0 : upstream->streak + 1;
	upstream->error_rate +=
		HEALTH_ALPHA * ((good ? 0.0 : 1.0) - upstream->error_rate);
	eject_if_failing(health, upstream, now_us);
}

void health_note_ended(struct health *health, struct health_upstream *upstream,
		       uint32_t epoch, enum health_outcome outcome,
		       int64_t now_us)
{
	bool good = outcome == HEALTH_OK;

	end_attempt(upstream);
	if (outcome == HEALTH_OK || outcome == HEALTH_ERROR)
		health_note_heard(upstream, now_us);
	if (epoch != upstream->epoch)
		return;
	if (upstream->state == HEALTH_HALF_OPEN)
		note_trial(health, upstream, good, now_us);
	else if (upstream->state == HEALTH_CLOSED)
		note_call(health, upstream, good, now_us);
}

void health_note_refused(struct health *health, struct health_upstream *upstream,
			 uint32_t epoch, bool heard, int64_t now_us)
{
	end_attempt(upstream);
	if (heard)
		health_note_heard(upstream, now_us);
	if (epoch == upstream->epoch && upstream->trials_out > 0)
		upstream->trials_out--;
	eject_if_failing(health, upstream, now_us);
}

void health_note_heard(struct health_upstream *upstream, int64_t now_us)
{
	upstream->heard_us = now_us;
	upstream->open_questions = 0;
}

void health_note_mute(struct health *health, struct health_upstream *upstream,
		      int64_t now_us)
{
	upstream->open_questions++;
	eject_if_failing(health, upstream, now_us);
}

bool health_is_mute(const struct health_upstream *upstream, int64_t now_us)
{
	return upstream->open_questions >= HEALTH_MUTE_QUESTIONS &&
	       now_us - upstream->heard_us >= HEALTH_MUTE_US;
}

static bool all_are_mute(const struct health *health, int64_t now_us)
{
	const struct health_upstream *upstream;
	bool any = false;

	TAILQ_FOREACH (upstream, &health->upstreams, link) {
		if (!upstream->available)
			continue;
		if (!health_is_mute(upstream, now_us))
			return false;
		any = true;
	}
	return any;
}

bool health_may_try(struct health *health, bool idempotent, int64_t now_us)
{
	int64_t gap_us =
		idempotent ? HEALTH_MUTE_TRIAL_US : HEALTH_MUTE_UNSAFE_TRIAL_US;

	if (!all_are_mute(health, now_us))
		return true;
	if (now_us - health->last_trial_us < gap_us)
		return false;
	health->last_trial_us = now_us;
	return true;
}

void health_tick(struct health *health, int64_t now_us)
{
	struct health_upstream *upstream;

	TAILQ_FOREACH (upstream, &health->upstreams, link) {
		if (upstream->state == HEALTH_EJECTED &&
		    now_us >= upstream->ejected_until_us)
			set_state(upstream, HEALTH_HALF_OPEN);
		else
			eject_if_failing(health, upstream, now_us);
	}
}

static bool never_eject(const struct health *health,
			const struct health_upstream *upstream, int64_t now_us)
{
	(void)health;
	(void)upstream;
	(void)now_us;
	return false;
}

/* Returns the mean error rate of the other upstreams in use. */
static double rate_of_others(const struct health *health,
			     const struct health_upstream *upstream)
{
	const struct health_upstream *other;
	double sum = 0;
	size_t count = 0;

	TAILQ_FOREACH (other, &health->upstreams, link) {
		if (other == upstream || !is_in_use(other))
			continue;
		sum += other->error_rate;
		count++;
	}
	return count ? sum / (double)count : 0;
}

static bool is_outlier(const struct health *health,
		       const struct health_upstream *upstream, int64_t now_us)
{
	double others = rate_of_others(health, upstream);

	if (health_is_mute(upstream, now_us))
		return true;
	if (upstream->unanswered >= HEALTH_SILENT_ATTEMPTS &&
	    now_us - upstream->heard_us >= HEALTH_SILENCE_US)
		return true;
	if (upstream->error_rate < HEALTH_OUTLIER_FACTOR * others)
		return false;
	if (upstream->streak >= HEALTH_ERRORS_IN_A_ROW)
		return true;
	return upstream->samples >= HEALTH_MIN_SAMPLES &&
	       upstream->error_rate >= HEALTH_ERROR_RATE;
}

const struct health_policy health_none = {
	.name = "none",
	.should_eject = never_eject,
};

const struct health_policy health_outlier = {
	.name = "outlier",
	.should_eject = is_outlier,
};
