#include "comfreydockd/decide/queue.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/decide/deadline.h"
#include "common/clock.h"

#define QUEUE_SERVICE_MAX_US (3600 * US_PER_S)
#define QUEUE_STANDING_US (100 * US_PER_MS)
#define QUEUE_STANDING_SERVICES 32
#define QUEUE_OFFERED_WINDOW_US (100 * US_PER_MS)
#define QUEUE_OFFERED_SHARE 0.75 /* of the slots: so much keeps them full */
#define QUEUE_STANDING_SHARE 2 /* of the remaining time, one part in so many */
#define QUEUE_RETRY_AFTER_MAX_MS 10000
#define QUEUE_DOUBT_TURN 4
/* What a caller may have in a full queue, one part of the bound in so many, and all
 * of them together, so many times the bound. Assumptions. */
#define QUEUE_FULL_PARTS 256
#define QUEUE_FULL_TIMES 4

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
	.by_class = false,
	.is_before = queue_is_offered_before,
	.allowed_wait_us = queue_wait_any,
	.latest_start_us = queue_start_any,
};

const struct queue_policy queue_by_deadline = {
	.name = "deadline",
	.by_class = true,
	.is_before = queue_is_due_before,
	.allowed_wait_us = queue_wait_by_deadline,
	.latest_start_us = queue_start_by_deadline,
};

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

static uint32_t queue_lane(const struct queue *queue, enum config_class class)
{
	return queue->policy->by_class ? (uint32_t) class : 0;
}

/* The time that work ahead of an item takes on these slots. */
static int64_t queue_wait_for_us(const struct queue *queue, int64_t work_us,
				 const struct queue_slots *slots)
{
	uint32_t limit = MAX(slots->limit, 1);
	int64_t to_end = 0;

	if (slots->running >= limit)
		to_end = slots->running - limit + 1;
	return (work_us + to_end * queue->overall.mean_us) / limit;
}

static int64_t queue_foresee_later_us(const struct queue *queue,
				      const struct queue_item *item,
				      const struct queue_slots *slots)
{
	uint32_t lane = item->lane;
	int64_t work_us =
		fair_work_ahead_later_us(&queue->lanes[lane], item->key_hash);

	for (uint32_t above = 0; above < lane; above++)
		work_us += queue->lanes[above].work_us;
	return queue_wait_for_us(queue, work_us, slots);
}

static int64_t queue_foresee_in_us(const struct queue *queue, uint32_t lane,
				   uint64_t key_hash,
				   const struct queue_slots *slots)
{
	int64_t work_us = fair_work_ahead_us(&queue->lanes[lane], key_hash);

	for (uint32_t above = 0; above < lane; above++)
		work_us += queue->lanes[above].work_us;
	return queue_wait_for_us(queue, work_us, slots);
}

int64_t queue_foresee_wait_us(const struct queue *queue, enum config_class class,
			      uint64_t key_hash, const struct queue_slots *slots)
{
	return queue_foresee_in_us(queue, queue_lane(queue, class), key_hash,
				   slots);
}

/* True where a start after wait_us would be answered beyond the target. */
static bool queue_misses_target(const struct queue *queue,
				const struct queue_item *item, int64_t wait_us,
				int64_t now_us)
{
	int64_t service_us = queue_median_service_us(queue, item->class);

	return item->target_us && now_us + wait_us + service_us > item->target_us;
}

/* The lane that an item would wait in. */
static uint32_t queue_lane_for(const struct queue *queue,
			       const struct queue_item *item,
			       const struct queue_slots *slots, int64_t now_us)
{
	uint32_t lane = queue_lane(queue, item->class);
	int64_t wait_us = queue_foresee_in_us(queue, lane, item->key_hash, slots);

	if (queue->policy->by_class &&
	    queue_misses_target(queue, item, wait_us, now_us))
		lane += QUEUE_CLASSES;
	return lane;
}

int64_t queue_expected_wait_us(const struct queue *queue,
			       const struct queue_slots *slots)
{
	int64_t work_us = 0;

	for (uint32_t i = 0; i < QUEUE_LANES; i++)
		work_us += queue->lanes[i].work_us;
	return queue_wait_for_us(queue, work_us, slots);
}

static uint32_t queue_to_retry_after_ms(int64_t wait_us)
{
	int64_t wait_ms = (wait_us + US_PER_MS - 1) / US_PER_MS;

	return (uint32_t)CLAMP(wait_ms, 1, QUEUE_RETRY_AFTER_MAX_MS);
}

uint32_t queue_retry_after_ms(const struct queue *queue,
			      const struct queue_slots *slots)
{
	return queue_to_retry_after_ms(queue_expected_wait_us(queue, slots));
}

/* One caller that fills the queue must not shut out the others: each may have a
 * small part of it beyond the bound. */
static bool queue_is_full_for(const struct queue *queue,
			      const struct queue_item *item)
{
	const struct fair *lane = &queue->lanes[queue_lane(queue, item->class)];

	if (queue->length < queue->max_items)
		return false;
	return queue->length / QUEUE_FULL_TIMES >= queue->max_items ||
	       fair_flow_length(lane, item->key_hash) >=
		       queue->max_items / QUEUE_FULL_PARTS;
}

static enum queue_verdict queue_name_refusal(const struct queue *queue,
					     const struct queue_item *item,
					     int64_t wait_us, int64_t now_us)
{
	const struct fair *lane = &queue->lanes[queue_lane(queue, item->class)];
	int64_t start_us = queue->policy->latest_start_us(queue, item);

	if (now_us > start_us)
		return QUEUE_REFUSED_DEADLINE;
	if (fair_is_over_share(lane, item->key_hash))
		return QUEUE_REFUSED_UNFAIR;
	if (wait_us <= start_us - now_us)
		return QUEUE_REFUSED_STANDING;
	return QUEUE_REFUSED_DEADLINE;
}

