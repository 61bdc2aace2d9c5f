#include "comfreydockd/decide/queue.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/decide/queue_admit.h"
#include "comfreydockd/decide/queue_lane.h"
#include "comfreydockd/decide/queue_predict.h"

static bool queue_is_stale_before(const struct heap_node *a,
				  const struct heap_node *b)
{
	const struct queue_item *x =
		heap_entry(a, struct queue_item, by_latest_start);
	const struct queue_item *y =
		heap_entry(b, struct queue_item, by_latest_start);

	if (x->latest_start_us != y->latest_start_us)
		return x->latest_start_us < y->latest_start_us;
	return x->sequence < y->sequence;
}

void queue_init(struct queue *queue, const struct queue_options *options)
{
	memset(queue, 0, sizeof(*queue));
	queue->policy = options->policy;
	queue->max_items =
		options->max_items ? options->max_items : QUEUE_ITEMS_MAX;
	heap_init(&queue->by_latest_start, queue_is_stale_before);
	estimate_init(&queue->overall);
	for (uint32_t i = 0; i < QUEUE_LANES; i++)
		fair_init(&queue->lanes[i], options->fair, options->seed,
			  options->policy->is_before);
	for (uint32_t i = 0; i < QUEUE_CLASSES; i++)
		queue->service[i] = queue->overall;
}

void queue_finish(struct queue *queue)
{
	for (size_t i = 0; i < G_N_ELEMENTS(queue->lanes); i++)
		fair_finish(&queue->lanes[i]);
}

static void queue_insert(struct queue *queue, struct queue_item *item,
			 int64_t now_us)
{
	item->sequence = queue->next_sequence++;
	item->fair.key_hash = item->key_hash;
	item->fair.cost_us = queue->service[item->class].mean_us;
	item->is_queued = true;
	if (queue->length++ == 0)
		queue->busy_since_us = now_us;
	heap_insert(&queue->by_latest_start, &item->by_latest_start);
	fair_push(&queue->lanes[item->lane], &item->fair);
}

enum queue_verdict queue_offer(struct queue *queue, struct queue_item *item,
			       const struct queue_slots *slots, int64_t now_us,
			       uint32_t *retry_after_ms)
{
	enum queue_verdict verdict;

	queue_note_offered(queue, item, slots, now_us);
	item->is_queued = false;
	verdict = queue_admit(queue, item, slots, now_us, retry_after_ms);
	if (verdict == QUEUE_ACCEPTED)
		queue_insert(queue, item, now_us);
	return verdict;
}

/* Completes the removal of an item that has left its lane. */
static void queue_detach(struct queue *queue, struct queue_item *item)
{
	heap_remove(&queue->by_latest_start, &item->by_latest_start);
	queue->length--;
	item->is_queued = false;
}

bool queue_remove(struct queue *queue, struct queue_item *item)
{
	if (!item->is_queued)
		return false;
	fair_remove(&queue->lanes[item->lane], &item->fair);
	queue_detach(queue, item);
	return true;
}

static struct queue_item *queue_first_stale(const struct queue *queue)
{
	struct heap_node *node = heap_first(&queue->by_latest_start);

	if (!node)
		return NULL;
	return heap_entry(node, struct queue_item, by_latest_start);
}

struct queue_item *queue_pop_stale(struct queue *queue, int64_t now_us)
{
	struct queue_item *item = queue_first_stale(queue);

	if (!item || item->latest_start_us >= now_us)
		return NULL;
	queue_remove(queue, item);
	return item;
}

int64_t queue_next_stale_us(const struct queue *queue)
{
	const struct queue_item *item = queue_first_stale(queue);

	if (!item || item->latest_start_us == INT64_MAX)
		return INT64_MAX;
	return item->latest_start_us + 1;
}

struct queue_item *queue_take_any(struct queue *queue)
{
	struct queue_item *item = queue_first_stale(queue);

	if (item)
		queue_remove(queue, item);
	return item;
}

struct queue_item *queue_pop(struct queue *queue, int64_t now_us,
			     enum queue_verdict *verdict)
{
	struct queue_item *item = queue_pop_stale(queue, now_us);
	struct fair_item *next;
	uint32_t lane;

	*verdict = QUEUE_REFUSED_STALE;
	if (item)
		return item;
	if (queue->length == 0)
		return NULL;
	for (;;) {
		lane = queue_lane_choose(queue);
		next = fair_pop(&queue->lanes[lane]);
		item = heap_entry(next, struct queue_item, fair);
		if (!queue_lane_is_missed(queue, item, now_us))
			break;
		item->lane += QUEUE_FIRST_LATE_LANE;
		fair_push(&queue->lanes[item->lane], &item->fair);
	}
	queue_lane_note_turn(queue, lane);
	queue_detach(queue, item);
	*verdict = QUEUE_ACCEPTED;
	return item;
}

uint32_t queue_length(const struct queue *queue)
{
	return queue->length;
}
