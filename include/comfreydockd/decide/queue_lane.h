/*
 * NAME
 *	queue_lane - which lane an item waits in, and whose turn it is
 *
 * DESCRIPTION
 *	Internal to queue. Each class has a lane for what can still meet its
 *	target, and one for what can't and is alone on its connection. Lanes
 *	come in this order, first those in time, and within them the more
 *	urgent class; see queue for its grounds.
 */
#ifndef COMFREYDOCKD_DECIDE_QUEUE_LANE_H
#define COMFREYDOCKD_DECIDE_QUEUE_LANE_H

#include "comfreydockd/decide/queue.h"

/* RETURN VALUE: the lane of a class for what can be in time; 0 where the policy
 * has one order for all. */
uint32_t queue_lane_in_time(const struct queue *queue, enum config_class class);

/* RETURN VALUE: the lane that an item would wait in. */
uint32_t queue_lane_for(const struct queue *queue, const struct queue_item *item,
			const struct queue_slots *slots, int64_t now_us);

/* RETURN VALUE: whether it waited among those that could be in time, and can't
 * be any more. */
bool queue_lane_is_missed(const struct queue *queue,
			  const struct queue_item *item, int64_t now_us);

/* RETURN VALUE: the first lane that has been passed over for long, or else the
 * first with an item; QUEUE_LANES: none has. */
uint32_t queue_lane_choose(const struct queue *queue);
void queue_lane_note_turn(struct queue *queue, uint32_t chosen);

#endif
