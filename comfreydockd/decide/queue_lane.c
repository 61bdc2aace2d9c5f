#include "comfreydockd/decide/queue_lane.h"

#include <glib.h>

#include "comfreydockd/decide/queue_predict.h"

uint32_t queue_in_time_lane(const struct queue *queue, enum config_class class)
{
	return queue->policy->has_class_lanes ? (uint32_t) class : 0;
}

/* Returns true if a start after wait_us would miss the target. */
static bool queue_misses_target(const struct queue *queue,
				const struct queue_item *item, int64_t wait_us,
				int64_t now_us)
{
	int64_t service_us = queue_median_service_us(queue, item->class);

	return item->target_us && now_us + wait_us + service_us > item->target_us;
}

uint32_t queue_lane_for(const struct queue *queue, const struct queue_item *item,
			const struct queue_slots *slots, int64_t now_us)
{
	uint32_t lane = queue_in_time_lane(queue, item->class);
	int64_t wait_us =
		queue_predict_wait_us(queue, lane, item->key_hash, slots);

	if (queue->policy->has_class_lanes &&
	    queue_misses_target(queue, item, wait_us, now_us))
		lane += QUEUE_FIRST_LATE_LANE;
	return lane;
}

bool queue_lane_is_missed(const struct queue *queue,
			  const struct queue_item *item, int64_t now_us)
{
	return queue->policy->has_class_lanes &&
	       item->lane < QUEUE_FIRST_LATE_LANE &&
	       queue_misses_target(queue, item, 0, now_us);
}

uint32_t queue_lane_choose(const struct queue *queue)
{
	uint32_t first = QUEUE_LANES;

	for (uint32_t i = 0; i < QUEUE_LANES; i++) {
		if (queue->lanes[i].length == 0)
			continue;
		if (i < QUEUE_FIRST_LATE_LANE &&
		    queue->passed_over[i] >= QUEUE_PASSED_OVER_MAX)
			return i;
		first = MIN(first, i);
	}
	return first;
}

void queue_lane_note_turn(struct queue *queue, uint32_t chosen)
{
	for (uint32_t i = 0; i < QUEUE_FIRST_LATE_LANE; i++) {
		if (i == chosen || queue->lanes[i].length == 0)
			queue->passed_over[i] = 0;
		else if (i > chosen)
			queue->passed_over[i]++;
	}
}
