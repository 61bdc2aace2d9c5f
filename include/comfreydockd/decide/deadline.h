/*
 * NAME
 *	deadline - the time a request has left, hop by hop
 *
 * DESCRIPTION
 *	Within a process a deadline is a monotonic time; between processes it
 *	travels as remaining time, since no two hosts' clocks agree. Each hop
 *	passes on what remains less the path there and back and less a share
 *	kept for itself, so that an answer that comes at the last moment can
 *	still be passed up. No hop ever extends a deadline.
 *
 *	The retry functions shrink a service's allowance with the depth of the
 *	call, so that the retries of nested calls do not multiply. They are
 *	for attempts after a failure: one that ended NOT_RUN started no call
 *	below it and so multiplies nothing.
 *
 * LOAD PATTERN
 *	Late work; calls nested up to 13 deep.
 *
 * WITHOUT IT
 *	Slots are spent on answers that nobody waits for any more. Where each
 *	of 13 layers tries twice, one failing call below becomes 2^13 = 8,192.
 *
 * GROUNDS
 *	Share kept: 1/32, which leaves (31/32)^13 = 66 % after 13 hops; an
 *	assumption. Attempts: retries halve with each level of depth, so three
 *	attempts at most are 3 x 2 x 1 x ... = 6 over all levels. Budget: halved
 *	with each level too; a budget of b then adds at most a factor of
 *	(1 + b)(1 + b/2)(1 + b/4)... < e^(2b), which is 1.22 for 10 %, against
 *	1.1^13 = 3.45 for the same budget at each level. Path time is the mean
 *	of round trips plus four mean deviations, the rule of RFC 6298; before
 *	the first it is twice the longest given one-way time between failure
 *	domains, 1.5 ms.
 *
 * SOURCE
 *	RFC 6298 for the estimate.
 *
 * UNITS
 *	Times are monotonic microseconds; remaining time is microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_DEADLINE_H
#define COMFREYDOCKD_DECIDE_DEADLINE_H

#include <stdbool.h>
#include <stdint.h>

#define DEADLINE_DEPTH_MAX 13
#define DEADLINE_RTT_DEFAULT_US ((int64_t)3000)
/* A verdict may wait for the end of a turn of the owner's loop. */
#define DEADLINE_OVERDUE_REPLY_MIN_US ((int64_t)10000)

/* A begun answer may take longer than the deadline, but not stand still for
 * longer than this beyond it. A lost segment is repeated well within. */
#define DEADLINE_IDLE_US ((int64_t)2 * 1000 * 1000)

/* Round trips to one peer; all zero at the start. */
struct deadline_rtt {
	int64_t mean_us;
	int64_t deviation_us;
	bool known;
};

/* A longer round trip was a pause of one side. Regions on opposite sides of the
 * earth are some 300 ms apart, there and back; an assumption. */
#define DEADLINE_RTT_MAX_US ((int64_t)400 * 1000)

/* Notes a round trip in which no work was done: a refusal, a load report. One
 * above DEADLINE_RTT_MAX_US is left out. */
void deadline_rtt_note(struct deadline_rtt *path, int64_t round_trip_us);

/* RETURN VALUE: time to allow for the way there and back;
 * DEADLINE_RTT_DEFAULT_US before the first round trip. */
int64_t deadline_rtt_us(const struct deadline_rtt *path);

/*
 * The deadline of a request that arrived now: the earlier of what its sender
 * gave and what the rule allows. remaining_us < 0: the sender gave none;
 * rule_ms of 0: the rule allows any.
 *
 * RETURN VALUE
 *	INT64_MAX if there is neither.
 */
int64_t deadline_at(int64_t remaining_us, uint32_t rule_ms, int64_t now_us);

/* RETURN VALUE: 0 once it has passed; INT64_MAX where there is no deadline. */
int64_t deadline_remaining_us(int64_t deadline_us, int64_t now_us);

/* RETURN VALUE: the remaining time to send to the next hop, 0 if none is left,
 * INT64_MAX where there is no deadline. */
int64_t deadline_for_hop_us(int64_t deadline_us, int64_t path_us, int64_t now_us);

/* True where work that takes service_us after wait_us ends in time. */
bool deadline_can_finish(int64_t deadline_us, int64_t wait_us,
			 int64_t service_us, int64_t now_us);

/*
 * RETURN VALUE: when the owners are asked to cancel, shortly before the
 * deadline: a "not run" that comes in time makes the end certain.
 */
int64_t deadline_cancel_us(int64_t began_us, int64_t deadline_us);

/*
 * How long to wait for one attempt where another may follow: half of the
 * remaining time. An owner that is frozen answers nothing, and one whose host
 * has lost its power takes seconds to be noticed; without this, all calls to
 * such an upstream would end at their deadlines, though another could have
 * answered them.
 *
 * The owner is asked whether it is overdue, and has deadline_overdue_reply_us() to
 * say so. Only then, or without an answer, another attempt is sent beside it.
 * Sent unasked, each call that had waited for long would make a second one, and
 * one saw these by the thousand under overload.
 */
int64_t deadline_attempt_timeout_us(int64_t deadline_us, int64_t now_us);
int64_t deadline_overdue_reply_us(const struct deadline_rtt *path);

/*
 * How long a begun answer may still be silent. The deadline covers its head
 * only: a long answer takes as long as it takes, but must go on. An upstream that
 * stops in the middle of it resets nothing, so without this its caller would
 * wait for ever, with its connection and a slot held at both ends; one would
 * notice slots that never come back.
 *
 * RETURN VALUE
 *	0 or less: it is to be broken off.
 */
int64_t deadline_idle_left_us(int64_t deadline_us, int64_t heard_us,
			      int64_t now_us);

/* True where work has run for at least as long as time remains. */
bool deadline_is_overdue(int64_t started_us, int64_t deadline_us, int64_t now_us);

/* True where a call so deep is refused, a loop of calls being likely. */
bool deadline_is_too_deep(uint32_t depth);

/* RETURN VALUE: attempts allowed at this depth, at least 1. */
uint32_t deadline_attempts(uint32_t max_attempts, uint32_t depth);

/* RETURN VALUE: the budget at this depth, in permille of recent calls. */
uint32_t deadline_retry_budget_permille(uint32_t budget_percent, uint32_t depth);

#endif
