#include "comfreydockd/decide/limit.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

#define LIMIT_SAMPLES_MIN 64
#define LIMIT_WINDOW_US (100 * US_PER_MS)
#define LIMIT_WINDOW_MAX_US (60 * US_PER_S)
#define LIMIT_PERCENTILE 10
/* The moving mean of the p10 moves by 1/8 of the difference with each window,
 * and is used only after this many windows. */
#define LIMIT_P10_MEAN_WINDOWS ((int64_t)8)
#define LIMIT_SLOW_WINDOWS 4 /* in a row, before a trial */
/* A window is slow if its p10 is above this multiple of the baseline. */
#define LIMIT_SLOW_FACTOR 2
#define LIMIT_CUT 4 /* an overload cuts the limit by 1/4 */
#define LIMIT_TRIAL_STEP 2 /* a trial changes the limit by 1/2 */
/* If the p10 changes by at least this share of the relative change of the
 * limit, concurrency causes the latency: the higher limit gives hardly more
 * throughput than the lower one. */
#define LIMIT_FOLLOWED_SHARE 0.8
#define LIMIT_BASELINE_PERIOD_US (30 * US_PER_S)
#define LIMIT_TRIAL_PAUSE_MIN_US (2 * US_PER_S)
#define LIMIT_TRIAL_PAUSE_MAX_US (60 * US_PER_S)
/* After a trial that failed, or in which the allowed slots were never all in
 * use, the pause lasts at least this many times as long as the trial did. */
#define LIMIT_TRIAL_PAUSE_FACTOR 16

static void limit_window_begin(struct limit *limit, int64_t now_us)
{
	limit->window.start_us = now_us;
	limit->window.samples = 0;
	limit->window.saturated = false;
}

static uint32_t limit_fraction(uint32_t value, uint32_t parts)
{
	return MAX(value / parts, 1);
}

