/*
 * NAME
 *	pace - whether to start work on a host that is slow at this moment
 *
 * DESCRIPTION
 *	An upstream that shares its host may report how long work takes there
 *	now, in percent of the nominal time: at 200, work takes twice as long.
 *	The owner keeps the last report and decides before each start: start the
 *	request here, hold it until the slow spell ends, or turn it back, that
 *	is, refuse it as not run, so that its entry sends it to another host.
 *
 *	The usual pace of a host is the lowest percentage that it reported
 *	recently. It differs from the nominal pace, for example, on a host that
 *	has just been started.
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
/* Work of unknown length is assumed to take 1/6 of the time that remains until
 * its deadline, as deadlines commonly allow that multiple of the work. */
#define PACE_REMAINING_PER_WORK 6
/* The most remaining time from which work is estimated: a deadline further away
 * says nothing about the work. */
#define PACE_REMAINING_MAX_US ((int64_t)60 * 1000 * 1000)
#define PACE_WINDOW_US ((int64_t)1500 * 1000)
#define PACE_FRESH_US ((int64_t)25 * 1000)

/* Zero-initialised, before the first report. */
struct pace {
	uint32_t percent; /* of the nominal time; 0: never reported */
	int64_t at_us;
	uint32_t sent_percent; /* value when pace_note() last returned true */
	/* The lowest reports of the current and the previous window; 0:
	 * none. */
	int64_t window_start_us; /* of the current window */
	uint32_t lowest;
	uint32_t lowest_before;
};

struct pace_item {
	bool may_turn_back; /* the entry can send it to another host */
	uint32_t best_other_percent; /* best pace of another host; 0: unknown */
	bool slots_scarce; /* at least half of the slots are in use */
	int64_t work_us; /* expected, at the nominal pace; 0: unknown */
	int64_t target_us; /* an answer after it is late but still useful */
	int64_t deadline_us; /* nobody receives an answer after it */
};

enum pace_verdict {
	PACE_START,
	PACE_HOLD,
	PACE_TURN_BACK, /* refuse as not run; the entry tries another host */
	PACE_TOO_LATE, /* too late even if the spell ended now */
};

/* RETURN VALUE: true if the caller must send the report to the entries, because
 * it differs clearly from the last one sent. */
bool pace_note(struct pace *pace, uint32_t percent, int64_t now_us);

bool pace_is_fresh(const struct pace *pace, int64_t now_us);

/* Returns true in a slow spell, that is if the host is slow compared with its
 * own recent pace. */
bool pace_is_slow(const struct pace *pace);

/* Returns true if work takes clearly longer at percent than at
 * other_percent. */
bool pace_is_worse(uint32_t percent, uint32_t other_percent);

/* RETURN VALUE: the time that the work would have taken at the nominal pace. */
int64_t pace_nominal_us(uint32_t percent, int64_t took_us);

enum pace_verdict pace_judge(const struct pace *pace,
			     const struct pace_item *item, int64_t now_us);

#endif
