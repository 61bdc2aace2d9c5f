/*
 * NAME
 *	fair - fair queueing of waiting callers by deficit round robin
 *
 * DESCRIPTION
 *	Waiting items are kept in flows, one for each fairness key that waits.
 *	fair_pop() serves the flows in turn and gives each the same slot time
 *	per round; the user defines the order within a flow. Nobody waits while
 *	a slot is free, so idle capacity is available to anyone. If fairness is
 *	disabled, all keys share one flow, and only the user's order counts.
 *
 *	A flow is created with its first item and freed with its last one, so
 *	memory depends on what waits and not on the number of keys. Flows are
 *	found by hash in linked lists; the seed keeps a caller from choosing
 *	keys that all fall into one list.
 *
 * LOAD PATTERN
 *	A hot caller or key.
 *
 * WITHOUT IT
 *	A caller that sends as much as all others together takes their place in
 *	the queue, and their requests are refused or late because of it.
 *
 * GROUNDS
 *	No two keys share a flow: a caller in the flow of a hot one would be
 *	refused with it.
 *
 *	FAIR_BUCKETS: the lists have four entries on average if 1,024 callers
 *	wait at one upstream. A round's quantum follows the largest cost pushed
 *	and decays by 1/64 with each push. A quantum no smaller than the costs
 *	makes each operation take constant time (see the paper); without the
 *	decay one long estimate would make rounds coarse for as long as the
 *	queue exists. The slot times served to two waiting callers never differ
 *	by more than one quantum and two of the largest costs, as the paper
 *	proves; tests/test_fair.c checks this.
 *
 * SOURCE
 *	Shreedhar, Varghese, "Efficient Fair Queuing Using Deficit Round Robin",
 *	SIGCOMM 1995.
 *
 * UNITS
 *	Costs are slot time in microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_FAIR_H
#define COMFREYDOCKD_DECIDE_FAIR_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "comfreydockd/decide/heap.h"

#define FAIR_BUCKETS 256

/* Embedded by the user. */
struct fair_item {
	struct heap_node node;
	uint64_t key_hash; /* set by the user */
	int64_t cost_us; /* set by the user, at least 1 */
	struct fair_flow *flow; /* valid while the item waits */
};

struct fair_flow {
	LIST_ENTRY(fair_flow) bucket_link;
	TAILQ_ENTRY(fair_flow) link;
	uint64_t key_hash;
	struct heap items;
	uint32_t length;
	int64_t work_us; /* sum of costs */
	int64_t deficit_us;
};

struct fair {
	bool enabled;
	uint64_t seed;
	heap_is_before is_before;
	TAILQ_HEAD(fair_flow_list, fair_flow) active; /* in round-robin order */
	uint32_t active_flows;
	uint32_t length;
	int64_t work_us;
	int64_t quantum_us;
	LIST_HEAD(fair_bucket, fair_flow) buckets[FAIR_BUCKETS];
};

/* is_before orders the items of one flow by their nodes. */
void fair_init(struct fair *fair, bool enabled, uint64_t seed,
	       heap_is_before is_before);

/* Removes all flows. Items that still wait stay owned by the user and are no
 * longer in a flow. */
void fair_finish(struct fair *fair);

void fair_push(struct fair *fair, struct fair_item *item);

/* RETURN VALUE: the next item, which is removed, or NULL. */
struct fair_item *fair_pop(struct fair *fair);

/* Removes an item that was pushed and not popped. */
void fair_remove(struct fair *fair, struct fair_item *item);

/*
 * RETURN VALUE: the slot time that would be served before a new item of this
 * key: the work of its own flow times the number of flows, and never more than
 * all waiting work.
 */
int64_t fair_work_ahead_us(const struct fair *fair, uint64_t key_hash);

/*
 * The same for the case that other callers keep sending: their later items in
 * shorter flows overtake this one, so that the waiting work is no upper bound.
 */
int64_t fair_work_ahead_with_arrivals_us(const struct fair *fair,
					 uint64_t key_hash);

/* Returns true if other keys wait too and this key's flow holds more than an
 * equal share of the waiting slot time. */
bool fair_is_over_share(const struct fair *fair, uint64_t key_hash);

/* RETURN VALUE: the number of items that wait in this key's flow. */
uint32_t fair_flow_length(const struct fair *fair, uint64_t key_hash);

/* RETURN VALUE: a hash for use as key_hash. */
uint64_t fair_hash(const char *key);

#endif