static int limit_compare_samples(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t limit_window_p10_us(struct limit_window *window)
{
	uint32_t rank = window->samples * LIMIT_PERCENTILE / 100;

	qsort(window->sample_us, window->samples, sizeof(int64_t),
	      limit_compare_samples);
	return window->sample_us[rank];
}

/*
 * Updates and returns the moving mean of the p10 over windows. With exponential
 * service times the p10 of a single window deviates by a third of itself, and
 * the minimum over many single windows by far more. If the baseline were that
 * minimum, all the windows of a healthy upstream but the one with the lowest
 * p10 would look slow, and the trials would take away slots that callers wait
 * for.
 */
static int64_t limit_note_p10(struct limit *limit, int64_t p10_us)
{
	limit->mean_windows =
		MIN(limit->mean_windows + 1, LIMIT_P10_MEAN_WINDOWS);
	limit->mean_p10_us += (p10_us - limit->mean_p10_us) / limit->mean_windows;
	return limit->mean_p10_us;
}

/* Notes a moving mean of the p10. Returns the baseline: the lowest mean of the
 * current and the previous 30 s period. */
static int64_t limit_note_baseline(struct limit *limit, int64_t mean_us,
				   int64_t now_us)
{
	int64_t age_us = now_us - limit->baseline_period_start_us;

	if (age_us >= LIMIT_BASELINE_PERIOD_US) {
		limit->baseline_us[1] = age_us < 2 * LIMIT_BASELINE_PERIOD_US ?
						limit->baseline_us[0] :
						INT64_MAX;
		limit->baseline_us[0] = INT64_MAX;
		limit->baseline_period_start_us = now_us;
	}
	limit->baseline_us[0] = MIN(limit->baseline_us[0], mean_us);
	return MIN(limit->baseline_us[0], limit->baseline_us[1]);
}

static void limit_trial_begin(struct limit *limit, int64_t p10_us)
{
	uint32_t step = limit_fraction(limit->current, LIMIT_TRIAL_STEP);

	limit->trial = limit->next_trial;
	if (limit->current == limit->slots)
		limit->trial = LIMIT_TRIAL_DOWN;
	if (limit->current == 1)
		limit->trial = LIMIT_TRIAL_UP;
	if (limit->slots == 1) {
		limit->trial = LIMIT_TRIAL_NONE;
		return;
	}
	limit->trial_from = limit->current;
	limit->trial_p10_us = p10_us;
	if (limit->trial == LIMIT_TRIAL_DOWN)
		limit->current -= step;
	else
		limit->current = MIN(limit->current + step, limit->slots);
}

static enum limit_trial limit_trial_opposite(enum limit_trial trial)
{
	return trial == LIMIT_TRIAL_DOWN ? LIMIT_TRIAL_UP : LIMIT_TRIAL_DOWN;
}

static void limit_delay_next_trial(struct limit *limit, int64_t trial_us,
				   int64_t now_us)
{
	limit->trial_pause_until_us =
		now_us +
		MAX(limit->trial_pause_us, trial_us * LIMIT_TRIAL_PAUSE_FACTOR);
	limit->trial_pause_us =
		MIN(limit->trial_pause_us * 2, LIMIT_TRIAL_PAUSE_MAX_US);
}

/* Returns true if the p10 changed by at least LIMIT_FOLLOWED_SHARE of the
 * relative change of the limit. */
static bool limit_trial_was_followed(const struct limit *limit, int64_t p10_us)
{
	bool down = limit->trial == LIMIT_TRIAL_DOWN;
	double larger = MAX(limit->trial_from, limit->current);
	double smaller = MIN(limit->trial_from, limit->current);
	int64_t larger_p10_us = down ? limit->trial_p10_us : p10_us;
	int64_t smaller_p10_us = down ? p10_us : limit->trial_p10_us;

	return smaller_p10_us <=
	       larger_p10_us *
		       (1 - LIMIT_FOLLOWED_SHARE * (1 - smaller / larger));
}

static void limit_trial_end(struct limit *limit, int64_t p10_us,
			    const struct limit_window *window, int64_t now_us)
{
	enum limit_trial trial = limit->trial;
	uint32_t larger = MAX(limit->trial_from, limit->current);
	uint32_t smaller = MIN(limit->trial_from, limit->current);
	bool followed = limit_trial_was_followed(limit, p10_us);

	limit->trial = LIMIT_TRIAL_NONE;
	if (!window->saturated) {
		limit->current = larger;
		limit_delay_next_trial(limit, now_us - window->start_us, now_us);
		return;
	}
	limit->current = followed ? smaller : larger;
	if (limit->current != limit->trial_from) {
		limit->slow_windows = 0;
		limit->slow_p10_us = 0;
	}
	limit->next_trial = trial;
	if ((trial == LIMIT_TRIAL_DOWN) == followed) {
		limit->trial_pause_us = LIMIT_TRIAL_PAUSE_MIN_US;
		return;
	}
	limit->next_trial = limit_trial_opposite(trial);
	limit_delay_next_trial(limit, now_us - window->start_us, now_us);
}

static void limit_window_end(struct limit *limit, int64_t now_us)
{
	int64_t p10_us = limit_window_p10_us(&limit->window);
	bool saturated = limit->window.saturated;
	int64_t mean_us;
	int64_t baseline_us;

	if (limit->trial != LIMIT_TRIAL_NONE) {
		limit_trial_end(limit, p10_us, &limit->window, now_us);
		limit_window_begin(limit, now_us);
		return;
	}
	limit_window_begin(limit, now_us);
	mean_us = limit_note_p10(limit, p10_us);
	/* A mean of only a few windows deviates as far as the windows do. */
	if (limit->mean_windows < LIMIT_P10_MEAN_WINDOWS)
		return;
	baseline_us = limit_note_baseline(limit, mean_us, now_us);
	if (p10_us <= LIMIT_SLOW_FACTOR * baseline_us) {
		limit->slow_windows = 0;
		limit->slow_p10_us = 0;
		limit->current = MIN(limit->current + 1, limit->slots);
		limit->trial_pause_us = LIMIT_TRIAL_PAUSE_MIN_US;
		limit->next_trial = LIMIT_TRIAL_DOWN;
		return;
	}
	limit->slow_windows++;
	limit->slow_p10_us += (p10_us - limit->slow_p10_us) /
			      MIN(limit->slow_windows, LIMIT_SLOW_WINDOWS);
	if (limit->slow_windows >= LIMIT_SLOW_WINDOWS && saturated &&
	    now_us >= limit->trial_pause_until_us)
		limit_trial_begin(limit, limit->slow_p10_us);
}

/*
 * Discards a window that too little traffic left open for too long: its samples
 * mix old and current conditions. A trial ends with it. Otherwise, a trial left
 * open at the end of a burst would meet the next burst with half the slots.
 */
static void limit_window_abandon(struct limit *limit, int64_t now_us)
{
	if (limit->trial != LIMIT_TRIAL_NONE)
		limit->current = MAX(limit->trial_from, limit->current);
	limit->trial = LIMIT_TRIAL_NONE;
	limit_window_begin(limit, now_us);
}

static void limit_cut(struct limit *limit, int64_t now_us)
{
	limit->trial = LIMIT_TRIAL_NONE;
	if (limit->current > 1)
		limit->current -= limit_fraction(limit->current, LIMIT_CUT);
	limit_window_begin(limit, now_us);
}

static void limit_adaptive_note_done(struct limit *limit, int64_t latency_us,
				     enum limit_outcome outcome,
				     uint32_t running, int64_t now_us)
{
	struct limit_window *window = &limit->window;

	if (now_us - window->start_us > LIMIT_WINDOW_MAX_US)
		limit_window_abandon(limit, now_us);
	if (now_us - latency_us < window->start_us)
		return;
	if (outcome == LIMIT_OUTCOME_OVERLOAD)
		limit_cut(limit, now_us);
	if (outcome != LIMIT_OUTCOME_OK)
		return;
	if (running >= limit->current)
		window->saturated = true;
	if (window->samples < LIMIT_SAMPLES_MAX)
		window->sample_us[window->samples++] = latency_us;
	if (window->samples < LIMIT_SAMPLES_MIN ||
	    now_us - window->start_us < LIMIT_WINDOW_US)
		return;
	limit_window_end(limit, now_us);
}

static void limit_fixed_note_done(struct limit *limit G_GNUC_UNUSED,
				  int64_t latency_us G_GNUC_UNUSED,
				  enum limit_outcome outcome G_GNUC_UNUSED,
				  uint32_t running G_GNUC_UNUSED,
				  int64_t now_us G_GNUC_UNUSED)
{
}

const struct limit_policy limit_fixed = {
	.name = "fixed",
	.note_done = limit_fixed_note_done,
};

const struct limit_policy limit_adaptive = {
	.name = "adaptive",
	.note_done = limit_adaptive_note_done,
};

void limit_init(struct limit *limit, const struct limit_policy *policy,
		uint32_t slots, int64_t now_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->policy = policy;
	limit->slots = MAX(slots, 1);
	limit->current = limit->slots;
	limit->baseline_us[0] = INT64_MAX;
	limit->baseline_us[1] = INT64_MAX;
	limit->baseline_period_start_us = now_us;
	limit->next_trial = LIMIT_TRIAL_DOWN;
	limit->trial_pause_us = LIMIT_TRIAL_PAUSE_MIN_US;
	limit->trial_pause_until_us = now_us;
	limit_window_begin(limit, now_us);
}

uint32_t limit_current(const struct limit *limit)
{
	return limit->current;
}

void limit_set_slots(struct limit *limit, uint32_t slots)
{
	bool at_slots = limit->current == limit->slots;

	limit->slots = MAX(slots, 1);
	limit->trial = LIMIT_TRIAL_NONE;
	if (at_slots || limit->current > limit->slots)
		limit->current = limit->slots;
}

void limit_note_done(struct limit *limit, int64_t latency_us,
		     enum limit_outcome outcome, uint32_t running, int64_t now_us)
{
	limit->policy->note_done(limit, latency_us, outcome, running, now_us);
}
