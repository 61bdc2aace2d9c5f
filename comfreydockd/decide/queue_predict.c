#include "comfreydockd/decide/queue_predict.h"

#include <glib.h>

#include "common/clock.h"

#define QUEUE_SERVICE_MAX_US (3600 * US_PER_S)
#define QUEUE_STANDING_US (100 * US_PER_MS)
#define QUEUE_STANDING_SERVICES 32
#define QUEUE_OFFERED_WINDOW_US (100 * US_PER_MS)
#define QUEUE_OFFERED_SHARE 0.75 /* of the slots: keeps them full */
#define QUEUE_RETRY_AFTER_MAX_MS 10000

/* Returns how long the slots need for the work ahead of an item. */
static int64_t queue_wait_for_us(const struct queue *queue, int64_t work_us,
				 const struct queue_slots *slots)
{
	uint32_t limit = MAX(slots->limit, 1);
	int64_t to_end = 0;

	if (slots->running >= limit)
		to_end = slots->running - limit + 1;
	return (work_us + to_end * queue->overall.mean_us) / limit;
}

/* Returns the wait behind work of the item's own lane and of all lanes above
 * it. */
static int64_t queue_wait_behind_us(const struct queue *queue, uint32_t lane,
				    int64_t work_us,
				    const struct queue_slots *slots)
{
	for (uint32_t above = 0; above < lane; above++)
		work_us += queue->lanes[above].work_us;
	return queue_wait_for_us(queue, work_us, slots);
}

int64_t queue_predict_wait_us(const struct queue *queue, uint32_t lane,
			      uint64_t key_hash, const struct queue_slots *slots)
{
	int64_t work_us = fair_work_ahead_us(&queue->lanes[lane], key_hash);

	return queue_wait_behind_us(queue, lane, work_us, slots);
}

int64_t queue_predict_wait_with_arrivals_us(const struct queue *queue,
					    const struct queue_item *item,
					    const struct queue_slots *slots)
{
	int64_t work_us = fair_work_ahead_with_arrivals_us(
		&queue->lanes[item->lane], item->key_hash);

	return queue_wait_behind_us(queue, item->lane, work_us, slots);
}

int64_t queue_expected_wait_us(const struct queue *queue,
			       const struct queue_slots *slots)
{
	int64_t work_us = 0;

	for (uint32_t i = 0; i < QUEUE_LANES; i++)
		work_us += queue->lanes[i].work_us;
	return queue_wait_for_us(queue, work_us, slots);
}

uint32_t queue_to_retry_after_ms(int64_t wait_us)
{
	int64_t wait_ms = (wait_us + US_PER_MS - 1) / US_PER_MS;

	return (uint32_t)CLAMP(wait_ms, 1, QUEUE_RETRY_AFTER_MAX_MS);
}

uint32_t queue_retry_after_ms(const struct queue *queue,
			      const struct queue_slots *slots)
{
	return queue_to_retry_after_ms(queue_expected_wait_us(queue, slots));
}

/*
 * Accepted items stay in the queue until the end of the loop iteration, even if
 * slots are free. If they counted as waiting, all but the first of several
 * requests that arrive in one iteration would be refused as busy despite free
 * slots and sent to other hosts. The fault shows as extra attempts at low load.
 */
bool queue_has_free_slot(const struct queue *queue,
			 const struct queue_slots *slots)
{
	return slots->running + queue->length < slots->limit;
}

void queue_note_offered(struct queue *queue, const struct queue_item *item,
			const struct queue_slots *slots, int64_t now_us)
{
	bool stays = item->may_queue || queue_has_free_slot(queue, slots);
	int64_t elapsed_us = now_us - queue->offered_since_us;

	if (elapsed_us >= QUEUE_OFFERED_WINDOW_US) {
		queue->is_overloaded =
			(double)queue->offered_us >
			QUEUE_OFFERED_SHARE * (double)elapsed_us * slots->limit;
		queue->offered_since_us = now_us;
		queue->offered_us = 0;
	}
	if (stays)
		queue->offered_us += queue->service[item->class].mean_us;
}

void queue_note_done(struct queue *queue, enum config_class class,
		     int64_t occupancy_us)
{
	int64_t sample_us = CLAMP(occupancy_us, 1, QUEUE_SERVICE_MAX_US);

	if (sample_us > queue->service[class].median_us / 2) {
		queue->estimate_overridden[class] = false;
	} else if (queue->estimate_overridden[class]) {
		estimate_correct(&queue->service[class], sample_us);
		estimate_correct(&queue->overall, sample_us);
	}
	estimate_note(&queue->service[class], sample_us);
	estimate_note(&queue->overall, sample_us);
}

bool queue_is_standing(const struct queue *queue, int64_t now_us)
{
	int64_t limit_us = MAX(QUEUE_STANDING_US,
			       QUEUE_STANDING_SERVICES * queue->overall.mean_us);

	return queue->length > 0 && queue->is_overloaded &&
	       now_us - queue->busy_since_us > limit_us;
}

int64_t queue_median_service_us(const struct queue *queue, enum config_class class)
{
	return queue->service[class].median_us;
}

int64_t queue_known_service_us(const struct queue *queue, enum config_class class)
{
	const struct estimate *service = &queue->service[class];

	return service->known ? service->median_us : 0;
}
