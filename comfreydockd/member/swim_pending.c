#include "swim_internal.h"

/* The records that a relay still has to send to other failure domains. */

/* Each record, to each domain. */
#define TRANSMITS_MAX 3
/* A host that becomes a relay sends what changed in this time. The relay before
 * it may have failed to. */
#define RECENT_US (5 * 1000 * 1000)

static bool domain_is_weak(struct swim_domain *domain)
{
	return swim_relays_of(domain)->count < SWIM_RELAYS_PER_DOMAIN;
}

static void pending_remove(struct swim_domain *domain,
			   struct swim_pending *pending)
{
	TAILQ_REMOVE(&domain->pending, pending, link);
	g_hash_table_remove(domain->pending_of, pending->node);
	g_free(pending);
}

static void pending_add(struct swim_domain *domain, struct swim_node *node)
{
	struct swim_pending *pending =
		g_hash_table_lookup(domain->pending_of, node);

	if (pending) {
		TAILQ_REMOVE(&domain->pending, pending, link);
	} else {
		pending = g_new(struct swim_pending, 1);
		g_hash_table_insert(domain->pending_of, node, pending);
	}
	*pending = (struct swim_pending){.node = node};
	if (node->is_urgent)
		TAILQ_INSERT_HEAD(&domain->pending, pending, link);
	else
		TAILQ_INSERT_TAIL(&domain->pending, pending, link);
}

static void queue_everywhere(struct swim *swim, struct swim_node *node)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		bool has_it = swim->is_receiving &&
			      domain->name == swim->sender_domain;

		if (domain != swim_own_domain(swim) && !has_it)
			pending_add(domain, node);
	}
}

/* A relay is responsible for the hosts of its own domain, for those of domains
 * without two relays, and for what it found out itself. */
void swim_pending_queue(struct swim *swim, struct swim_node *node)
{
	/* The own domain has waited for it long enough. */
	if (swim->is_receiving && swim_is_foreign(swim, swim->sender_domain))
		swim->next_push_us = swim->now_us;
	if (!swim->is_receiving || node->domain == swim_own_domain(swim) ||
	    domain_is_weak(node->domain))
		queue_everywhere(swim, node);
}

void swim_pending_drop(struct swim *swim, struct swim_node *node)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		struct swim_pending *pending =
			g_hash_table_lookup(domain->pending_of, node);

		if (pending)
			pending_remove(domain, pending);
	}
}

void swim_pending_clear(struct swim_domain *domain)
{
	struct swim_pending *pending;

	while ((pending = TAILQ_FIRST(&domain->pending)))
		pending_remove(domain, pending);
}

void swim_pending_queue_recent(struct swim *swim)
{
	struct member *member;

	TAILQ_FOREACH (member, member_table_all(swim->table), link) {
		struct swim_node *node = member->swim_data;

		if (swim->now_us - node->changed_us < RECENT_US &&
		    (node->domain == swim_own_domain(swim) ||
		     domain_is_weak(node->domain)))
			queue_everywhere(swim, node);
	}
}

void swim_pending_take_over(struct swim *swim, const Cfd__Gossip *message)
{
	struct member *target = member_table_find(swim->table, message->target);
	struct swim_node *node = target ? target->swim_data : NULL;

	if (!swim->is_relay || !node || node->domain == swim_own_domain(swim) ||
	    !swim_is_foreign(swim, swim->sender_domain))
		return;
	for (size_t i = 0; i < message->n_records; i++) {
		const struct member *known =
			member_table_find(swim->table, message->records[i]->host);

		if (known)
			pending_add(node->domain, known->swim_data);
	}
}

static bool record_is_due(const struct swim *swim,
			  const struct swim_pending *pending)
{
	return pending->transmits == 0 ||
	       swim->now_us - pending->sent_at_us >= SWIM_PING_TIMEOUT_US;
}

void swim_pending_fill(struct swim *swim, struct swim_packet *packet,
		       struct swim_domain *domain)
{
	struct swim_pending *pending = TAILQ_FIRST(&domain->pending);

	while (pending) {
		struct swim_pending *next = TAILQ_NEXT(pending, link);

		if (!record_is_due(swim, pending)) {
			pending = next;
			continue;
		}
		if (pending->transmits == TRANSMITS_MAX) {
			pending_remove(domain, pending);
		} else {
			if (!swim_packet_add(swim, packet, pending->node->member))
				return;
			pending->transmits++;
			pending->seq = packet->message.seq;
			pending->sent_at_us = swim->now_us;
		}
		pending = next;
	}
}

bool swim_pending_is_due(const struct swim *swim, const struct swim_domain *domain)
{
	const struct swim_pending *pending;

	if (swim->relay_budget_bytes <= 0)
		return false;
	TAILQ_FOREACH (pending, &domain->pending, link) {
		if (record_is_due(swim, pending))
			return true;
	}
	return false;
}

void swim_pending_confirm(struct swim_domain *domain, uint64_t seq)
{
	struct swim_pending *pending = TAILQ_FIRST(&domain->pending);

	while (pending) {
		struct swim_pending *next = TAILQ_NEXT(pending, link);

		if (pending->seq == seq)
			pending_remove(domain, pending);
		pending = next;
	}
}
