#include "comfreydockd/decide/queue.h"

#include <glib.h>

#include "comfreydockd/decide/deadline.h"

/* In a standing queue at most 1/2 of the remaining time is spent waiting. */
#define QUEUE_STANDING_SHARE 2

static struct queue_item *queue_item_of(const struct heap_node *node)
{
	return heap_entry(node, struct queue_item, fair.node);
}

static bool queue_is_offered_before(const struct heap_node *a,
				    const struct heap_node *b)
{
	return queue_item_of(a)->sequence < queue_item_of(b)->sequence;
}

static bool queue_is_due_before(const struct heap_node *a,
				const struct heap_node *b)
{
	const struct queue_item *x = queue_item_of(a);
	const struct queue_item *y = queue_item_of(b);

	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us;
	return x->sequence < y->sequence;
}

static int64_t queue_wait_any(const struct queue *queue G_GNUC_UNUSED,
			      const struct queue_item *item G_GNUC_UNUSED,
			      int64_t now_us G_GNUC_UNUSED)
{
	return INT64_MAX;
}

static int64_t queue_start_any(const struct queue *queue G_GNUC_UNUSED,
			       const struct queue_item *item G_GNUC_UNUSED)
{
	return INT64_MAX;
}

static int64_t queue_start_by_deadline(const struct queue *queue,
				       const struct queue_item *item)
{
	if (item->deadline_us == INT64_MAX)
		return INT64_MAX;
	return MIN(item->wait_until_us,
		   item->deadline_us -
			   queue_median_service_us(queue, item->class));
}

static int64_t queue_wait_by_deadline(const struct queue *queue,
				      const struct queue_item *item,
				      int64_t now_us)
{
	int64_t start_us = queue_start_by_deadline(queue, item);
	int64_t remaining_us = deadline_remaining_us(item->deadline_us, now_us);

	if (start_us == INT64_MAX)
		return INT64_MAX;
	if (!queue_is_standing(queue, now_us))
		return start_us - now_us;
	return MIN(start_us - now_us, remaining_us / QUEUE_STANDING_SHARE);
}

const struct queue_policy queue_fifo = {
	.name = "fifo",
	.has_class_lanes = false,
	.is_before = queue_is_offered_before,
	.allowed_wait_us = queue_wait_any,
	.latest_start_us = queue_start_any,
};

const struct queue_policy queue_by_deadline = {
	.name = "deadline",
	.has_class_lanes = true,
	.is_before = queue_is_due_before,
	.allowed_wait_us = queue_wait_by_deadline,
	.latest_start_us = queue_start_by_deadline,
};
