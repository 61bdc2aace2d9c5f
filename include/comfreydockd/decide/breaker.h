/*
 * NAME
 *	breaker - keep requests from an upstream that breaks off all it is given
 *
 * DESCRIPTION
 *	One for each owner. After BREAKER_FAILURES runs in a row that gave no
 *	answer (broken off, strange, none long after the deadline) it is open:
 *	requests that another upstream may take are turned back as not run, also
 *	where the others are slow or busy. A request that no other has taken is
 *	begun all the same, and to find out one that may be repeated every
 *	BREAKER_TRIAL_US and any other every BREAKER_UNSAFE_TRIAL_US. BREAKER_SUCCESSES
 *	answers in a row close it.
 *
 *	An upstream's own 5xx is an answer. Whether these are the upstream's
 *	fault or that of a service behind all of its kind, only entries can
 *	tell, who see the others; see health.h.
 *
 * LOAD PATTERN
 *	An upstream whose health path says that it is well and that resets each
 *	request, or answers none.
 *
 * WITHOUT IT
 *	Each entry has to find out by itself, and again with each of its
 *	trials. Bookings are lost there by the dozen, all of unknown outcome,
 *	and their callers have to look up each.
 *
 * GROUNDS
 *	BREAKER_FAILURES: an upstream that loses one answer in twenty, as under a
 *	poor network, opens it once in three million runs; one that loses four
 *	in ten once in a hundred. BREAKER_TRIAL_US: ten requests a second that
 *	may be repeated are little beside what an upstream does, and it is back
 *	within some 200 ms. Where nothing may be repeated, one caller in a second
 *	takes the risk, or the upstream would never be found well again.
 *
 * UNITS
 *	Monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_BREAKER_H
#define COMFREYDOCKD_DECIDE_BREAKER_H

#include <stdbool.h>
#include <stdint.h>

#define BREAKER_FAILURES 5
#define BREAKER_SUCCESSES 2
#define BREAKER_TRIAL_US ((int64_t)100 * 1000)
#define BREAKER_UNSAFE_TRIAL_US ((int64_t)1000 * 1000)

/* All zero at the start: closed. */
struct breaker {
	bool is_open;
	uint32_t streak; /* of failed runs */
	uint32_t good; /* answers in a row since it opened */
	int64_t tried_us; /* the last trial */
};

/* RETURN VALUE: true where the breaker has opened or closed by this. */
bool breaker_note_result(struct breaker *breaker, bool is_answer);

/*
 * RETURN VALUE: true where the request is to be turned back. false counts as a
 * trial where the breaker is open. may_repeat: lost here, it would be sent to
 * another upstream.
 */
bool breaker_turns_back(struct breaker *breaker, bool may_turn_back,
			bool may_repeat, int64_t now_us);

#endif
