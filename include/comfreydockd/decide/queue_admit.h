/*
 * NAME
 *	queue_admit - admission control of a queue
 *
 * DESCRIPTION
 *	Internal to queue. Refuses items that would be late or exceed a bound,
 *	with the reason, and from time to time accepts an item that only the
 *	estimate speaks against. The grounds are in queue.h.
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
