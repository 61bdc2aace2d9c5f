/*
 * NAME
 *	queue_admit - whether a queue takes an item
 *
 * DESCRIPTION
 *	Internal to queue. Refuses what would be late or is too much, and names
 *	the reason; lets an item through now and then that only the estimate
 *	speaks against. See queue for its grounds.
 */
#ifndef COMFREYDOCKD_DECIDE_QUEUE_ADMIT_H
#define COMFREYDOCKD_DECIDE_QUEUE_ADMIT_H

#include "comfreydockd/decide/queue.h"

/*
 * Sets the item's lane and the times until which it may wait and start.
 *
 * RETURN VALUE
 *	QUEUE_ACCEPTED, or a refusal with *retry_after_ms set.
 */
enum queue_verdict queue_admit(struct queue *queue, struct queue_item *item,
			       const struct queue_slots *slots, int64_t now_us,
			       uint32_t *retry_after_ms);

#endif
