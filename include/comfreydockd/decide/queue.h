/*
 * NAME
 *	queue - requests that wait for a slot of an upstream
 *
 * DESCRIPTION
 *	The queue is bounded by time, not by length. queue_offer() refuses an
 *	item if its predicted wait and the typical service time would pass its
 *	deadline. Waiting items come out by class, within a class by callers in
 *	turn (see fair), and within one caller by deadline. A class that was
 *	passed over QUEUE_PASSED_OVER_MAX times in a row comes next, so that
 *	none starves.
 *
 *	An item whose remaining time has fallen below the typical service time
 *	is stale. queue_pop() or queue_pop_stale() returns it to be refused,
 *	never to be run. queue_next_stale_us() returns when the next item
 *	becomes stale: a timer set to that time gives the request its final
 *	answer at once, instead of when a slot becomes free.
 *
 *	An item that holds up others waits only while it can still meet its
 *	target. If it cannot, it starts if a slot is free and is refused at once
 *	otherwise. Callers that send several requests at once get the answers in
 *	the order of the requests. If such a request waited until its deadline,
 *	it would get only the capacity that others leave, which is none under
 *	overload, and be refused in the end; all answers behind it would be late
 *	with it.
 *
 *	An item that can meet its target comes out before all items that can no
 *	longer meet theirs, whatever their class. The latter, each alone on its
 *	connection, get the capacity that is left. Without this rule, once
 *	arrivals exceed the slots for a moment, each answer is late by the same
 *	small amount, and none is in time until arrivals fall.
 *
 *	If a slot is free, every fourth item that only the estimate speaks
 *	against is accepted, and every one if nothing runs. Otherwise, an
 *	estimate left high by a slow spell would refuse everything, and nothing
 *	would run to correct it.
 *
 *	A queue that has not been empty for a while is standing if at least 3/4
 *	of the capacity of the slots is still being offered: waiting then serves
 *	nobody. A queue that drains after a burst is not standing. While a queue
 *	is standing, a new item may spend only half of its remaining time
 *	waiting, and the predicted wait includes the items that will overtake
 *	it: while other callers keep sending, a caller whose flow holds more
 *	than theirs waits longer than for everything that waits now.
 *
 *	queue_fifo is the baseline: a single order, no deadline, bounded by
 *	length.
 *
 * LOAD PATTERN
 *	Bursts, long jobs among short ones, overload.
 *
 * WITHOUT IT
 *	Under overload the queue grows until each request reaches the upstream
 *	just too late: all slots are busy, and nobody gets an answer in time.
 *
 * GROUNDS
 *	The predicted wait is the slot time ahead (waiting items of this class
 *	and those above) divided by the limit, plus one mean service time
 *	divided by the limit until the first slot becomes free. Slot time ahead
 *	uses the mean occupancy of the class, which is right for sums whatever
 *	the mix. Staleness uses the median: a start at that point is more likely
 *	late than not, while with 1 s jobs among 5 ms ones the mean would give
 *	up short jobs that can still be in time. Items of the same class with a
 *	later deadline count as ahead too: each was accepted on its predicted
 *	wait, and one more item would make it late.
 *
 *	A queue is standing only after 32 mean service times. Sooner, it would
 *	refuse calls that could be served when long jobs stand among short ones.
 *	The offered load is checked too, because otherwise the few arrivals
 *	after a burst would be refused.
 *
 *	The figures are in docs/design/decisions.md, "Modules by themselves".
 *	Further constants: 100 ms and 3/4 for the offered load, at least 100 ms
 *	before a queue is standing, half of the remaining time after that, one
 *	turn in 17 for a class that is passed over, one item in four against the
 *	estimate.
 *
 * SOURCE
 *	Nichols, Jacobson, "Controlling Queue Delay", ACM Queue 2012 (RFC 8289),
 *	for the standing queue; Maurer, "Fail at Scale", ACM Queue 2015, for
 *	detecting it by the time since the queue was last empty.
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
/* First one lane per class for items that can still be in time, then one lane
 * per class for late items that are alone on their connection. A late item that
 * holds up others does not wait: it starts if a slot is free and is refused
 * otherwise, at its target at the latest. */
#define QUEUE_FIRST_LATE_LANE QUEUE_CLASSES /* first lane for late items */
#define QUEUE_LANES (2 * QUEUE_CLASSES)
#define QUEUE_PASSED_OVER_MAX 16

enum queue_verdict {
	QUEUE_ACCEPTED,
	QUEUE_REFUSED_BUSY, /* no free slot, and another upstream may take it */
	QUEUE_REFUSED_DEADLINE, /* would be late */
	QUEUE_REFUSED_STANDING, /* would wait too long in a standing queue */
	QUEUE_REFUSED_UNFAIR, /* would be late; its caller is over its share */
	QUEUE_REFUSED_FULL, /* the queue is at its bound in items */
	QUEUE_REFUSED_STALE, /* waited until it was too late to start */
};

/* Embedded by the user, who sets the first group of fields before
 * queue_offer(). */
