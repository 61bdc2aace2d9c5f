/*
 * NAME
 *	estimate - how long the requests of one kind occupy a slot
 *
 * DESCRIPTION
 *	A running mean, which is right for sums, and a running median, which a
 *	rare long job hardly moves. The queue keeps one estimate for each class
 *	and one for all classes.
 *
 * GROUNDS
 *	With a larger gain of the mean a few consecutive long jobs would make
 *	the queue refuse part of a burst that could be served. The mean moves by
 *	1/64 per sample and the median by at most 1/32. Before the first sample
 *	both are 10 ms.
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
 * Notes a request that was accepted against the estimate and ended far below
 * it: the estimate stems from other conditions. With the usual small steps down
 * it would refuse most of some hundred further requests.
 */
void estimate_correct(struct estimate *estimate, int64_t sample_us);

#endif
