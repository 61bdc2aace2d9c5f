/*
 * NAME
 *	breaker - a circuit breaker for an upstream that fails every request
 *
 * DESCRIPTION
 *	Each owner has one. It opens after BREAKER_FAILURES consecutive runs
 *	without an answer: the connection broke, the answer was malformed, or
 *	none came until long after the deadline. While it is open, the owner
 *	refuses, as not run, each request that another upstream may take, even
 *	if the others are slow or busy. A request that no other upstream has
 *	taken is started all the same. As trials, a request that may be repeated
 *	is started every BREAKER_TRIAL_US, and any other one every
 *	BREAKER_UNSAFE_TRIAL_US. BREAKER_SUCCESSES consecutive answers close the
 *	breaker.
 *
 *	A 5xx of the upstream counts as an answer. Only entries, which see the
 *	other upstreams too, can tell whether the upstream or a service behind
 *	all upstreams is at fault; see health.h.
 *
 * LOAD PATTERN
 *	An upstream whose health check succeeds, but which resets every request
 *	or answers none.
 *
 * WITHOUT IT
 *	Each entry has to find out by itself, and does so again with each of its
 *	trials. Dozens of bookings are lost there with an unknown outcome, and
 *	their callers have to look up each one.
 *
 * GROUNDS
 *	BREAKER_FAILURES: an upstream that loses one answer in twenty, as on a
 *	lossy network, opens the breaker once in three million runs; one that
 *	loses four in ten opens it once in a hundred. BREAKER_TRIAL_US: ten
 *	repeatable requests a second are a small load for an upstream, and a
 *	recovered one is back within some 200 ms. If no request may be repeated,
 *	one caller per second takes the risk; otherwise, the upstream would
 *	never be found to have recovered.
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

/* Zero-initialised: closed. */
struct breaker {
	bool is_open;
	uint32_t streak; /* consecutive failed runs */
	uint32_t successes; /* consecutive answers since it opened */
	int64_t last_trial_us;
};

/* RETURN VALUE: true if the result has opened or closed the breaker. */
bool breaker_note_result(struct breaker *breaker, bool is_answer);

/*
 * may_repeat: if the request is lost here, it is sent to another upstream.
 *
 * RETURN VALUE
 *	True if the request must be refused. False counts as a trial if the
 *	breaker is open.
 */
bool breaker_turns_back(struct breaker *breaker, bool may_turn_back,
			bool may_repeat, int64_t now_us);

#endif
