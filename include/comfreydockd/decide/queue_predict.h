/*
 * NAME
 *	queue_foresee - what a queue expects of waits and of its load
 *
 * DESCRIPTION
 *	Internal to queue, as queue_admit and queue_lane are; these ask here,
 *	and nothing here asks them.
 */
#ifndef COMFREYDOCKD_DECIDE_QUEUE_PREDICT_H
#define COMFREYDOCKD_DECIDE_QUEUE_PREDICT_H

#include "comfreydockd/decide/queue.h"

/*
 * RETURN VALUE: the wait of a new item of the key in a lane, behind what waits
 * now.
 */
int64_t queue_predict_wait_us(const struct queue *queue, uint32_t lane,
			      uint64_t key_hash, const struct queue_slots *slots);

/* The same in the item's lane, with those that will overtake it. */
int64_t queue_predict_wait_with_arrivals_us(const struct queue *queue,
					    const struct queue_item *item,
					    const struct queue_slots *slots);

/* RETURN VALUE: a wait as callers are told it, at least 1. */
uint32_t queue_to_retry_after_ms(int64_t wait_us);

bool queue_has_free_slot(const struct queue *queue,
			 const struct queue_slots *slots);

/*
 * Notes an item that is offered, to tell whether more comes than the slots can
 * do. What goes elsewhere is left out: it is offered to several owners.
 */
void queue_note_offered(struct queue *queue, const struct queue_item *item,
			const struct queue_slots *slots, int64_t now_us);

#endif
