/*
 * NAME
 *	queue - what waits for a slot of an upstream
 *
 * DESCRIPTION
 *	Bounded by time, not by length. queue_offer() refuses an item whose
 *	foreseen wait and typical service would pass its deadline. What waits
 *	comes out by class, within a class by callers in turn (see fair), and
 *	within one caller by deadline. A class that was passed over
 *	QUEUE_PASSED_OVER_MAX times in a row comes next, so that none starves.
 *
 *	An item whose remaining time has fallen below the typical service time
 *	is stale and comes out of queue_pop() or queue_pop_stale() to be
 *	refused, never to be run. queue_next_stale_us() tells when the next one
 *	becomes so: a timer set by it gives such a request its final answer at
 *	once, not first when a slot comes free.
 *
 *	An item that holds up others waits only while it can still meet its
 *	target: one that can't is begun where a slot is free, and else refused
 *	at once. Callers who send several requests at once get the answers in
 *	the order of the requests. One of them that waited to its deadline got
 *	what the others leave, under overload nothing, and was refused in the
 *	end; all behind it were late with it.
 *
 *	An item with a target comes out before all that can't meet theirs any
 *	more, whatever their class: these, each alone on its connection, get
 *	what the others leave. Without this, once arrivals exceed the slots for
 *	a moment, each answer is late by the same little, and nobody's is in
 *	time until arrivals fall.
 *
 *	Where a slot is free, each fourth item that only the estimate speaks
 *	against is let through, and each one where nothing runs. Otherwise an
 *	estimate left high by a slow spell would refuse everything, and nothing
 *	would run to correct it.
 *
 *	A queue that has not been empty for a while is standing if no less than
 *	3/4 of what the slots can do is still being offered: waits then serve
 *	nobody. One that drains after a rush is not. As long as it stands, an
 *	arrival may spend only half of its remaining time in waiting, and its
 *	wait is foreseen with those that will overtake it: a caller whose flow
 *	holds more than others waits longer than for all that waits now, while
 *	others keep arriving.
 *
 *	queue_fifo is the baseline: one order, no deadline, bounded by length.
 *
 * LOAD PATTERN
 *	Bursts, long jobs among short ones, overload.
 *
 * WITHOUT IT
 *	Under overload the queue grows until each request reaches the upstream
 *	just too late: all slots are busy and nobody gets an answer in time.
 *
 * GROUNDS
 *	Foreseen wait is the slot time ahead (waiting items of this class and
 *	those above) divided by the limit, plus one mean service time divided
 *	by the limit for the first slot to come free. Slot time ahead is
 *	counted by the mean occupancy of the class, which is right for sums
 *	whatever the mix. Staleness goes by the median: a start at that point
 *	is more likely late than not, while with 1 s jobs among 5 ms ones the
 *	mean would declare short jobs hopeless. Items of the same class with a
 *	later deadline count as ahead too: each was accepted on its foreseen
 *	wait, and one more would make it late.
 *	Standing only after 32 mean service times: sooner, it refuses calls that
 *	could be served where long jobs stand among short ones. The offered load
 *	is looked at, or the quiet arrivals behind a rush would be refused too.
 *	The figures are in docs/design/decisions.md, "Modules by themselves".
 *	Assumptions: 100 ms and 3/4 for what is offered, at least 100 ms before
 *	a queue is standing, half of the remaining time then, one turn in 17
 *	for a class that is passed over, one item in four against the estimate.
 *
 * SOURCE
 *	Nichols, Jacobson, "Controlling Queue Delay", ACM Queue 2012 (RFC 8289),
 *	for the standing queue; Maurer, "Fail at Scale", ACM Queue 2015, for
 *	telling one by the time since the queue was last empty.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_QUEUE_H
#define COMFREYDOCKD_DECIDE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/config/model.h"
#include "comfreydockd/decide/estimate.h"
#include "comfreydockd/decide/fair.h"
#include "comfreydockd/decide/heap.h"

#define QUEUE_CLASSES (CONFIG_CLASS_BULK + 1)
/* By class those that can still be in time, then by class those that can't and are
 * alone on their connection. A late one that holds others is begun where a slot is
 * free and else refused, at its target at the latest: it waits in no lane. */
#define QUEUE_LATE_LANES QUEUE_CLASSES /* the first lane of the latter */
#define QUEUE_LANES (2 * QUEUE_CLASSES)
#define QUEUE_PASSED_OVER_MAX 16

enum queue_verdict {
	QUEUE_ACCEPTED,
	QUEUE_REFUSED_BUSY, /* no free slot, and it may still go elsewhere */
	QUEUE_REFUSED_DEADLINE, /* would be late */
	QUEUE_REFUSED_STANDING, /* would wait too long in a standing queue */
	QUEUE_REFUSED_UNFAIR, /* would be late, its caller being over its share */
	QUEUE_REFUSED_FULL, /* the bound in items */
	QUEUE_REFUSED_STALE, /* waited until it was too late to start */
};

