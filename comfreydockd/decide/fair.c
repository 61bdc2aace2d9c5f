#include "comfreydockd/decide/fair.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define FAIR_QUANTUM_DECAY 64 /* one part in so many with each push */

uint64_t fair_hash(const char *key)
{
	return XXH3_64bits(key, strlen(key));
}

static uint32_t fair_flow_of(const struct fair *fair, uint64_t key_hash)
{
	if (!fair->enabled)
		return 0;
	return XXH3_64bits_withSeed(&key_hash, sizeof(key_hash), fair->seed) %
	       FAIR_FLOWS;
}

void fair_init(struct fair *fair, bool enabled, uint64_t seed,
	       heap_is_before is_before)
{
	memset(fair, 0, sizeof(*fair));
	fair->enabled = enabled;
	fair->seed = seed;
	TAILQ_INIT(&fair->active);
	for (uint32_t i = 0; i < FAIR_FLOWS; i++)
		heap_init(&fair->flows[i].items, is_before);
}

static void fair_flow_activate(struct fair *fair, struct fair_flow *flow)
{
	flow->deficit_us = 0;
	TAILQ_INSERT_TAIL(&fair->active, flow, link);
	fair->active_flows++;
}

static void fair_flow_deactivate(struct fair *fair, struct fair_flow *flow)
{
	TAILQ_REMOVE(&fair->active, flow, link);
	fair->active_flows--;
}

void fair_push(struct fair *fair, struct fair_item *item)
{
	struct fair_flow *flow;

	item->flow = fair_flow_of(fair, item->key_hash);
	flow = &fair->flows[item->flow];
	if (flow->length == 0)
		fair_flow_activate(fair, flow);
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
	struct fair_flow *flow = &fair->flows[item->flow];

	heap_remove(&flow->items, &item->node);
	flow->length--;
	flow->work_us -= item->cost_us;
	fair->length--;
	fair->work_us -= item->cost_us;
	if (flow->length == 0)
		fair_flow_deactivate(fair, flow);
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

		if (flow->deficit_us < item->cost_us)
			flow->deficit_us += fair->quantum_us;
		if (flow->deficit_us < item->cost_us) {
			fair_flow_to_tail(fair, flow);
			continue;
		}
		flow->deficit_us -= item->cost_us;
		fair_remove(fair, item);
		if (flow->length > 0 &&
		    flow->deficit_us < fair_flow_first(flow)->cost_us)
			fair_flow_to_tail(fair, flow);
		return item;
	}
	return NULL;
}

/* The flows that would wait if an item of this flow were added. */
static int64_t fair_flows_with(const struct fair *fair,
			       const struct fair_flow *flow)
{
	return fair->active_flows + (flow->length == 0 ? 1 : 0);
}

int64_t fair_work_ahead_later_us(const struct fair *fair, uint64_t key_hash)
{
	const struct fair_flow *flow = &fair->flows[fair_flow_of(fair, key_hash)];
	int64_t flows = fair_flows_with(fair, flow);

	return flow->work_us * flows + fair->quantum_us * (flows - 1);
}

int64_t fair_work_ahead_us(const struct fair *fair, uint64_t key_hash)
{
	return MIN(fair_work_ahead_later_us(fair, key_hash), fair->work_us);
}

bool fair_is_over_share(const struct fair *fair, uint64_t key_hash)
{
	const struct fair_flow *flow = &fair->flows[fair_flow_of(fair, key_hash)];
	int64_t flows = fair_flows_with(fair, flow);

	return flows > 1 && flow->work_us * flows > fair->work_us;
}

uint32_t fair_flow_length(const struct fair *fair, uint64_t key_hash)
{
	return fair->flows[fair_flow_of(fair, key_hash)].length;
}
