/*
 * NAME
 *	measure - the budget for measuring an upstream
 *
 * DESCRIPTION
 *	One token bucket for each upstream, at its owner, through which every
 *	probe and load fetch passes. Tokens are slot time: they come in at the
 *	budget's share of all the upstream's slots and are spent at what a
 *	probe costs. measure_end() settles the true cost; where that was more,
 *	the bucket goes into debt, and nothing is measured until it is repaid;
 *	where it was less, nothing is given back.
 *
 *	Nothing is measured while the answers of ordinary requests are fresh.
 *	Without traffic one measurement is due after MEASURE_FRESH_US, and the
 *	interval doubles with each in a row up to MEASURE_IDLE_MAX_US. One runs
 *	at a time, so that a frozen upstream does not collect probes.
 *
 *	In any window of w microseconds the measurements that begin cost at
 *	most w x slots x permille / 1000 plus MEASURE_PROBE_COST_US, if none
 *	costs more than it; the bucket starts empty.
 *
 * LOAD PATTERN
 *	The cost of measuring.
 *
 * WITHOUT IT
 *	Every entry probes every upstream; the probes of a few hundred daemons
 *	take the slots that bookings need.
 *
 * GROUNDS
 *	A probe costs about 6 ms of a slot (given by the users). Bucket depth of
 *	one probe: the least with which a probe can be made at all. Fresh for
 *	1 s and a longest interval of 16 s are assumptions.
 *
 * UNITS
 *	Times are monotonic microseconds, costs slot time in microseconds, the
 *	budget permille of the slot time of all slots.
 */
#ifndef COMFREYDOCKD_DECIDE_MEASURE_H
#define COMFREYDOCKD_DECIDE_MEASURE_H

#include <stdbool.h>
#include <stdint.h>

#define MEASURE_PROBE_COST_US ((int64_t)6000)
#define MEASURE_FRESH_US ((int64_t)1000000)
#define MEASURE_IDLE_MAX_US ((int64_t)16000000)

enum measure_verdict {
	MEASURE_BEGIN, /* the cost is taken; call measure_end() afterwards */
	MEASURE_FRESH, /* not needed yet */
	MEASURE_RUNNING, /* one is under way */
	MEASURE_OVER_BUDGET,
};

struct measure {
	uint32_t slots;
	uint32_t permille;
	int64_t tokens; /* thousandths of a microsecond of slot time; < 0: debt */
	int64_t filled_us;
	int64_t fresh_us; /* when something was last learned or asked */
	int64_t interval_us;
	bool running;
};

/* Permille of 0: never. Of several services the least permille counts. */
void measure_init(struct measure *measure, uint32_t slots, uint32_t permille,
		  int64_t now_us);

/* A new budget or declaration; what was saved or owed stays. */
void measure_set_budget(struct measure *measure, uint32_t slots,
			uint32_t permille, int64_t now_us);

/* Ordinary traffic told what a probe would have. */
void measure_note_traffic(struct measure *measure, int64_t now_us);

/* Asks to measure now. */
enum measure_verdict measure_try_begin(struct measure *measure, int64_t now_us);

/* The end of a measurement that had begun, with the slot time it took. */
void measure_end(struct measure *measure, int64_t cost_us, int64_t now_us);

/* RETURN VALUE: when to ask again; INT64_MAX: never, or after the end of the
 * one that runs. */
int64_t measure_next_us(const struct measure *measure, int64_t now_us);

#endif
