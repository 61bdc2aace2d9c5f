/*
 * NAME
 *	throttle - refuse early what the owners of a group would refuse
 *
 * DESCRIPTION
 *	An entry keeps one struct throttle for each group. It counts, for each
 *	class, the calls of the last THROTTLE_WINDOW_US and how many of them got
 *	a slot anywhere. A call counts when its result is known: counted when it
 *	began, long calls would look like refused ones while demand rises. A
 *	class in which far fewer calls got one is refused with a probability of
 *
 *		(calls - THROTTLE_FACTOR * accepted) / (calls + 1)
 *
 *	at most THROTTLE_MAX, so that some calls still reach an owner and end
 *	the throttling when there is room again. The calls refused here count as
 *	calls, but without a refusal by an owner in the window nothing is
 *	throttled: where no upstream is left, owners don't refuse for overload.
 *
 *	Within a class, callers are told apart by the hash of their fairness
 *	key, and a caller is refused with at most the probability that its own
 *	calls give: the owners' queues serve callers in turn, and a caller that
 *	floods a group must not get the others refused. The calls of a few
 *	callers may fall into the same part.
 *
 *	A class is throttled at least as much as each more urgent one. Where
 *	calls of an urgent class are refused, the less urgent ones are throttled
 *	first, and the urgent one only as much as they have been.
 *
 * LOAD PATTERN
 *	Demand above the capacity of a group for seconds.
 *
 * WITHOUT IT
 *	Each call that can't be served is sent to an owner to be refused, many
 *	of them in another failure domain, and the refusals take the daemons'
 *	processor time from the calls that can be served.
 *
 * GROUNDS
 *	docs/design/staying.md. tests/traces/overload-classes replays three
 *	classes at twice the capacity. THROTTLE_MAX: from a tenth of the calls,
 *	the accepted ones grow to all of them within two windows.
 *
 * SOURCE
 *	"Handling Overload", Site Reliability Engineering, chapter 21.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_THROTTLE_H
#define COMFREYDOCKD_DECIDE_THROTTLE_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/config/model.h"
#include "comfreydockd/decide/random.h"

#define THROTTLE_CLASSES (CONFIG_CLASS_BULK + 1)
#define THROTTLE_WINDOW_US (2 * 1000 * 1000)
#define THROTTLE_SLICES 10
#define THROTTLE_FACTOR 2.0
#define THROTTLE_MAX 0.9
/* Fewer calls than this in the window say nothing. */
#define THROTTLE_CALLS_MIN 8

/* Callers are told apart by this many parts of their keys' hashes. */
#define THROTTLE_PARTS 32

/* The calls of some callers; older ones count for less. */
struct throttle_part {
	double calls;
	double accepted;
	int64_t at_us;
};

struct throttle_counts {
	uint32_t accepted;
	uint32_t refused; /* by owners, for lack of capacity */
	uint32_t throttled;
};

/* An entry's state for one group; zero-initialised. */
struct throttle {
	struct throttle_counts slices[THROTTLE_SLICES][THROTTLE_CLASSES];
	struct throttle_part parts[THROTTLE_CLASSES][THROTTLE_PARTS];
	int64_t slice; /* number of the current one since the clock's start */
	uint32_t come_back_ms[THROTTLE_CLASSES]; /* as told last; 0: never */
};

/* RETURN VALUE: whether a new call of the class is to be refused. It is then
 * counted; any other call is counted by one of the functions below, if the
 * result says something about the group's capacity. *probability is set to what
 * the refusal was drawn with. */
bool throttle_refuses(struct throttle *throttle, enum config_class class,
		      uint64_t key_hash, struct random_state *random,
		      int64_t now_us, double *probability);

/* A call got a slot. */
void throttle_note_accepted(struct throttle *throttle, enum config_class class,
			    uint64_t key_hash, int64_t now_us);

/* A call ended as refused for lack of capacity. come_back_ms: the retry delay
 * that the last owner gave. */
void throttle_note_refused(struct throttle *throttle, enum config_class class,
			   uint64_t key_hash, uint32_t come_back_ms,
			   int64_t now_us);

/* A call ended as refused because its caller had more than its share of the
 * slots. That says nothing of the capacity that is left for others, so that it
 * counts for this caller alone. */
void throttle_note_over_share(struct throttle *throttle, enum config_class class,
			      uint64_t key_hash, int64_t now_us);

/* RETURN VALUE: the probability with which a call is refused now. */
double throttle_probability(struct throttle *throttle, enum config_class class,
			    uint64_t key_hash, int64_t now_us);

/* RETURN VALUE: the retry delay for a call that was refused: what an owner told
 * last a call of this class, else of a more urgent one. */
uint32_t throttle_come_back_ms(const struct throttle *throttle,
			       enum config_class class);

#endif
