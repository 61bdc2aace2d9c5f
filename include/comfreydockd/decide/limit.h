/*
 * NAME
 *	limit - how many requests may run on an upstream at once
 *
 * DESCRIPTION
 *	The limit lies between 1 and the declared slots. limit_fixed always
 *	equals the slots. limit_adaptive starts there and is lowered for two
 *	reasons:
 *
 *	- The upstream reports overload: a shed status that the operator
 *	  configured, or a refused connection. The limit falls to 3/4, once for
 *	  all requests that had started before the cut.
 *	- The 10th percentile (p10) of the service times has been above twice
 *	  its baseline in four consecutive windows, and all allowed slots were
 *	  in use. The baseline is the minimum of a moving mean of the p10. A
 *	  high p10 alone does not show whether fewer concurrent requests would
 *	  help, so it starts a trial: half the limit for one window. If the p10
 *	  falls by nearly the same ratio, concurrency caused the slowness, and
 *	  the lower limit stays. Otherwise, the slots are independent of each
 *	  other, a lower limit would only cost capacity, and the higher limit is
 *	  restored. After a trial that failed, or in which the allowed slots
 *	  were never all in use, the next trial begins after a pause. The pause
 *	  doubles each time and is at least 16 times the duration of the trial.
 *	  After a failed trial, the next one goes in the other direction if
 *	  possible.
 *
 *	Windows that are not slow raise the limit by one towards the slots. A
 *	window counts only requests that started within it, so that requests
 *	from before a change do not count.
 *
 * LOAD PATTERN
 *	An upstream that slows down without warning.
 *
 * WITHOUT IT
 *	An upstream that thrashes with all its slots in use serves everybody
 *	slowly, and one that sheds load is offered the same load again at once.
 *
 * GROUNDS
 *	Why the p10 and a trial: with 1 s jobs among 5 ms ones a mean or a high
 *	percentile moves with the mix and would throttle a healthy upstream. The
 *	p10 moves with the mix only if nearly all jobs are long, and the trial
 *	then finds that it does not follow the limit. Errors are not counted: a
 *	fast failure says nothing about speed.
 *
 *	Why 4/5 of the change: if the p10 just follows the limit, both limits
 *	give the same throughput, so overlooking it costs nothing, while a false
 *	positive costs slots. A smaller step or fewer samples are misled by
 *	noise.
 *
 *	Why a moving mean and four windows: with exponential service times the
 *	p10 of one window deviates by a third. Compared with the lowest single
 *	value, a healthy upstream would look slow all the time, and trials with
 *	half the slots would make its callers wait for many times the service
 *	time.
 *
 *	The figures are in docs/design/decisions.md. A failed trial withholds
 *	half the slots for at most 1/17 of the time. Further constants: a gain
 *	of 1/8 for the mean, 64 requests and 100 ms per window, a baseline over
 *	30 to 60 s, pauses of 2 to 60 s between trials, 60 s until an open
 *	window is discarded.
 *
 * SOURCE
 *	The windowed minimum as a baseline follows BBR (Cardwell et al., ACM
 *	Queue 2016); the response to explicit overload follows AIMD (Chiu, Jain
 *	1989).
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_LIMIT_H
#define COMFREYDOCKD_DECIDE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#define LIMIT_SAMPLES_MAX 128

enum limit_outcome {
	LIMIT_OUTCOME_OK,
	LIMIT_OUTCOME_OVERLOAD, /* shed by the upstream, or connection refused */
	LIMIT_OUTCOME_FAILED, /* the upstream's own error */
	LIMIT_OUTCOME_CANCELLED, /* ended before its answer was complete */
};

enum limit_trial {
	LIMIT_TRIAL_NONE,
	LIMIT_TRIAL_DOWN,
	LIMIT_TRIAL_UP,
};

struct limit_window {
	int64_t start_us;
	bool saturated; /* a request ended while all allowed slots were in use */
	uint32_t samples;
	int64_t sample_us[LIMIT_SAMPLES_MAX];
};

struct limit;

struct limit_policy {
	const char *name;
	void (*note_done)(struct limit *limit, int64_t latency_us,
			  enum limit_outcome outcome, uint32_t running,
			  int64_t now_us);
};

extern const struct limit_policy limit_fixed;
extern const struct limit_policy limit_adaptive;

struct limit {
	const struct limit_policy *policy;
	uint32_t slots;
	uint32_t current;
	struct limit_window window;
	int64_t mean_p10_us; /* moving mean of the p10 */
	int64_t mean_windows; /* windows in the mean; stops at 8 */
	uint32_t slow_windows; /* consecutive ones */
	int64_t slow_p10_us; /* mean p10 of the last slow windows */
	int64_t baseline_us[2]; /* lowest mean of this period and the last */
	int64_t baseline_period_start_us; /* start of the current period */
	enum limit_trial trial;
	enum limit_trial next_trial; /* direction to try first */
	uint32_t trial_from; /* limit before the trial */
	int64_t trial_p10_us; /* p10 before the trial */
	int64_t trial_pause_us; /* least pause after the next trial */
	int64_t trial_pause_until_us; /* no trial begins before */
};

/* 0 slots are treated as 1. */
void limit_init(struct limit *limit, const struct limit_policy *policy,
		uint32_t slots, int64_t now_us);

/* RETURN VALUE: at least 1, at most the slots. */
uint32_t limit_current(const struct limit *limit);

/* Applies a new declaration. A limit that was equal to the old slots follows
 * it. */
void limit_set_slots(struct limit *limit, uint32_t slots);

/*
 * Notes the end of a request that ran. latency_us is the time since it was
 * handed to the upstream; running includes this request.
 */
void limit_note_done(struct limit *limit, int64_t latency_us,
		     enum limit_outcome outcome, uint32_t running,
		     int64_t now_us);

#endif
