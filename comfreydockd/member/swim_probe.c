#include <string.h>

#include "swim_internal.h"

static void local_health_adjust(struct swim *swim, int change)
{
	int local_health = (int)swim->local_health + change;

	swim->local_health = CLAMP(local_health, 0, SWIM_LOCAL_HEALTH_MAX);
}

void swim_probe_ping(struct swim *swim, struct member *target, uint64_t seq)
{
	struct swim_packet packet;

	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_PING, seq);
	packet.message.target = target->host;
	/* A suspect member must learn of its suspicion first, so that it can
	 * refute. It may also take this daemon for dead, so the packet carries
	 * this daemon's record too. */
	if (target->state != MEMBER_ALIVE) {
		swim_packet_add(swim, &packet, target);
		swim_packet_add(swim, &packet, swim->self);
	}
	swim_rumour_fill(swim, &packet, target->domain);
	swim_packet_send_to(swim, &packet, target);
}

static struct member *probe_next_target(struct swim *swim)
{
	const struct swim_domain *own = swim_own_domain(swim);

	for (guint i = 0; i < swim->probe_order->len; i++) {
		struct swim_node *node;

		if (swim->probe_cursor >= swim->probe_order->len) {
			swim->probe_cursor = 0;
			for (guint j = swim->probe_order->len - 1; j > 0; j--) {
				guint other = swim_random_below(swim, j + 1);
				gpointer *slots = swim->probe_order->pdata;
				gpointer moved = slots[j];

				slots[j] = slots[other];
				slots[other] = moved;
			}
		}
		node = g_ptr_array_index(swim->probe_order, swim->probe_cursor++);
		if (node->member->state <= MEMBER_SUSPECT &&
		    (!swim->is_confined || node->domain == own))
			return node->member;
	}
	return NULL;
}

static void probe_start(struct swim *swim)
{
	struct swim_probe *probe = &swim->probe;
	struct member *target = probe_next_target(swim);

	swim->next_probe_us = swim->now_us +
			      SWIM_PERIOD_US * (int64_t)(swim->local_health + 1);
	if (!target)
		return;
	*probe = (struct swim_probe){.is_active = true,
				     .seq = ++swim->seq,
				     .sent_at_us = swim->now_us};
	g_strlcpy(probe->host, target->host, sizeof(probe->host));
	swim_probe_ping(swim, target, probe->seq);
}

static void probe_send_ping_reqs(struct swim *swim)
{
	struct member *target = member_table_find(swim->table, swim->probe.host);
	struct swim_packet packet;

	swim->probe.is_indirect = true;
	if (!target)
		return;
	for (int i = 0; i < SWIM_PING_REQ_FANOUT; i++) {
		struct member *relay_member = swim_pick_peer(swim, target->host);

		if (!relay_member)
			return;
		swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_PING_REQ,
				 swim->probe.seq);
		packet.message.target = target->host;
		packet.message.target_address = target->address;
		packet.message.target_port = target->peer_port;
		swim_rumour_fill(swim, &packet, relay_member->domain);
		swim_packet_send_to(swim, &packet, relay_member);
		swim->probe.nacks_expected++;
	}
}

void swim_probe_suspect(struct swim *swim, struct member *target)
{
	struct swim_node *node = target->swim_data;
	uint32_t by = member_host_hash(swim->self->host);

	if (target->state == MEMBER_ALIVE)
		swim_set_state(swim, target, MEMBER_SUSPECT, by);
	else if (node->is_suspect)
		swim_suspect_confirm(swim, node, by);
}

static void probe_fail(struct swim *swim)
{
	struct swim_probe *probe = &swim->probe;
	struct member *target = member_table_find(swim->table, probe->host);

	probe->is_active = false;
	/* If the relays don't send a NACK either, the fault is rather in this
	 * daemon's own network connection than in the target. */
	if (probe->nacks_expected == 0)
		local_health_adjust(swim, 1);
	else if (probe->nacks < probe->nacks_expected)
		local_health_adjust(swim,
				    (int)(probe->nacks_expected - probe->nacks));
	if (target)
		swim_probe_suspect(swim, target);
}