/* Embedded by the user, who sets the first part before queue_offer(). */
struct queue_item {
	enum config_class class;
	int64_t deadline_us;
	int64_t target_us; /* an answer by then is in time; 0: any is */
	uint64_t key_hash; /* fair_hash() of the fairness key */
	bool may_queue; /* false: refuse rather than wait */
	bool holds_others; /* other answers of its caller wait for its own */

	struct fair_item fair;
	struct heap_node by_latest_start;
	int64_t latest_start_us;
	int64_t wait_until_us; /* see holds_others */
	uint64_t sequence;
	uint32_t lane;
	bool is_queued;
};

/* The state of the upstream's slots, as the owner knows it. */
struct queue_slots {
	uint32_t running;
	uint32_t limit;
};

struct queue;

struct queue_policy {
	const char *name;
	bool by_class;
	heap_is_before is_before; /* of fair_item.node */
	/* How long an item may wait from now on. */
	int64_t (*allowed_wait_us)(const struct queue *queue,
				   const struct queue_item *item, int64_t now_us);
	/* The last time at which a start makes sense. */
	int64_t (*latest_start_us)(const struct queue *queue,
				   const struct queue_item *item);
};

extern const struct queue_policy queue_fifo;
extern const struct queue_policy queue_by_deadline;

struct queue_options {
	const struct queue_policy *policy;
	bool fair;
	uint64_t seed; /* of the lists in which fair finds callers */
	/* 0: QUEUE_ITEMS_MAX. A full queue still takes a few items of callers
	 * that have almost none in it, up to four times the bound in all. */
	uint32_t max_items;
};

#define QUEUE_ITEMS_MAX 10000

struct queue {
	const struct queue_policy *policy;
	uint32_t max_items;
	uint32_t length;
	uint64_t next_sequence;
	struct fair lanes[QUEUE_LANES]; /* fifo uses the first only */
	uint32_t passed_over[QUEUE_CLASSES];
	uint32_t doubts[QUEUE_CLASSES]; /* items the estimate spoke against */
	bool in_doubt[QUEUE_CLASSES]; /* some of them were let through */
	struct heap by_latest_start;
	struct estimate service[QUEUE_CLASSES];
	struct estimate overall;
	int64_t offered_since_us; /* start of the window */
	int64_t offered_us; /* slot time offered in it */
	bool is_overloaded; /* in the last window, more than the slots have */
	int64_t busy_since_us; /* when it was last empty; valid if length > 0 */
};

void queue_init(struct queue *queue, const struct queue_options *options);

/* Items that still wait are the user's, and in no queue any more. */
void queue_finish(struct queue *queue);

/*
 * Offers an item. On QUEUE_ACCEPTED it is in the queue, also where a slot is
 * free: queue_pop() then gives it at once.
 *
 * RETURN VALUE
 *	QUEUE_ACCEPTED or a refusal; on a refusal *retry_after_ms is set, at
 *	least 1, without jitter.
 */
enum queue_verdict queue_offer(struct queue *queue, struct queue_item *item,
			       const struct queue_slots *slots, int64_t now_us,
			       uint32_t *retry_after_ms);

/*
 * Takes out the next item. Call until NULL or until no slot is free.
 *
 * RETURN VALUE
 *	NULL if nothing waits. Otherwise *verdict is QUEUE_ACCEPTED, and the
 *	item is to be run, or QUEUE_REFUSED_STALE, and it is to be refused.
 */
struct queue_item *queue_pop(struct queue *queue, int64_t now_us,
			     enum queue_verdict *verdict);

/* RETURN VALUE: a stale item, taken out to be refused, or NULL. */
struct queue_item *queue_pop_stale(struct queue *queue, int64_t now_us);

/* RETURN VALUE: when the next item becomes stale; INT64_MAX: none will. */
int64_t queue_next_stale_us(const struct queue *queue);

/* Takes out an item, as on a cancel. RETURN VALUE: false if it was not in. */
bool queue_remove(struct queue *queue, struct queue_item *item);

/* RETURN VALUE: any item, taken out, or NULL; to empty the queue on a drain. */
struct queue_item *queue_take_any(struct queue *queue);

/* Notes how long a request held its slot. */
void queue_note_done(struct queue *queue, enum config_class class,
		     int64_t occupancy_us);

/* RETURN VALUE: the wait foreseen for a new item behind everything, as
 * reported to other daemons. */
int64_t queue_expected_wait_us(const struct queue *queue,
			       const struct queue_slots *slots);

/* When to come back after a refusal of an item that had been accepted. */
uint32_t queue_retry_after_ms(const struct queue *queue,
			      const struct queue_slots *slots);

bool queue_is_standing(const struct queue *queue, int64_t now_us);
int64_t queue_median_service_us(const struct queue *queue,
				enum config_class class);
/* RETURN VALUE: the same, or 0 where none of the class has ended yet. */
int64_t queue_known_service_us(const struct queue *queue,
			       enum config_class class);
uint32_t queue_length(const struct queue *queue);

#endif
