/*
 * NAME
 *	pace - whether to begin work on a host that is slow at this moment
 *
 * DESCRIPTION
 *	An upstream that shares its host may tell how long work takes there
 *	now, in percent of the usual time. The owner keeps the last figure, and
 *	before each start judges: start here, hold the request until the slow
 *	spell ends, or turn it back, as not run, for another host.
 *
 * LOAD PATTERN
 *	At any moment a quarter to a third of the hosts run seven times slower
 *	for about half a second, each on its own. What begins in a slow spell is
 *	slow to its end, whatever comes after; what begins just before one is
 *	hardly slowed.
 *
 * WITHOUT IT
 *	Each such share of the requests takes seven times as long. Their
 *	callers notice every third or fourth answer late, while two thirds of
 *	the slots are free elsewhere.
 *
 * GROUNDS
 *	PACE_SLOW_FACTOR: turning back costs a round trip between failure
 *	domains and some work of two daemons, 1 to 3 ms; half as long again is
 *	7 ms for the shortest work of 15 ms.
 *	A host is slow only beside others, or beside itself a moment ago: where
 *	all have just been started each takes twice as long for seconds, and
 *	turning back from one to the next would only take time.
 *	PACE_HOLD_MARGIN: what is begun slow keeps its slot seven times as long,
 *	also after the spell; where slots are scarce it is held as long as half
 *	as much time again as it needs is left.
 *	PACE_WINDOW_US: three spells' length; slower for longer is usual.
 *	PACE_FRESH_US: with changes each 500 ms a figure that is 25 ms old is
 *	wrong in one case of 80; asking anew costs a hundredth of a request.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_PACE_H
#define COMFREYDOCKD_DECIDE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#define PACE_USUAL_PERCENT 100
#define PACE_SLOW_FACTOR 1.5
#define PACE_HOLD_MARGIN 1.5
/* A deadline commonly leaves room for so many times the work. */
#define PACE_DEADLINE_WORK_FACTOR 6
/* One that is further away says nothing of the work. */
#define PACE_DEADLINE_MAX_US ((int64_t)60 * 1000 * 1000)
#define PACE_WINDOW_US ((int64_t)1500 * 1000)
#define PACE_FRESH_US ((int64_t)25 * 1000)

/* All zero before the first figure. */
struct pace {
	uint32_t percent; /* of the usual time; 0: never told */
	int64_t at_us;
	uint32_t told_percent; /* to the entries, last */
	/* The least figures of this window and of the one before; 0: none. */
	int64_t window_us;
	uint32_t least;
	uint32_t least_before;
};

struct pace_item {
	bool may_turn_back; /* another host might take it */
	uint32_t other_percent; /* the best of these, as last told; 0: none */
	bool is_busy; /* half of the slots or more are taken */
	int64_t work_us; /* foreseen, at the usual pace; 0: not known */
	int64_t target_us; /* an answer by then is in time */
	int64_t deadline_us;
};

enum pace_verdict {
	PACE_START,
	PACE_HOLD,
	PACE_TURN_BACK,
	PACE_TOO_LATE, /* not even an end of the spell now would help */
};

/* RETURN VALUE: true if the figure differs so much from the one told last that
 * the entries should know. */
bool pace_note(struct pace *pace, uint32_t percent, int64_t now_us);

bool pace_is_fresh(const struct pace *pace, int64_t now_us);

/* True in a slow spell: by what this host had a moment ago. */
bool pace_is_slow(const struct pace *pace);

/* True where work takes clearly longer at percent than at other. */
bool pace_is_worse(uint32_t percent, uint32_t other_percent);

/* RETURN VALUE: the time as it would have been at the usual pace. */
int64_t pace_usual_us(uint32_t percent, int64_t took_us);

enum pace_verdict pace_judge(const struct pace *pace,
			     const struct pace_item *item, int64_t now_us);

#endif