static void relays_tick(struct swim *swim)
{
	struct swim_packet packet;

	for (int i = 0; i < SWIM_RELAYS_MAX; i++) {
		struct swim_relay *relay = &swim->relays[i];

		if (relay->seq == 0 || swim->now_us < relay->nack_at_us)
			continue;
		swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_NACK,
				 relay->requester_seq);
		swim_packet_send(swim, &packet, &relay->requester);
		relay->seq = 0;
	}
}

void swim_probe_tick(struct swim *swim)
{
	struct swim_probe *probe = &swim->probe;
	int64_t timeout_us =
		SWIM_PING_TIMEOUT_US * (int64_t)(swim->local_health + 1);

	relays_tick(swim);
	if (probe->is_active && !probe->is_acked && !probe->is_indirect &&
	    swim->now_us >= probe->sent_at_us + timeout_us)
		probe_send_ping_reqs(swim);
	if (swim->now_us < swim->next_probe_us)
		return;
	if (probe->is_active && !probe->is_acked)
		probe_fail(swim);
	probe_start(swim);
}

void swim_probe_handle_ping(struct swim *swim, const Cfd__Gossip *message,
			    const struct swim_endpoint *from)
{
	struct member *sender = member_table_find(swim->table, message->from);
	bool has_no_target = message->target[0] == '\0';
	struct swim_packet packet;

	/* The address may belong to another host by now. */
	if (!has_no_target && strcmp(message->target, swim->self->host) != 0)
		return;
	if (sender)
		swim_relays_handle_ping(swim, sender);
	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_ACK,
			 message->seq);
	if (sender && sender->state != MEMBER_ALIVE)
		swim_packet_add(swim, &packet, sender);
	if (has_no_target)
		swim_packet_add(swim, &packet, swim->self);
	swim_rumour_fill(swim, &packet, from->domain);
	swim_packet_send(swim, &packet, from);
}

void swim_probe_handle_ping_req(struct swim *swim, const Cfd__Gossip *message,
				const struct swim_endpoint *from)
{
	struct swim_relay *relay =
		&swim->relays[swim->next_relay++ % SWIM_RELAYS_MAX];
	struct member target = {.state = MEMBER_ALIVE};
	const struct member *known;

	if (!swim_endpoint_is_valid(message->target_address, message->target_port))
		return;
	relay->seq = ++swim->seq;
	relay->requester_seq = message->seq;
	relay->requester = *from;
	relay->nack_at_us = swim->now_us + SWIM_PING_TIMEOUT_US;
	g_strlcpy(target.host, message->target, sizeof(target.host));
	g_strlcpy(target.address, message->target_address,
		  sizeof(target.address));
	target.peer_port = message->target_port;
	known = member_table_find(swim->table, message->target);
	target.domain = known ? known->domain : NULL;
	swim_pending_take_over(swim, message);
	swim_probe_ping(swim, &target, relay->seq);
}

static void relay_ack(struct swim *swim, struct swim_relay *relay,
		      const Cfd__Gossip *message)
{
	struct swim_packet packet;

	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_ACK,
			 relay->requester_seq);
	/* The requester matches the ACK by its sequence number and by the name
	 * of the target, which isn't the sender of this packet. */
	packet.message.target = message->from;
	swim_rumour_fill(swim, &packet, relay->requester.domain);
	swim_packet_send(swim, &packet, &relay->requester);
	relay->seq = 0;
}

void swim_probe_handle_ack(struct swim *swim, const Cfd__Gossip *message)
{
	struct swim_probe *probe = &swim->probe;
	const char *who = message->target[0] ? message->target : message->from;

	swim_interdomain_handle_ack(swim, message->seq, who, !message->target[0]);
	for (int i = 0; i < SWIM_RELAYS_MAX; i++) {
		if (swim->relays[i].seq && swim->relays[i].seq == message->seq)
			relay_ack(swim, &swim->relays[i], message);
	}
	if (!probe->is_active || probe->is_acked ||
	    probe->seq != message->seq || strcmp(who, probe->host) != 0)
		return;
	probe->is_acked = true;
	local_health_adjust(swim, -1);
}

void swim_probe_handle_nack(struct swim *swim, const Cfd__Gossip *message)
{
	if (swim->probe.is_active && swim->probe.seq == message->seq)
		swim->probe.nacks++;
}
