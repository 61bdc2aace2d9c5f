#include <math.h>

#include "swim_internal.h"

/* Before the end the suspect is asked itself, by all daemons in a small
 * cluster and by some in a large one: one that missed the refutation would
 * else declare a healthy host dead. */
#define LAST_PINGS 3
#define LAST_PING_US (500 * 1000) /* between them */
#define LAST_PINGERS 16

static int64_t suspect_min_us(const struct swim *swim)
{
	double scale = MAX(log10((double)swim->order->len + 2.0), 1.0);

	return (int64_t)(scale * SWIM_SUSPECT_ALPHA * SWIM_PERIOD_US);
}

/* The more others suspect as well, the sooner the end: one daemon with a bad
 * line alone must leave a healthy host much time to refute. */
static int64_t suspect_timeout_us(const struct swim *swim,
				  const struct swim_node *node)
{
	int64_t min_us = suspect_min_us(swim);
	int64_t max_us = min_us * SWIM_SUSPECT_BETA;
	unsigned int others = node->confirmer_count - 1;
	double share = log(others + 1.0) / log(SWIM_CONFIRMERS + 1.0);
	int64_t timeout_us = max_us - (int64_t)((max_us - min_us) * share);

	return MAX(timeout_us, min_us);
}

void swim_suspect_start(struct swim *swim, struct swim_node *node)
{
	swim_suspect_stop(swim, node);
	node->is_suspect = true;
	node->suspected_at_us = swim->now_us;
	node->suspected_incarnation = node->member->incarnation;
	node->confirmers[0] = swim->suspected_by;
	node->confirmer_count = 1;
	node->last_pings = 0;
	node->dead_at_us = swim->now_us + suspect_timeout_us(swim, node);
	TAILQ_INSERT_TAIL(&swim->suspects, node, suspect_link);
}

void swim_suspect_stop(struct swim *swim, struct swim_node *node)
{
	if (!node->is_suspect)
		return;
	TAILQ_REMOVE(&swim->suspects, node, suspect_link);
	node->is_suspect = false;
}

void swim_suspect_confirm(struct swim *swim, struct swim_node *node, uint32_t by)
{
	if (node->confirmer_count > SWIM_CONFIRMERS)
		return;
	for (int i = 0; i < node->confirmer_count; i++) {
		if (node->confirmers[i] == by)
			return;
	}
	node->confirmers[node->confirmer_count++] = by;
	node->dead_at_us =
		MAX(node->suspected_at_us + suspect_timeout_us(swim, node),
		    swim->now_us + (int64_t)LAST_PINGS * LAST_PING_US);
	swim_rumour_queue(swim, node);
}

static void suspect_ask(struct swim *swim, struct swim_node *node)
{
	int64_t lead_us = (int64_t)(LAST_PINGS - node->last_pings) * LAST_PING_US;

	if (node->last_pings == LAST_PINGS ||
	    swim->now_us < node->dead_at_us - lead_us)
		return;
	node->last_pings++;
	if (swim_random_below(swim, swim->order->len) < LAST_PINGERS)
		swim_probe_ping(swim, node->member, ++swim->seq);
}

void swim_suspect_tick(struct swim *swim)
{
	struct swim_node *node = TAILQ_FIRST(&swim->suspects);

	while (node) {
		struct swim_node *next = TAILQ_NEXT(node, suspect_link);

		suspect_ask(swim, node);
		if (swim->now_us >= node->dead_at_us)
			swim_set_state(swim, node->member, MEMBER_DEAD, 0);
		node = next;
	}
}

void swim_suspect_restart_all(struct swim *swim)
{
	struct swim_node *node;

	TAILQ_FOREACH (node, &swim->suspects, suspect_link) {
		node->suspected_at_us = swim->now_us;
		node->confirmer_count = 1;
		node->last_pings = 0;
		node->dead_at_us = swim->now_us + suspect_timeout_us(swim, node);
	}
}
