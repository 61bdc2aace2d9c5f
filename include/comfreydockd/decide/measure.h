/*
 * NAME
 *	measure - the budget for measuring an upstream
 *
 * DESCRIPTION
 *	The owner keeps one token bucket for each upstream, and every probe and
 *	load fetch passes through it. Tokens are slot time: they come in at the
 *	budget's share of all the upstream's slots, and each probe spends its
 *	expected cost. measure_end() settles the actual cost. If that was
 *	higher, the bucket goes into debt, and nothing is measured until the
 *	debt is repaid; if it was lower, nothing is given back.
 *
 *	Nothing is measured while the answers of ordinary requests are fresh.
 *	Without traffic a measurement is due after MEASURE_FRESH_US, and the
 *	interval doubles with each consecutive one up to MEASURE_IDLE_MAX_US.
 *	Only one runs at a time, so that a frozen upstream does not accumulate
 *	probes.
 *
 *	The measurements that begin in any window of w microseconds cost at most
 *	w x slots x permille / 1000 plus MEASURE_PROBE_COST_US, if none costs
 *	more than that; the bucket starts empty.
 *
 * LOAD PATTERN
 *	The cost of measuring.
 *
 * WITHOUT IT
 *	Every entry probes every upstream, and the probes of a few hundred
 *	daemons take the slots that bookings need.
 *
 * GROUNDS
 *	A probe costs about 6 ms of a slot (stated by the users). The depth of
 *	the bucket is one probe, the least with which a probe can be made at
 *	all. Answers are fresh for 1 s, and the longest interval is 16 s.
 *
 * UNITS
 *	Times are monotonic microseconds, costs are slot time in microseconds,
 *	and the budget is in permille of the slot time of all slots.
 */
#ifndef COMFREYDOCKD_DECIDE_MEASURE_H
#define COMFREYDOCKD_DECIDE_MEASURE_H

#include <stdbool.h>
#include <stdint.h>

#define MEASURE_PROBE_COST_US ((int64_t)6000)
#define MEASURE_FRESH_US ((int64_t)1000000)
#define MEASURE_IDLE_MAX_US ((int64_t)16000000)

enum measure_verdict {
	MEASURE_BEGIN, /* the cost is taken; measure_end() must follow */
	MEASURE_FRESH, /* not needed yet */
	MEASURE_RUNNING, /* another measurement is running */
	MEASURE_OVER_BUDGET,
};

struct measure {
	uint32_t slots;
	uint32_t permille;
	int64_t tokens; /* thousandths of a microsecond of slot time; < 0: debt */
	int64_t filled_us;
	int64_t fresh_us; /* last answer, or end of the last measurement */
	int64_t interval_us;
	bool running;
};

/* A permille of 0 disables measurements. If several services share the
 * upstream, the lowest permille applies. */
void measure_init(struct measure *measure, uint32_t slots, uint32_t permille,
		  int64_t now_us);

/* Applies a new budget or declaration. Saved tokens or debt are kept. */
void measure_set_budget(struct measure *measure, uint32_t slots,
			uint32_t permille, int64_t now_us);

/* Notes that ordinary traffic made a probe unnecessary. */
void measure_note_traffic(struct measure *measure, int64_t now_us);

/* Requests to begin a measurement now. */
enum measure_verdict measure_try_begin(struct measure *measure, int64_t now_us);

/* Ends a measurement. cost_us is the slot time that it took. */
void measure_end(struct measure *measure, int64_t cost_us, int64_t now_us);

/* RETURN VALUE: when to ask again; INT64_MAX: never, or after the end of the
 * running measurement. */
int64_t measure_next_us(const struct measure *measure, int64_t now_us);

#endif
