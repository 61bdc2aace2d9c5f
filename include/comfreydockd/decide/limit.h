/*
 * NAME
 *	limit - how many requests may run on an upstream at once
 *
 * DESCRIPTION
 *	The limit lies between 1 and the declared slots. limit_fixed is always
 *	the slots. limit_adaptive starts there and leaves it for two reasons:
 *
 *	- The upstream says that it is overloaded (a shed status that the
 *	  operator named, a refused connection): the limit falls to 3/4, once
 *	  for all requests that had begun before the cut.
 *	- The fast end (p10) of the service times has been above twice its
 *	  floor in four windows in a row, and all allowed slots were in use. The
 *	  floor is the least of a moving mean of the p10. That alone does
 *	  not tell whether fewer at once would help, so it opens a trial: half
 *	  as many for one window. If the p10 falls by nearly the same part,
 *	  concurrency was what made it slow, and the lower limit stays.
 *	  Otherwise slots are independent of each other, a lower limit would
 *	  only cost capacity, and the higher one returns. The next trial waits
 *	  for a hold time that doubles and is at least 16 times as long as the
 *	  trial was; it goes the other way if it can.
 *
 *	Windows that are not slow raise the limit by one towards the slots.
 *	Only requests begun within a window count in it, so that those from
 *	before a change say nothing about it.
 *
 * LOAD PATTERN
 *	An upstream that slows without warning.
 *
 * WITHOUT IT
 *	An upstream that thrashes with all its slots in use serves everybody
 *	slowly, and one that sheds is offered the same load again at once.
 *
 * GROUNDS
 *	Why the p10 and a trial: a mean or a high percentile of 1 s jobs among
 *	5 ms ones moves with the mix and would throttle a healthy upstream. The
 *	p10 moves with the mix only when nearly all jobs are long, and the trial
 *	then finds that it does not follow the limit. Errors are not counted: a
 *	fast failure says nothing about speed.
 *	Why 4/5 of the way: where the p10 just follows the limit, either limit
 *	gives the same number of answers, so to miss it costs nothing, while a
 *	false "followed" costs slots. A smaller step or fewer samples are misled
 *	by chance.
 *	Why a moving mean and four windows: the p10 of one window of
 *	exponential times strays by a third. Against the least single one, a
 *	healthy upstream looks slow all the time, and trials with half the slots
 *	make its callers wait for many times the work.
 *	The figures are in docs/design/decisions.md.
 *	A failed trial holds half the slots back for at most 1/17 of the time.
 *	Assumptions: p10, twice the floor, four windows, a gain of 1/8, 64
 *	requests and 100 ms a window, a floor over 30 to 60 s, holds of 2 to
 *	60 s, 60 s for an open window.
 *
 * SOURCE
 *	The floor by windowed minimum follows BBR (Cardwell et al., ACM Queue
 *	2016); the response to explicit overload follows AIMD (Chiu, Jain 1989).
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
	LIMIT_OUTCOME_CANCELLED, /* ended before its answer was whole */
};

enum limit_trial {
	LIMIT_TRIAL_NONE,
	LIMIT_TRIAL_DOWN,
	LIMIT_TRIAL_UP,
};

struct limit_window {
	int64_t start_us;
	bool saturated; /* some request ended with all allowed slots in use */
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
	int64_t p10_us; /* mean p10 of recent windows */
	int64_t windows; /* that it is the mean of */
	uint32_t slow_windows; /* in a row */
	int64_t slow_p10_us; /* mean p10 of the last of them */
	int64_t floor_us[2]; /* least p10 of this half minute and the last */
	int64_t floor_period_start_us; /* start of this half minute */
	enum limit_trial trial;
	enum limit_trial next_trial; /* the direction to try first */
	uint32_t trial_from; /* limit before the trial */
	int64_t trial_p10_us; /* p10 before the trial */
	int64_t hold_us;
	int64_t hold_until_us;
};

/* Slots of 0 are taken as 1. */
void limit_init(struct limit *limit, const struct limit_policy *policy,
		uint32_t slots, int64_t now_us);

/* RETURN VALUE: at least 1, at most the slots. */
uint32_t limit_current(const struct limit *limit);

/* A new declaration; a limit that stood at the old slots follows it. */
void limit_set_slots(struct limit *limit, uint32_t slots);

/*
 * Notes the end of a request that ran. latency_us is the time since it was
 * handed to the upstream; running counts this request too.
 */
void limit_note_done(struct limit *limit, int64_t latency_us,
		     enum limit_outcome outcome, uint32_t running,
		     int64_t now_us);

#endif
