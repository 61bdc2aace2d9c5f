#include "comfreydockd/decide/fair.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define FAIR_QUANTUM_DECAY 64 /* The quantum loses 1/64 with each push. */

uint64_t fair_hash(const char *key)
{
	return XXH3_64bits(key, strlen(key));
}

/* Stands for a key that has no waiting item. */
static const struct fair_flow empty_flow;

/* With fairness disabled all items share one flow. */
static uint64_t fair_key_of(const struct fair *fair, uint64_t key_hash)
{
	return fair->enabled ? key_hash : 0;
}

static uint32_t fair_bucket_of(const struct fair *fair, uint64_t key)
{
	return XXH3_64bits_withSeed(&key, sizeof(key), fair->seed) % FAIR_BUCKETS;
}

static struct fair_flow *fair_find_flow(const struct fair *fair, uint64_t key)
{
	struct fair_flow *flow;

	LIST_FOREACH (flow, &fair->buckets[fair_bucket_of(fair, key)],
		      bucket_link) {
		if (flow->key_hash == key)
			return flow;
	}
	return NULL;
}

static const struct fair_flow *fair_flow_of(const struct fair *fair,
					    uint64_t key_hash)
{
	const struct fair_flow *flow =
		fair_find_flow(fair, fair_key_of(fair, key_hash));

	return flow ? flow : &empty_flow;
}

void fair_init(struct fair *fair, bool enabled, uint64_t seed,
	       heap_is_before is_before)
{
	memset(fair, 0, sizeof(*fair));
	fair->enabled = enabled;
	fair->seed = seed;
	fair->is_before = is_before;
	TAILQ_INIT(&fair->active);
	for (uint32_t i = 0; i < FAIR_BUCKETS; i++)
		LIST_INIT(&fair->buckets[i]);
}

static struct fair_flow *fair_flow_create(struct fair *fair, uint64_t key)
{
	struct fair_flow *flow = g_new0(struct fair_flow, 1);

	flow->key_hash = key;
	heap_init(&flow->items, fair->is_before);
	LIST_INSERT_HEAD(&fair->buckets[fair_bucket_of(fair, key)], flow,
			 bucket_link);
	TAILQ_INSERT_TAIL(&fair->active, flow, link);
	fair->active_flows++;
	return flow;
}

static void fair_flow_destroy(struct fair *fair, struct fair_flow *flow)
{
	LIST_REMOVE(flow, bucket_link);
	TAILQ_REMOVE(&fair->active, flow, link);
	fair->active_flows--;
	g_free(flow);
}

void fair_finish(struct fair *fair)
{
	struct fair_flow *flow;

	while ((flow = TAILQ_FIRST(&fair->active)))
		fair_flow_destroy(fair, flow);
}

void fair_push(struct fair *fair, struct fair_item *item)
{
	uint64_t key = fair_key_of(fair, item->key_hash);
	struct fair_flow *flow = fair_find_flow(fair, key);

	if (!flow)
		flow = fair_flow_create(fair, key);
	item->flow = flow;
	fair->quantum_us -= fair->quantum_us / FAIR_QUANTUM_DECAY;
	fair->quantum_us = MAX(fair->quantum_us, item->cost_us);
	heap_insert(&flow->items, &item->node);
	flow->length++;
	flow->work_us += item->cost_us;
	fair->length++;
	fair->work_us += item->cost_us;
}

void fair_remove(struct fair *fair, struct fair_item *item)
{
	struct fair_flow *flow = item->flow;

	item->flow = NULL;
	heap_remove(&flow->items, &item->node);
	flow->length--;
	flow->work_us -= item->cost_us;
	fair->length--;
	fair->work_us -= item->cost_us;
	if (flow->length == 0)
		fair_flow_destroy(fair, flow);
}

static struct fair_item *fair_flow_first(const struct fair_flow *flow)
{
	return heap_entry(heap_first(&flow->items), struct fair_item, node);
}

static void fair_flow_to_tail(struct fair *fair, struct fair_flow *flow)
{
	TAILQ_REMOVE(&fair->active, flow, link);
	TAILQ_INSERT_TAIL(&fair->active, flow, link);
}

struct fair_item *fair_pop(struct fair *fair)
{
	struct fair_flow *flow;

	while ((flow = TAILQ_FIRST(&fair->active))) {
		struct fair_item *item = fair_flow_first(flow);
		bool is_last;

		if (flow->deficit_us < item->cost_us)
			flow->deficit_us += fair->quantum_us;
		if (flow->deficit_us < item->cost_us) {
			fair_flow_to_tail(fair, flow);
			continue;
		}
		flow->deficit_us -= item->cost_us;
		is_last = flow->length == 1;
		fair_remove(fair, item);
		if (!is_last && flow->deficit_us < fair_flow_first(flow)->cost_us)
			fair_flow_to_tail(fair, flow);
		return item;
	}
	return NULL;
}

/* Counts the flows that would wait if an item were added to this flow. */
static int64_t fair_flows_with(const struct fair *fair,
			       const struct fair_flow *flow)
{
	return fair->active_flows + (flow->length == 0 ? 1 : 0);
}

int64_t fair_work_ahead_with_arrivals_us(const struct fair *fair,
					 uint64_t key_hash)
{
	const struct fair_flow *flow = fair_flow_of(fair, key_hash);
	int64_t flows = fair_flows_with(fair, flow);

	return flow->work_us * flows + fair->quantum_us * (flows - 1);
}

int64_t fair_work_ahead_us(const struct fair *fair, uint64_t key_hash)
{
	return MIN(fair_work_ahead_with_arrivals_us(fair, key_hash),
		   fair->work_us);
}

bool fair_is_over_share(const struct fair *fair, uint64_t key_hash)
{
	const struct fair_flow *flow = fair_flow_of(fair, key_hash);
	int64_t flows = fair_flows_with(fair, flow);

	return flows > 1 && flow->work_us * flows > fair->work_us;
}

uint32_t fair_flow_length(const struct fair *fair, uint64_t key_hash)
{
	return fair_flow_of(fair, key_hash)->length;
}
