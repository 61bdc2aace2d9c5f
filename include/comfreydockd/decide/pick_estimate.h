/*
 * NAME
 *	pick_estimate - estimates the load and speed of a candidate
 *
 * DESCRIPTION
 *	Internal to pick and stay. The estimates that other modules use are
 *	declared in pick.h.
 */
#ifndef COMFREYDOCKD_DECIDE_PICK_ESTIMATE_H
#define COMFREYDOCKD_DECIDE_PICK_ESTIMATE_H

#include "comfreydockd/decide/pick.h"

/* Least weight of a cold upstream. */
#define PICK_WARM_MIN 0.05

/* RETURN VALUE: the reported limit, else the declared slots; always positive. */
double pick_limit(const struct pick_candidate *candidate);

/* RETURN VALUE: the slots of the upstream, fewer while it warms up. */
double pick_capacity(const struct pick_candidate *candidate);

/* RETURN VALUE: the weight of the last report: 1 on arrival, falling toward 0
 * with age. */
double pick_report_weight(const struct pick_set *set,
			  const struct pick_candidate *candidate, int64_t now_us);

/* RETURN VALUE: the number of attempts that are estimated to run or wait at the
 * upstream. The attempt that is about to be placed is not included. */
double pick_work(const struct pick_set *set,
		 const struct pick_candidate *candidate, int64_t now_us);

bool pick_has_room(const struct pick_set *set,
		   const struct pick_candidate *candidate, int64_t now_us);

bool pick_is_pace_known(const struct pick_candidate *candidate, int64_t now_us);

/* RETURN VALUE: the measured latency, aged toward the typical one. */
double pick_aged_latency_us(const struct pick_set *set,
			    const struct pick_candidate *candidate,
			    int64_t now_us);

/* RETURN VALUE: whether the candidate is usable, not tried and not skipped. */
bool pick_is_eligible(const struct pick_candidate *candidate,
		      const struct pick_tried *tried);

#endif
