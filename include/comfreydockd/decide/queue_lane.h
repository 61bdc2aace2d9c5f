/*
 * NAME
 *	queue_lane - which lane an item waits in, and which lane is served next
 *
 * DESCRIPTION
 *	Internal to queue. Each class has a lane for items that can still meet
 *	their targets, and one for items that cannot and are alone on their
 *	connection. Lanes in time come before late ones, and within each group
 *	the more urgent class comes first. The grounds are in queue.h.
 */
#ifndef COMFREYDOCKD_DECIDE_QUEUE_LANE_H
#define COMFREYDOCKD_DECIDE_QUEUE_LANE_H

#include "comfreydockd/decide/queue.h"

/* RETURN VALUE: the lane of a class for items in time; 0 if the policy has a
 * single order. */
uint32_t queue_in_time_lane(const struct queue *queue, enum config_class class);

/* RETURN VALUE: the lane that an item would wait in. */
uint32_t queue_lane_for(const struct queue *queue, const struct queue_item *item,
			const struct queue_slots *slots, int64_t now_us);

/* RETURN VALUE: true if the item waits in a lane for items in time but can no
 * longer meet its target. */
bool queue_lane_is_missed(const struct queue *queue,
			  const struct queue_item *item, int64_t now_us);

/* RETURN VALUE: the first lane that has been passed over too often, or else the
 * first one with an item; QUEUE_LANES: all are empty. */
uint32_t queue_lane_choose(const struct queue *queue);
void queue_lane_note_turn(struct queue *queue, uint32_t chosen);

#endif
