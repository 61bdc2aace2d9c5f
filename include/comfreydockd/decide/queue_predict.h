/*
 * NAME
 *	queue_predict - predicts the waits in a queue and measures its load
 *
 * DESCRIPTION
 *	Internal to queue, like queue_admit and queue_lane. These call
 *	queue_predict, which calls neither.
 */
#ifndef COMFREYDOCKD_DECIDE_QUEUE_PREDICT_H
#define COMFREYDOCKD_DECIDE_QUEUE_PREDICT_H

#include "comfreydockd/decide/queue.h"

/*
 * RETURN VALUE: the wait of a new item of the key in a lane, behind everything
 * that waits now.
 */
int64_t queue_predict_wait_us(const struct queue *queue, uint32_t lane,
			      uint64_t key_hash, const struct queue_slots *slots);

/* The same for the item's lane, including the items that will overtake it. */
int64_t queue_predict_wait_with_arrivals_us(const struct queue *queue,
					    const struct queue_item *item,
					    const struct queue_slots *slots);

/* RETURN VALUE: a wait as it is told to callers, at least 1. */
uint32_t queue_to_retry_after_ms(int64_t wait_us);

bool queue_has_free_slot(const struct queue *queue,
			 const struct queue_slots *slots);

/*
 * Notes an offered item, to detect that more is offered than the slots can do.
 * Items that go elsewhere are not counted, since they are offered to several
 * owners.
 */
void queue_note_offered(struct queue *queue, const struct queue_item *item,
			const struct queue_slots *slots, int64_t now_us);

#endif
