/*
 * NAME
 *	advertised_limit - limits the request rate to what an upstream asks for
 *
 * DESCRIPTION
 *	An upstream in need states in its answers how many requests a second it
 *	takes from all callers together. Its owner is the only way to it, so the
 *	owner alone can hold the limit, whoever the callers are.
 *
 *	The limit applies until an answer no longer states it, or until another
 *	upstream is started there. Requests from before the limit was stated
 *	count as well: those that filled the slots until then use it up first.
 *
 *	A daemon doesn't know what its predecessor sent to the same upstream. It
 *	counts that as a full window of requests, at the time of its own start.
 *
 * LOAD PATTERN
 *	Some upstreams of a service shed load while the others have room, or all
 *	of them do.
 *
 * WITHOUT IT
 *	The upstream looks idle to the entries, as its answers are fast and its
 *	slots free, and gets more requests instead of fewer.
 *
 * GROUNDS
 *	The window is the time in which a whole number of requests, at least one
 *	second's, uses the rate exactly: see rate_window.h. A longer window would
 *	let bursts through. Requests count when they are started, not until they
 *	are answered: otherwise slow answers would lower the rate that the
 *	upstream offers.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_ADVERTISED_LIMIT_H
#define COMFREYDOCKD_DECIDE_ADVERTISED_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/decide/rate_window.h"

/* A lower limit counts as this one: only an answer can tell that it has
 * ended. */
#define ADVERTISED_LIMIT_MIN_PER_S 0.25

struct advertised_limit {
	double per_s; /* as stated; meaningless without a limit */
	struct rate_window window;
};

/* now_us is the time of the daemon's start. */
void advertised_limit_init(struct advertised_limit *limit, int64_t now_us);
void advertised_limit_finish(struct advertised_limit *limit);

/* An answer states this rate.
 * RETURN VALUE: true if the limit is new or has changed. */
bool advertised_limit_note(struct advertised_limit *limit, double per_s);

/* An answer states no limit. RETURN VALUE: true if that ends one. */
bool advertised_limit_end(struct advertised_limit *limit);

/* The upstream was replaced by another one. unknown: what was sent to it before
 * is not known; otherwise nothing was. */
void advertised_limit_reset(struct advertised_limit *limit, bool unknown);

bool advertised_limit_applies(const struct advertised_limit *limit);
void advertised_limit_note_start(struct advertised_limit *limit, int64_t now_us);

/* RETURN VALUE: how long a request has to wait if ahead others start first; 0:
 * it may start now. */
int64_t advertised_limit_wait_us(const struct advertised_limit *limit,
				 uint32_t ahead, int64_t now_us);

/* RETURN VALUE: the number of slots that the limit keeps busy if each request
 * takes service_us, from 1 to slots; slots without a limit. */
uint32_t advertised_limit_slots(const struct advertised_limit *limit,
				uint32_t slots, int64_t service_us);

#endif