/*
 * All that was accepted is in the queue until the end of the turn, also where
 * slots are free. Were an item there taken for a queue, of requests that arrive
 * in one turn all but the first would be refused as busy beside free slots, and go
 * round to other hosts: on a calm day 54 of the 474 attempts of one entry.
 */
static bool queue_has_free_slot(const struct queue *queue,
				const struct queue_slots *slots)
{
	return slots->running + queue->length < slots->limit;
}

/*
 * An estimate left high by a slow spell would refuse everything, so that
 * nothing runs to correct it. Where a slot is free, an item is therefore let
 * through against the estimate now and then, and always where nothing runs.
 */
static bool queue_doubts_estimate(struct queue *queue,
				  const struct queue_item *item,
				  const struct queue_slots *slots, int64_t now_us)
{
	if (!queue_has_free_slot(queue, slots) || item->deadline_us <= now_us)
		return false;
	if (queue->policy->latest_start_us(queue, item) >= now_us)
		return false;
	if (slots->running > 0 &&
	    ++queue->doubts[item->class] % QUEUE_DOUBT_TURN != 0)
		return false;
	queue->in_doubt[item->class] = true;
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
	wait_us = queue_foresee_in_us(queue, item->lane, item->key_hash, slots);
	if (queue->policy->by_class && queue_is_standing(queue, now_us))
		wait_us = queue_foresee_later_us(queue, item, slots);
	allowed_us = queue->policy->allowed_wait_us(queue, item, now_us);
	if (wait_us <= allowed_us)
		return QUEUE_ACCEPTED;
	*retry_after_ms = queue_to_retry_after_ms(wait_us - allowed_us);
	return queue_name_refusal(queue, item, wait_us, now_us);
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

/*
 * Whether more is offered than the slots can do. What goes elsewhere is left
 * out: it is offered to several owners.
 */
static void queue_note_offered(struct queue *queue, const struct queue_item *item,
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

/* Past it a wait would only make others late; a start at once may still be of
 * use. */
static int64_t queue_wait_until_us(const struct queue *queue,
				   const struct queue_item *item, int64_t now_us)
{
	int64_t service_us = queue_median_service_us(queue, item->class);

	if (!item->holds_others || !item->target_us)
		return INT64_MAX;
	return MAX(item->target_us - service_us, now_us);
}

enum queue_verdict queue_offer(struct queue *queue, struct queue_item *item,
			       const struct queue_slots *slots, int64_t now_us,
			       uint32_t *retry_after_ms)
{
	enum queue_verdict verdict;

	queue_note_offered(queue, item, slots, now_us);
	item->is_queued = false;
	item->wait_until_us = queue_wait_until_us(queue, item, now_us);
	item->lane = queue_lane_for(queue, item, slots, now_us);
	item->latest_start_us = queue->policy->latest_start_us(queue, item);
	if (queue_doubts_estimate(queue, item, slots, now_us)) {
		item->latest_start_us = item->deadline_us;
		queue_insert(queue, item, now_us);
		return QUEUE_ACCEPTED;
	}
	verdict = queue_judge(queue, item, slots, now_us, retry_after_ms);
	if (verdict == QUEUE_ACCEPTED)
		queue_insert(queue, item, now_us);
	return verdict;
}

/* What remains once an item has left its lane. */
static void queue_forget(struct queue *queue, struct queue_item *item)
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
	queue_forget(queue, item);
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

/* The first lane that has been passed over for long, or else the first. */
static uint32_t queue_choose_lane(const struct queue *queue)
{
	uint32_t first = QUEUE_LANES;

	for (uint32_t i = 0; i < QUEUE_LANES; i++) {
		if (queue->lanes[i].length == 0)
			continue;
		if (i < QUEUE_CLASSES && queue->passed_over[i] >= QUEUE_CLASS_TURN)
			return i;
		first = MIN(first, i);
	}
	return first;
}

static void queue_note_turn(struct queue *queue, uint32_t chosen)
{
	for (uint32_t i = 0; i < QUEUE_CLASSES; i++) {
		if (i == chosen || queue->lanes[i].length == 0)
			queue->passed_over[i] = 0;
		else if (i > chosen)
			queue->passed_over[i]++;
	}
}

/* It waited among those that could be in time, and can't be any more. */
static bool queue_is_late_now(const struct queue *queue,
			      const struct queue_item *item, int64_t now_us)
{
	return queue->policy->by_class && item->lane < QUEUE_CLASSES &&
	       queue_misses_target(queue, item, 0, now_us);
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
		lane = queue_choose_lane(queue);
		next = fair_pop(&queue->lanes[lane]);
		item = heap_entry(next, struct queue_item, fair);
		if (!queue_is_late_now(queue, item, now_us))
			break;
		item->lane += QUEUE_CLASSES;
		fair_push(&queue->lanes[item->lane], &item->fair);
	}
	queue_note_turn(queue, lane);
	queue_forget(queue, item);
	*verdict = QUEUE_ACCEPTED;
	return item;
}

void queue_note_done(struct queue *queue, enum config_class class,
		     int64_t occupancy_us)
{
	int64_t sample_us = CLAMP(occupancy_us, 1, QUEUE_SERVICE_MAX_US);

	if (sample_us > queue->service[class].median_us / 2) {
		queue->in_doubt[class] = false;
	} else if (queue->in_doubt[class]) {
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

uint32_t queue_length(const struct queue *queue)
{
	return queue->length;
}
