/*
 * NAME
 *	pace - whether to start work on a host that is slow at this moment
 *
 * DESCRIPTION
 *	An upstream that shares its host may report how long work takes there
 *	now, in percent of the usual time. The owner keeps the last report and
 *	decides before each start: start the request here, hold it until the
 *	slow spell ends, or turn it back, as not run, for another host.
 *
 * LOAD PATTERN
 *	At any moment a quarter to a third of the hosts run seven times slower
 *	for about half a second, each independently. Work that starts in a slow
 *	spell stays slow to its end, whatever comes after. Work that starts just
 *	before a spell is hardly slowed down.
 *
 * WITHOUT IT
 *	The same share of all requests takes seven times as long. Callers get
 *	every third or fourth answer late, while two thirds of the slots are
 *	free elsewhere.
 *
 * GROUNDS
 *	PACE_SLOW_FACTOR: turning a request back costs a round trip between
 *	failure domains and some work of two daemons, 1 to 3 ms; half as long
 *	again is 7 ms for the shortest work of 15 ms.
 *
 *	A host is slow only compared with others or with its own recent pace.
 *	When all hosts have just been started, each takes twice as long for
 *	seconds, and turning requests back from one to the next would only take
 *	time.
 *
 *	PACE_HOLD_MARGIN: work that starts in a spell occupies its slot seven
 *	times as long, even after the spell. If slots are scarce, a request is
 *	therefore held while at least 1.5 times its usual work time remains.
 *
 *	PACE_WINDOW_US: the length of three spells. A host that is slower for
 *	longer has a new usual pace.
 *
 *	PACE_FRESH_US: if the pace changes every 500 ms, a report that is 25 ms
 *	old is wrong in one case of 80; asking again costs a hundredth of a
 *	request.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_PACE_H
#define COMFREYDOCKD_DECIDE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#define PACE_NOMINAL_PERCENT 100
#define PACE_SLOW_FACTOR 1.5
#define PACE_HOLD_MARGIN 1.5
/* Work of unknown length is assumed to take 1/6 of the remaining time, as
 * deadlines commonly allow that multiple of the work. */
#define PACE_REMAINING_PER_WORK 6
/* A deadline further away says nothing about the work. */
#define PACE_REMAINING_MAX_US ((int64_t)60 * 1000 * 1000)
#define PACE_WINDOW_US ((int64_t)1500 * 1000)
#define PACE_FRESH_US ((int64_t)25 * 1000)

/* Zero-initialised, before the first report. */
struct pace {
	uint32_t percent; /* of the usual time; 0: never reported */
	int64_t at_us;
	uint32_t sent_percent; /* last value sent to the entries */
	/* The lowest reports of the current and the previous window; 0:
	 * none. */
	int64_t window_start_us;
	uint32_t lowest;
	uint32_t lowest_before;
};

struct pace_item {
	bool may_turn_back; /* another host may take it */
	uint32_t best_other_percent; /* best known pace of the other hosts; 0: none */
	bool slots_scarce; /* at least half of the slots are in use */
	int64_t work_us; /* expected, at the usual pace; 0: unknown */
	int64_t target_us; /* the answer is on time until then */
	int64_t deadline_us;
};

enum pace_verdict {
	PACE_START,
	PACE_HOLD,
	PACE_TURN_BACK,
	PACE_TOO_LATE, /* too late even if the spell ended now */
};

/* RETURN VALUE: true if the report differs so much from the last one sent that
 * the entries must be told. */
bool pace_note(struct pace *pace, uint32_t percent, int64_t now_us);

bool pace_is_fresh(const struct pace *pace, int64_t now_us);

/* Returns true in a slow spell, that is if the host is slow compared with its
 * own recent pace. */
bool pace_is_slow(const struct pace *pace);

/* Returns true if work takes clearly longer at percent than at
 * other_percent. */
bool pace_is_worse(uint32_t percent, uint32_t other_percent);

/* RETURN VALUE: the time that the work would have taken at the usual pace. */
int64_t pace_nominal_us(uint32_t percent, int64_t took_us);

enum pace_verdict pace_judge(const struct pace *pace,
			     const struct pace_item *item, int64_t now_us);

#endif
