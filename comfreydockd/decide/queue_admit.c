#include "comfreydockd/decide/queue_admit.h"

#include <glib.h>

#include "comfreydockd/decide/queue_lane.h"
#include "comfreydockd/decide/queue_predict.h"

#define QUEUE_OVERRIDE_INTERVAL 4
/* In a full queue each caller may still have 1/256 of the bound, and the whole
 * queue may grow to four times the bound. */
#define QUEUE_FULL_CALLER_PARTS 256
#define QUEUE_FULL_FACTOR 4

/* Returns true if the queue is full for this item. A caller that fills the
 * queue must not shut out the others, so each caller may have a small part of
 * it beyond the bound. Callers are told apart by the hash of their fairness
 * key; the items of one caller form a flow of the lane. */
static bool queue_is_full_for(const struct queue *queue,
			      const struct queue_item *item)
{
	const struct fair *lane =
		&queue->lanes[queue_in_time_lane(queue, item->class)];

	if (queue->length < queue->max_items)
		return false;
	return queue->length / QUEUE_FULL_FACTOR >= queue->max_items ||
	       fair_flow_length(lane, item->key_hash) >=
		       queue->max_items / QUEUE_FULL_CALLER_PARTS;
}

static enum queue_verdict queue_refusal_reason(const struct queue *queue,
					       const struct queue_item *item,
					       int64_t wait_us, int64_t now_us)
{
	const struct fair *lane =
		&queue->lanes[queue_in_time_lane(queue, item->class)];
	int64_t latest_start_us = queue->policy->latest_start_us(queue, item);

	if (now_us > latest_start_us)
		return QUEUE_REFUSED_DEADLINE;
	if (fair_is_over_share(lane, item->key_hash))
		return QUEUE_REFUSED_UNFAIR;
	if (wait_us <= latest_start_us - now_us)
		return QUEUE_REFUSED_STANDING;
	return QUEUE_REFUSED_DEADLINE;
}

/*
 * Returns true if an item is accepted although the estimated service time says
 * that it would miss its deadline. An estimate left high by a slow spell would
 * refuse everything, and then nothing would run to correct it. If a slot is
 * free, every fourth such item is therefore accepted, and every one if nothing
 * runs. Counts these items, and notes for the estimate that one was accepted.
 */
static bool queue_try_override_estimate(struct queue *queue,
					const struct queue_item *item,
					const struct queue_slots *slots,
					int64_t now_us)
{
	if (!queue_has_free_slot(queue, slots) || item->deadline_us <= now_us)
		return false;
	if (queue->policy->latest_start_us(queue, item) >= now_us)
		return false;
	if (slots->running > 0 &&
	    ++queue->estimate_refusals[item->class] % QUEUE_OVERRIDE_INTERVAL != 0)
		return false;
	queue->estimate_overridden[item->class] = true;
	return true;
}

static enum queue_verdict queue_judge(const struct queue *queue,
				      const struct queue_item *item,
				      const struct queue_slots *slots,
				      int64_t now_us, uint32_t *retry_after_ms)
{
	int64_t wait_us;
	int64_t allowed_us;

	*retry_after_ms = queue_retry_after_ms(queue, slots);
	if (!item->may_queue && !queue_has_free_slot(queue, slots))
		return QUEUE_REFUSED_BUSY;
	if (queue_is_full_for(queue, item))
		return QUEUE_REFUSED_FULL;
	wait_us = queue->policy->has_class_lanes &&
				  queue_is_standing(queue, now_us) ?
			  queue_predict_wait_with_arrivals_us(queue, item, slots) :
			  queue_predict_wait_us(queue, item->lane,
						item->key_hash, slots);
	allowed_us = queue->policy->allowed_wait_us(queue, item, now_us);
	if (wait_us <= allowed_us)
		return QUEUE_ACCEPTED;
	*retry_after_ms = queue_to_retry_after_ms(wait_us - allowed_us);
	return queue_refusal_reason(queue, item, wait_us, now_us);
}

/* Returns until when an item may wait. An item holds up others if other answers
 * of its caller can be sent only after its own: a wait beyond its target would
 * only make those late, but an immediate start may still be useful. */
static int64_t queue_wait_until_us(const struct queue *queue,
				   const struct queue_item *item, int64_t now_us)
{
	int64_t service_us = queue_median_service_us(queue, item->class);

	if (!item->holds_others || !item->target_us)
		return INT64_MAX;
	return MAX(item->target_us - service_us, now_us);
}

enum queue_verdict queue_admit(struct queue *queue, struct queue_item *item,
			       const struct queue_slots *slots, int64_t now_us,
			       uint32_t *retry_after_ms)
{
	item->wait_until_us = queue_wait_until_us(queue, item, now_us);
	item->lane = queue_lane_for(queue, item, slots, now_us);
	item->latest_start_us = queue->policy->latest_start_us(queue, item);
	if (queue_try_override_estimate(queue, item, slots, now_us)) {
		item->latest_start_us = item->deadline_us;
		return QUEUE_ACCEPTED;
	}
	return queue_judge(queue, item, slots, now_us, retry_after_ms);
}
