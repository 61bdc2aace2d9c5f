#include <math.h>

#include "swim_internal.h"

/* Before a suspicion times out, the suspect is pinged directly, by all daemons
 * in a small cluster and by FINAL_PINGERS on average in a large one. Without
 * that, a daemon that missed the refutation would declare a healthy host dead. */
#define FINAL_PINGS 3
#define FINAL_PING_INTERVAL_US (500 * 1000)
#define FINAL_PINGERS 16
/* Relays of other domains, on average. If all relays pinged each host of a large
 * domain that is lost, this would use up their budgets. */
#define FINAL_RELAYS 4

static int64_t suspect_min_us(const struct swim *swim)
{
	double scale = MAX(log10((double)swim->probe_order->len + 2.0), 1.0);

	return (int64_t)(scale * SWIM_SUSPECT_ALPHA * SWIM_PERIOD_US);
}

/* The timeout shrinks with each daemon that confirms the suspicion. A single
 * daemon with a bad network connection must leave a healthy host much time to
 * refute. */
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
	node->final_pings = 0;
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
		    swim->now_us + (int64_t)FINAL_PINGS * FINAL_PING_INTERVAL_US);
	swim_rumour_queue(swim, node);
}

static bool is_final_relay(struct swim *swim)
{
	unsigned int others = swim->live_domains > 1 ? swim->live_domains - 1 : 1;

	return swim->is_relay &&
	       swim_random_below(swim, others * SWIM_RELAYS_PER_DOMAIN) <
		       FINAL_RELAYS;
}

/* RETURN VALUE: true if this daemon asks the suspect itself. With relays, these
 * are members of its domain and relays of the others. */
static bool is_final_pinger(struct swim *swim, const struct swim_node *node)
{
	if (swim->is_confined && swim_is_foreign(swim, node->member->domain))
		return is_final_relay(swim);
	return swim_random_below(swim, swim->is_confined ?
					       node->domain->live->len :
					       swim->probe_order->len) <
	       FINAL_PINGERS;
}

static void suspect_final_ping(struct swim *swim, struct swim_node *node)
{
	int64_t lead_us = (int64_t)(FINAL_PINGS - node->final_pings) *
			  FINAL_PING_INTERVAL_US;

	if (node->final_pings == FINAL_PINGS ||
	    swim->now_us < node->dead_at_us - lead_us)
		return;
	node->final_pings++;
	if (is_final_pinger(swim, node))
		swim_probe_ping(swim, node->member, ++swim->seq);
}

void swim_suspect_tick(struct swim *swim)
{
	struct swim_node *node = TAILQ_FIRST(&swim->suspects);

	while (node) {
		struct swim_node *next = TAILQ_NEXT(node, suspect_link);

		suspect_final_ping(swim, node);
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
		node->final_pings = 0;
		node->dead_at_us = swim->now_us + suspect_timeout_us(swim, node);
	}
}
