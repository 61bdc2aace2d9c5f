/*
 * NAME
 *	fair - equal shares for callers that wait, by deficit round robin
 *
 * DESCRIPTION
 *	Waiting items are kept in flows, one for each fairness key that waits.
 *	fair_pop() goes round the flows and gives each the same slot time a
 *	round; within a flow the order is the user's. Nobody waits while a slot
 *	is free, so idle capacity is free to anyone. Switched off, all keys are
 *	one flow and the order is the user's alone.
 *
 *	A flow is made with its first item and freed with its last: memory goes
 *	by what waits, however many keys there are. Found by hash, in lists; the
 *	seed keeps a caller from choosing keys that all fall in one list.
 *
 * LOAD PATTERN
 *	A hot caller or key.
 *
 * WITHOUT IT
 *	One caller that sends as much as all others together takes their place
 *	in the queue, and their requests are refused or late because of it.
 *
 * GROUNDS
 *	No two keys share a flow: a caller in the flow of a hot one would be
 *	refused with it.
 *
 *	FAIR_BUCKETS: lists of four on average where 1,024 callers wait at one
 *	upstream, an assumption. A round's quantum follows the largest cost
 *	pushed and decays by 1/64 with each push: a quantum no less than the
 *	costs gives each item in constant time (the cited paper), and without
 *	the decay one long estimate would make rounds coarse for as long as the
 *	queue stands. Two callers that both wait are never further apart than
 *	one quantum and two of the largest costs, as the paper has it;
 *	tests/test_fair.c holds the code to it.
 *
 * SOURCE
 *	Shreedhar, Varghese, "Efficient Fair Queuing Using Deficit Round
 *	Robin", SIGCOMM 1995.
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
	struct fair_flow *flow; /* while it waits */
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
	TAILQ_HEAD(fair_flow_list, fair_flow) active; /* in turn */
	uint32_t active_flows;
	uint32_t length;
	int64_t work_us;
	int64_t quantum_us;
	LIST_HEAD(fair_bucket, fair_flow) buckets[FAIR_BUCKETS];
};

/* is_before orders the items of one flow by their node. */
void fair_init(struct fair *fair, bool enabled, uint64_t seed,
	       heap_is_before is_before);

/* Items that still wait are the user's, and in no flow any more. */
void fair_finish(struct fair *fair);

void fair_push(struct fair *fair, struct fair_item *item);

/* RETURN VALUE: the next item, taken out, or NULL. */
struct fair_item *fair_pop(struct fair *fair);

/* Takes out an item that was pushed and not popped. */
void fair_remove(struct fair *fair, struct fair_item *item);

/*
 * RETURN VALUE: slot time that would be served before a new item of this key:
 * its own flow's a round for each flow, and never more than all that waits.
 */
int64_t fair_work_ahead_us(const struct fair *fair, uint64_t key_hash);

/*
 * The same where others keep arriving: what comes later to flows that hold
 * less overtakes, so that no bound by what waits now holds.
 */
int64_t fair_work_ahead_with_arrivals_us(const struct fair *fair,
					 uint64_t key_hash);

/* True where others wait too and this key's flow holds more than an equal
 * share of the waiting slot time. */
bool fair_is_over_share(const struct fair *fair, uint64_t key_hash);

/* RETURN VALUE: items that wait in this key's flow. */
uint32_t fair_flow_length(const struct fair *fair, uint64_t key_hash);

/* RETURN VALUE: a hash to be used as key_hash. */
uint64_t fair_hash(const char *key);

#endif
