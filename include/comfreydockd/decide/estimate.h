/*
 * NAME
 *	estimate - how long the requests of one kind hold a slot
 *
 * DESCRIPTION
 *	A running mean, which is right for sums, and a running median, which a
 *	rare long job hardly moves. queue keeps one for each class and one for
 *	all.
 *
 * GROUNDS
 *	With a larger gain of the mean, a few long jobs in a row make the queue
 *	refuse a part of a burst that could be served. The steps of the median
 *	and the time before the first sample are assumptions.
 *
 * UNITS
 *	Microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_ESTIMATE_H
#define COMFREYDOCKD_DECIDE_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

struct estimate {
	int64_t mean_us;
	int64_t median_us;
	bool known;
};

void estimate_init(struct estimate *estimate);

void estimate_note(struct estimate *estimate, int64_t sample_us);

/*
 * A request that the estimate spoke against has ended, and far below it: the
 * estimate is of other times. Brought down by the usual small steps it would
 * refuse most of some hundred requests yet.
 */
void estimate_correct(struct estimate *estimate, int64_t sample_us);

#endif
