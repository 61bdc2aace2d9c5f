#include <math.h>

#include "swim_internal.h"

#define LEAVE_FANOUT 8

unsigned int swim_rumour_limit(const struct swim *swim)
{
	double scale = log((double)swim->probe_order->len + 1.0);

	return SWIM_RETRANSMIT_BASE +
	       (unsigned int)ceil(SWIM_RETRANSMIT_SCALE * scale);
}

static struct swim_node_list *rumour_list_of(struct swim *swim,
					     const struct swim_node *node)
{
	return node->is_urgent ? &swim->urgent : &swim->rumours;
}

void swim_rumour_drop(struct swim *swim, struct swim_node *node)
{
	if (!node->is_rumour)
		return;
	TAILQ_REMOVE(rumour_list_of(swim, node), node, rumour_link);
	node->is_rumour = false;
}

/* RETURN VALUE: true for records that must not wait behind a burst of others:
 * those that keep calls away from a host, and those that refute a false
 * suspicion of this host. */
static bool rumour_is_urgent(const struct swim *swim, const struct member *member)
{
	return member == swim->self || member->state == MEMBER_LEFT ||
	       member->service_state == MEMBER_SERVICE_DRAINING;
}

void swim_rumour_queue(struct swim *swim, struct swim_node *node)
{
	swim_rumour_drop(swim, node);
	node->is_urgent = rumour_is_urgent(swim, node->member);
	node->is_rumour = true;
	node->transmits = 0;
	TAILQ_INSERT_HEAD(rumour_list_of(swim, node), node, rumour_link);
	if (swim->is_relay)
		swim_pending_queue(swim, node);
}

/* Adds rumours from the head of the list until the packet is full. A rumour
 * that was sent moves to the tail, or leaves the list once it has reached the
 * retransmit limit. */
static void fill_from(struct swim *swim, struct swim_packet *packet,
		      struct swim_node_list *list)
{
	struct swim_node_list sent = TAILQ_HEAD_INITIALIZER(sent);
	struct swim_node *node;

	while ((node = TAILQ_FIRST(list))) {
		if (!swim_packet_add(swim, packet, node->member))
			break;
		TAILQ_REMOVE(list, node, rumour_link);
		if (++node->transmits < swim_rumour_limit(swim))
			TAILQ_INSERT_TAIL(&sent, node, rumour_link);
		else
			node->is_rumour = false;
	}
	TAILQ_CONCAT(list, &sent, rumour_link);
}

/* Other domains get this host's own record from it, and all others from the
 * relays. When all hosts of a cluster start at once, each of them would send
 * each record to other domains as often as within its own otherwise. */
static void fill_foreign(struct swim *swim, struct swim_packet *packet)
{
	struct swim_node *self = swim->self->swim_data;

	if (!self->is_rumour || !swim_packet_add(swim, packet, swim->self))
		return;
	if (++self->transmits >= swim_rumour_limit(swim))
		swim_rumour_drop(swim, self);
}

void swim_rumour_fill(struct swim *swim, struct swim_packet *packet,
		      const char *domain)
{
	swim_quarantine_fill(swim, packet);
	if (swim->budget_bytes <= 0)
		return;
	if (swim_is_foreign(swim, domain) && swim_relays_are_on(swim)) {
		if (!swim->is_confined)
			fill_foreign(swim, packet);
		return;
	}
	fill_from(swim, packet, &swim->urgent);
	fill_from(swim, packet, &swim->rumours);
}

void swim_rumour_push(struct swim *swim, const struct member *target)
{
	struct swim_packet packet;

	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_PUSH, 0);
	swim_rumour_fill(swim, &packet, target->domain);
	swim_packet_send_to(swim, &packet, target);
}

void swim_rumour_tick(struct swim *swim)
{
	bool is_urgent = swim->quarantine && swim->quarantine_budget_bytes > 0 &&
			 quarantine_has_unsent(swim->quarantine);
	bool has_news =
		is_urgent || !TAILQ_EMPTY(&swim->urgent) ||
		!TAILQ_EMPTY(&swim->rumours) || swim->head_transmits ||
		(swim->quarantine && quarantine_has_news(swim->quarantine));

	if (swim->now_us < swim->next_push_us && !is_urgent)
		return;
	swim->next_push_us = swim->now_us + SWIM_PUSH_INTERVAL_US;
	for (int i = 0; has_news && i < SWIM_PUSH_FANOUT; i++) {
		struct member *target = swim_pick_peer(swim, NULL);

		if (!target || (swim->budget_bytes <= 0 && !is_urgent))
			return;
		swim_rumour_push(swim, target);
		if (swim->head_transmits > 0)
			swim->head_transmits--;
	}
}

void swim_rumour_announce_leave(struct swim *swim)
{
	for (int i = 0; i < LEAVE_FANOUT; i++) {
		struct member *target = swim_pick_peer(swim, NULL);

		if (target)
			swim_rumour_push(swim, target);
	}
	swim_interdomain_push_all(swim);
}