struct queue_item {
	enum config_class class;
	int64_t deadline_us;
	int64_t target_us; /* the answer is on time until then; 0: at any time */
	uint64_t key_hash; /* fair_hash() of the fairness key */
	bool may_queue; /* false: refuse instead of waiting */
	bool holds_others; /* other answers of its caller wait for its own */

	struct fair_item fair;
	struct heap_node by_latest_start;
	int64_t latest_start_us;
	int64_t wait_until_us; /* for items that hold up others */
	uint64_t sequence;
	uint32_t lane;
	bool is_queued;
};

/* The state of the upstream's slots, as known to the owner. */
struct queue_slots {
	uint32_t running;
	uint32_t limit;
};

struct queue;

struct queue_policy {
	const char *name;
	bool has_class_lanes; /* false: all items wait in lane 0 */
	heap_is_before is_before; /* orders fair_item.node */
	/* Returns how long an item may wait from now on. */
	int64_t (*allowed_wait_us)(const struct queue *queue,
				   const struct queue_item *item, int64_t now_us);
	/* Returns the last time at which starting the item makes sense. */
	int64_t (*latest_start_us)(const struct queue *queue,
				   const struct queue_item *item);
};

extern const struct queue_policy queue_fifo;
extern const struct queue_policy queue_by_deadline;

struct queue_options {
	const struct queue_policy *policy;
	bool fair;
	uint64_t seed; /* for the lists in which fair finds callers */
	/* 0: QUEUE_ITEMS_MAX. A full queue still accepts a few items of callers
	 * that have almost none in it, up to four times the bound in all. */
	uint32_t max_items;
};

#define QUEUE_ITEMS_MAX 10000

struct queue {
	const struct queue_policy *policy;
	uint32_t max_items;
	uint32_t length;
	uint64_t next_sequence;
	struct fair lanes[QUEUE_LANES]; /* fifo uses only the first one */
	uint32_t passed_over[QUEUE_CLASSES];
	uint32_t estimate_refusals[QUEUE_CLASSES]; /* overridden or not */
	bool estimate_overridden[QUEUE_CLASSES]; /* some of them were accepted */
	struct heap by_latest_start;
	struct estimate service[QUEUE_CLASSES];
	struct estimate overall;
	int64_t offered_since_us; /* start of the current window */
	int64_t offered_us; /* slot time offered in the current window */
	bool is_overloaded; /* more was offered in the last window than fits */
	int64_t busy_since_us; /* when it was last empty; valid if length > 0 */
};

void queue_init(struct queue *queue, const struct queue_options *options);

/* Releases the queue. Items that still wait stay owned by the user and are no
 * longer in the queue. */
void queue_finish(struct queue *queue);

/*
 * Offers an item. On QUEUE_ACCEPTED it is in the queue, even if a slot is free:
 * queue_pop() then returns it at once.
 *
 * RETURN VALUE
 *	QUEUE_ACCEPTED or a refusal. On a refusal *retry_after_ms is set, at
 *	least 1 and without jitter.
 */
enum queue_verdict queue_offer(struct queue *queue, struct queue_item *item,
			       const struct queue_slots *slots, int64_t now_us,
			       uint32_t *retry_after_ms);

/*
 * Removes the next item. Call it until it returns NULL or no slot is free.
 *
 * RETURN VALUE
 *	NULL if nothing waits. Otherwise *verdict is QUEUE_ACCEPTED, and the
 *	item must be run, or QUEUE_REFUSED_STALE, and it must be refused.
 */
struct queue_item *queue_pop(struct queue *queue, int64_t now_us,
			     enum queue_verdict *verdict);

/* RETURN VALUE: a stale item, removed in order to be refused, or NULL. */
struct queue_item *queue_pop_stale(struct queue *queue, int64_t now_us);

/* RETURN VALUE: when the next item becomes stale; INT64_MAX: never. */
int64_t queue_next_stale_us(const struct queue *queue);

/* Removes an item, for example on a cancel. RETURN VALUE: false if it was not
 * in the queue. */
bool queue_remove(struct queue *queue, struct queue_item *item);

/* RETURN VALUE: any item, removed, or NULL. Used to empty the queue on a
 * drain. */
struct queue_item *queue_take_any(struct queue *queue);

/* Notes how long a request held its slot. */
void queue_note_done(struct queue *queue, enum config_class class,
		     int64_t occupancy_us);

/* RETURN VALUE: the wait predicted for a new item behind all others, as
 * reported to other daemons. */
int64_t queue_expected_wait_us(const struct queue *queue,
			       const struct queue_slots *slots);

/* RETURN VALUE: the retry time for an item that is refused after it had been
 * accepted. */
uint32_t queue_retry_after_ms(const struct queue *queue,
			      const struct queue_slots *slots);

bool queue_is_standing(const struct queue *queue, int64_t now_us);
int64_t queue_median_service_us(const struct queue *queue,
				enum config_class class);
/* RETURN VALUE: the same, or 0 if no request of the class has ended yet. */
int64_t queue_known_service_us(const struct queue *queue,
			       enum config_class class);
uint32_t queue_length(const struct queue *queue);

#endif
