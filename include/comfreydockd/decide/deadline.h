/*
 * NAME
 *	deadline - the remaining time of a request, hop by hop
 *
 * DESCRIPTION
 *	Within a process a deadline is a monotonic time. Between processes it is
 *	sent as remaining time, since the clocks of two hosts never agree. Each
 *	hop passes on the remaining time less the round trip to the next hop and
 *	less a share that it keeps for itself, so that an answer that comes at
 *	the last moment can still be passed back. No hop ever extends a
 *	deadline.
 *
 *	The retry functions reduce a service's allowance with the depth of the
 *	call, so that retries of nested calls do not multiply. They apply to
 *	attempts after a failure. An attempt that ended NOT_RUN started no
 *	nested call and therefore multiplies nothing.
 *
 * LOAD PATTERN
 *	Late work; calls nested up to 13 deep.
 *
 * WITHOUT IT
 *	Slots are spent on answers that nobody waits for any more. If each of 13
 *	layers tries twice, one failing call at the bottom becomes 2^13 = 8,192.
 *
 * GROUNDS
 *	Share kept: 1/32 leaves (31/32)^13 = 66 % after 13 hops. Attempts: the
 *	number of retries halves with each level of depth, so at most three
 *	attempts become 3 x 2 x 1 x ... = 6 over all levels. Budget: it halves
 *	with each level too. A budget of b then multiplies the load by at most
 *	(1 + b)(1 + b/2)(1 + b/4)... < e^(2b), which is 1.22 for 10 %; the same
 *	budget at each level would give 1.1^13 = 3.45. Round-trip time: the mean
 *	plus four mean deviations, the rule of RFC 6298. Before the first
 *	measurement it is 3 ms, twice the longest given one-way time between
 *	failure domains, 1.5 ms.
 *
 * SOURCE
 *	RFC 6298 for the round-trip estimate.
 *
 * UNITS
 *	Times are monotonic microseconds; remaining time is in microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_DEADLINE_H
#define COMFREYDOCKD_DECIDE_DEADLINE_H

#include <stdbool.h>
#include <stdint.h>

#define DEADLINE_DEPTH_MAX 13
#define DEADLINE_RTT_DEFAULT_US ((int64_t)3000)
/* The reply whether an attempt is overdue may have to wait for the end of the
 * current iteration of the owner's event loop. */
#define DEADLINE_OVERDUE_REPLY_MIN_US ((int64_t)10000)

/* An answer that has begun may last beyond the deadline, but must not pause for
 * longer than this after it. Covers the retransmission of a lost segment. */
#define DEADLINE_IDLE_US ((int64_t)400 * 1000)
/* An answer of which the caller has no part yet must be whole this long after the
 * deadline, or after its head if that was read later. */
#define DEADLINE_WITHHELD_US ((int64_t)200 * 1000)

/* Round-trip estimate for one peer. Zero-initialised. */
struct deadline_rtt {
	int64_t mean_us;
	int64_t deviation_us;
	bool known;
};

/* A longer round trip is treated as a pause of one side. Regions on opposite
 * sides of the earth have a round-trip time of some 300 ms. */
#define DEADLINE_RTT_MAX_US ((int64_t)400 * 1000)

/* Notes a round trip without work in between: a refusal or a load report. One
 * above DEADLINE_RTT_MAX_US is ignored. */
void deadline_rtt_note(struct deadline_rtt *rtt, int64_t round_trip_us);

/* RETURN VALUE: the time to set aside for the round trip;
 * DEADLINE_RTT_DEFAULT_US before the first sample. */
int64_t deadline_rtt_us(const struct deadline_rtt *rtt);

/*
 * Returns the deadline of a request that arrives now: the earlier one of the
 * sender's and the rule's. remaining_us < 0: the sender gave none; rule_ms of
 * 0: the rule sets none.
 *
 * RETURN VALUE
 *	INT64_MAX if there is neither.
 */
int64_t deadline_at(int64_t remaining_us, uint32_t rule_ms, int64_t now_us);

/* RETURN VALUE: 0 after the deadline; INT64_MAX if there is no deadline. */
int64_t deadline_remaining_us(int64_t deadline_us, int64_t now_us);

/* RETURN VALUE: the remaining time to send to the next hop; 0 if none is left,
 * INT64_MAX if there is no deadline. */
int64_t deadline_for_hop_us(int64_t deadline_us, int64_t rtt_us, int64_t now_us);

/* Returns true if work that takes service_us after wait_us ends in time. */
bool deadline_can_finish(int64_t deadline_us, int64_t wait_us,
			 int64_t service_us, int64_t now_us);

/*
 * RETURN VALUE: when to ask the owners to cancel, shortly before the deadline:
 * a "not run" that arrives in time settles the outcome.
 */
int64_t deadline_cancel_us(int64_t began_us, int64_t deadline_us);

/*
 * deadline_attempt_timeout_us() returns how long to wait for one attempt if
 * another may follow: half of the remaining time. A frozen owner answers
 * nothing, and the power loss of a host takes seconds to be noticed. Without
 * this timeout all calls to such an upstream would end at their deadlines,
 * although another upstream could have answered them.
 *
 * After the timeout the entry asks the owner whether the attempt is overdue,
 * and waits deadline_overdue_reply_us() for the reply. Only if the attempt is
 * overdue, or no reply comes, is another attempt sent in parallel. Without the
 * question, each call that had waited long would cause a second one; under
 * overload these were seen by the thousand.
 */
int64_t deadline_attempt_timeout_us(int64_t deadline_us, int64_t now_us);
int64_t deadline_overdue_reply_us(const struct deadline_rtt *rtt);

/*
 * deadline_idle_left_us() returns how long an answer that is being delivered may
 * stay idle. The deadline covers only its head: a long answer may take its time,
 * but must make progress. An upstream that stops in the middle of an answer
 * resets nothing. Without this limit its caller would wait forever, with a
 * connection and a slot held at both ends; the fault shows as slots that never
 * become free again.
 *
 * deadline_withheld_left_us() returns how long to wait for the rest of an answer
 * that is withheld from its caller until it is whole. To the caller there is no
 * answer so far, so the deadline covers all of it.
 *
 * RETURN VALUE
 *	0 or less: the answer must be aborted.
 */
int64_t deadline_idle_left_us(int64_t deadline_us, int64_t last_data_us,
			      int64_t now_us);
int64_t deadline_withheld_left_us(int64_t deadline_us, int64_t head_us,
				  int64_t now_us);

/* Returns true if the work has run for at least as long as time remains. */
bool deadline_is_overdue(int64_t started_us, int64_t deadline_us, int64_t now_us);

/* Returns true if a call this deep must be refused, as a loop of calls is
 * likely. */
bool deadline_is_too_deep(uint32_t depth);

/* RETURN VALUE: the attempts allowed at this depth, at least 1. */
uint32_t deadline_attempts(uint32_t max_attempts, uint32_t depth);

/* RETURN VALUE: the retry budget at this depth, in permille of recent calls. */
uint32_t deadline_retry_budget_permille(uint32_t budget_percent, uint32_t depth);

#endif
