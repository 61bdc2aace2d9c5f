#include <string.h>

#include "swim_internal.h"

/* What a relay exchanges with the other failure domains. Its pushes are pings,
 * so that the answer confirms them. */

#define PUSH_IDLE_US (1000 * 1000)
#define SILENT_PROBE_US (1000 * 1000) /* between pings of silent relays */
#define SWEEP_INTERVAL_US (100 * 1000) /* between members of a lost domain */
/* Between pings of members of other domains that are dead or have left, all
 * together, and of each of them. */
#define END_PROBE_MIN_US (100 * 1000)
#define END_PROBE_EACH_US (4 * 1000 * 1000)
#define END_PROBE_SCAN 64 /* members per tick */
#define INDIRECT_DOMAINS 2

void swim_interdomain_stop(struct swim *swim)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		swim_pending_clear(domain);
		memset(domain->flights, 0, sizeof(domain->flights));
	}
}

void swim_interdomain_start(struct swim *swim)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		domain->notice = 0;
		domain->is_cut = false;
		domain->next_push_us = swim->now_us;
	}
	swim_pending_queue_recent(swim);
}

/* RETURN VALUE: one of the first two hosts that aren't silent, in turn; NULL if
 * no member of the domain is alive or suspect. */
static struct member *pick_target(struct swim *swim, struct swim_domain *domain)
{
	const struct swim_ranking *ranking = swim_relays_of(domain);
	struct swim_node *found[SWIM_RELAYS_PER_DOMAIN];
	unsigned int count = 0;
	struct swim_node *node;

	for (unsigned int i = 0;
	     i < ranking->count && count < SWIM_RELAYS_PER_DOMAIN; i++) {
		if (!ranking->nodes[i]->is_silent)
			found[count++] = ranking->nodes[i];
	}
	for (unsigned int i = 0; i < ranking->count && count == 0; i++)
		found[count++] = ranking->nodes[i];
	if (count > 0)
		return found[domain->next_rank++ % count]->member;
	if (domain->live->len == 0)
		return NULL;
	node = g_ptr_array_index(domain->live,
				 swim_random_below(swim, domain->live->len));
	return node->member;
}

/* RETURN VALUE: a member to send to in one of the other domains but one, which may
 * be NULL; the number selects the domain. NULL if there is none. */
static struct member *pick_foreign(struct swim *swim,
				   const struct swim_domain *except,
				   unsigned int number)
{
	struct swim_domain *own = swim_own_domain(swim);
	struct swim_domain *domain;
	unsigned int count = 0;

	TAILQ_FOREACH (domain, &swim->domains, link)
		count += domain != own && domain != except &&
			 domain->live->len > 0;
	if (count == 0)
		return NULL;
	number %= count;
	TAILQ_FOREACH (domain, &swim->domains, link) {
		if (domain != own && domain != except &&
		    domain->live->len > 0 && number-- == 0)
			return pick_target(swim, domain);
	}
	return NULL;
}

/* RETURN VALUE: a free flight, or for a push the oldest late one of a push; NULL if
 * there is none. */
static struct swim_flight *flight_find(struct swim_domain *domain, bool is_push)
{
	struct swim_flight *oldest = NULL;

	for (int i = 0; i < SWIM_FLIGHTS; i++) {
		struct swim_flight *flight = &domain->flights[i];

		if (!flight->seq)
			return flight;
		if (is_push && flight->is_late && !flight->is_sweep &&
		    (!oldest || flight->sent_at_us < oldest->sent_at_us))
			oldest = flight;
	}
	return oldest;
}

static struct swim_flight *flight_begin(struct swim *swim,
					struct swim_domain *domain,
					const struct member *target, bool is_push)
{
	struct swim_flight *flight = flight_find(domain, is_push);

	if (!flight)
		return NULL;
	*flight = (struct swim_flight){.seq = ++swim->seq,
				       .sent_at_us = swim->now_us,
				       .notice = swim->notice,
				       .is_sweep = !is_push};
	g_strlcpy(flight->host, target->host, sizeof(flight->host));
	return flight;
}

/* records_of: the domain whose pending records are passed on, or NULL. */
static void send_ping_req(struct swim *swim, const struct member *via,
			  const struct swim_flight *flight,
			  const struct member *target,
			  const struct swim_domain *records_of)
{
	struct swim_pending *pending;
	struct swim_packet packet;

	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_PING_REQ,
			 flight->seq);
	packet.message.target = (char *)target->host;
	packet.message.target_address = (char *)target->address;
	packet.message.target_port = target->peer_port;
	swim_quarantine_fill(swim, &packet);
	if (records_of) {
		TAILQ_FOREACH (pending, &records_of->pending, link) {
			if (!swim_packet_add(swim, &packet, pending->node->member))
				break;
		}
	}
	swim_packet_send_to(swim, &packet, via);
}

/* Asks relays of other domains, and a host of the own one, to ping the target.
 * The former pass on the records that are still to be sent to its domain. */
static void send_ping_reqs(struct swim *swim, struct swim_domain *to,
			   const struct swim_flight *flight,
			   const struct member *target)
{
	struct swim_domain *own = swim_own_domain(swim);
	struct swim_domain *domain;
	int sent = 0;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		struct member *via;

		if (domain == to || (domain != own && sent == INDIRECT_DOMAINS))
			continue;
		via = domain == own ? swim_pick_peer(swim, NULL) :
				      pick_target(swim, domain);
		if (!via)
			continue;
		sent += domain != own;
		send_ping_req(swim, via, flight, target,
			      domain == own ? NULL : to);
	}
}

static void send_ping(struct swim *swim, struct swim_domain *domain,
		      const struct swim_flight *flight, struct member *target,
		      bool is_push)
{
	struct swim_packet packet;

	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_PING,
			 flight->seq);
	packet.message.target = target->host;
	if (target->state != MEMBER_ALIVE) {
		swim_packet_add(swim, &packet, target);
		swim_packet_add(swim, &packet, swim->self);
	}
	swim_quarantine_fill(swim, &packet);
	if (is_push && swim->relay_budget_bytes > 0)
		swim_pending_fill(swim, &packet, domain);
	swim_packet_send_to(swim, &packet, target);
}

static void push(struct swim *swim, struct swim_domain *domain)
{
	bool has_news = swim->quarantine && quarantine_has_news(swim->quarantine);
	struct member *target = pick_target(swim, domain);
	struct swim_flight *flight =
		target ? flight_begin(swim, domain, target, true) : NULL;

	domain->next_push_us =
		swim->now_us + (has_news ? SWIM_PUSH_INTERVAL_US : PUSH_IDLE_US);
	if (!flight)
		return;
	if (domain->is_cut)
		send_ping_reqs(swim, domain, flight, target);
	send_ping(swim, domain, flight, target, true);
}

void swim_interdomain_push_all(struct swim *swim)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		if (swim->is_relay && domain != swim_own_domain(swim))
			push(swim, domain);
	}
}

static void flight_fail(struct swim *swim, struct swim_flight *flight)
{
	struct member *target = member_table_find(swim->table, flight->host);
	const struct swim_node *node = target ? target->swim_data : NULL;
	int64_t sent_at_us = flight->sent_at_us;

	flight->seq = 0;
	if (target && target->state <= MEMBER_SUSPECT &&
	    node->heard_us < sent_at_us)
		swim_probe_suspect(swim, target);
}

/* The ping is repeated, directly and by others. That of a sweep is repeated by one
 * other domain: the silent one may be cut off from this one only. */
static void flight_retry(struct swim *swim, struct swim_domain *domain,
			 struct swim_flight *flight)
{
	struct member *target = member_table_find(swim->table, flight->host);
	struct member *via;
	struct swim_node *node = target ? target->swim_data : NULL;

	flight->is_late = true;
	if (!target || target->state > MEMBER_SUSPECT)
		return;
	node->is_silent = true;
	send_ping(swim, domain, flight, target, false);
	if (flight->is_sweep) {
		via = pick_foreign(swim, domain,
				   swim_random_below(swim, UINT32_MAX));
		if (via)
			send_ping_req(swim, via, flight, target, NULL);
		return;
	}
	domain->is_cut = true;
	send_ping_reqs(swim, domain, flight, target);
}

/* RETURN VALUE: true if a push may still be answered in time. */
static bool flights_tick(struct swim *swim, struct swim_domain *domain)
{
	int64_t fail_us = SWIM_PERIOD_US * (int64_t)(swim->local_health + 1);
	bool is_waiting = false;

	for (int i = 0; i < SWIM_FLIGHTS; i++) {
		struct swim_flight *flight = &domain->flights[i];
		int64_t age_us = swim->now_us - flight->sent_at_us;

		if (!flight->seq)
			continue;
		if (age_us >= fail_us)
			flight_fail(swim, flight);
		else if (age_us >= SWIM_PING_TIMEOUT_US && !flight->is_late)
			flight_retry(swim, domain, flight);
		is_waiting |=
			flight->seq && !flight->is_sweep && !flight->is_late;
	}
	return is_waiting;
}

static unsigned int count_sweep_flights(const struct swim_domain *domain)
{
	unsigned int count = 0;

	for (int i = 0; i < SWIM_FLIGHTS; i++)
		count += domain->flights[i].seq && domain->flights[i].is_sweep;
	return count;
}

/* Pings all members of a domain whose relays don't respond, to find out whether
 * it is lost. Half of the flights are left to pushes: with a bad local health a
 * flight may take up to 9 s. */
static void sweep_tick(struct swim *swim, struct swim_domain *domain)
{
	struct swim_flight *flight;
	struct swim_node *node;

	if (!swim_relays_of(domain)->is_unresponsive ||
	    swim->now_us < domain->next_sweep_us ||
	    count_sweep_flights(domain) >= SWIM_FLIGHTS / 2)
		return;
	domain->next_sweep_us = swim->now_us + SWEEP_INTERVAL_US;
	if (domain->sweep_cursor == 0)
		domain->sweep_cursor = swim_random_below(swim, domain->live->len);
	node = g_ptr_array_index(domain->live,
				 domain->sweep_cursor++ % domain->live->len);
	flight = flight_begin(swim, domain, node->member, false);
	if (!flight)
		return;
	send_ping(swim, domain, flight, node->member, false);
}

/* Pings relays that are passed over as silent. Relays of two domains may each
 * hold the other for silent when a cut ends, and only a packet of theirs ends
 * that. */
static void probe_silent_tick(struct swim *swim, struct swim_domain *domain)
{
	const struct swim_ranking *ranking = swim_relays_of(domain);

	if (swim->now_us < domain->next_silent_probe_us)
		return;
	domain->next_silent_probe_us = swim->now_us + SILENT_PROBE_US;
	for (unsigned int i = 0;
	     i < MIN(ranking->count, SWIM_RELAYS_PER_DOMAIN); i++) {
		if (ranking->nodes[i]->is_silent)
			swim_probe_ping(swim, ranking->nodes[i]->member,
					++swim->seq);
	}
}

static void domain_tick(struct swim *swim, struct swim_domain *domain)
{
	bool is_waiting = flights_tick(swim, domain);

	if (domain->live->len == 0)
		return;
	sweep_tick(swim, domain);
	probe_silent_tick(swim, domain);
	if (swim->now_us >= domain->next_push_us ||
	    (!is_waiting && (domain->notice < swim->notice ||
			     swim_pending_is_due(swim, domain))))
		push(swim, domain);
}

/* Pings members of other domains that are dead or have left, so that the sides
 * of a network partition find each other. Restarted hosts are found by their own
 * domain. */
static void end_probe_tick(struct swim *swim)
{
	unsigned int count =
		swim->dead_or_left_count - swim_own_domain(swim)->ended_count;

	if (count == 0 || swim->now_us < swim->next_end_probe_us)
		return;
	for (guint i = 0; i < MIN(END_PROBE_SCAN, swim->probe_order->len); i++) {
		guint at = swim->end_probe_cursor++ % swim->probe_order->len;
		struct swim_node *node = g_ptr_array_index(swim->probe_order, at);

		if (node->domain == swim_own_domain(swim) ||
		    !swim_may_have_restarted(swim, node->member))
			continue;
		swim->next_end_probe_us =
			swim->now_us + MAX(END_PROBE_MIN_US,
					   END_PROBE_EACH_US / (int64_t)count);
		swim_probe_ping(swim, node->member, ++swim->seq);
		return;
	}
}

void swim_interdomain_tick(struct swim *swim)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		if (domain != swim_own_domain(swim))
			domain_tick(swim, domain);
	}
	end_probe_tick(swim);
}

/* Only a direct answer to the first ping confirms records: the ping that repeats
 * it has none, and an indirect one may come from a host that is no relay. All of
 * them carry what the notice stands for. */
static void flight_end(struct swim_domain *domain, struct swim_flight *flight,
		       bool is_direct)
{
	if (!flight->is_sweep) {
		if (is_direct && !flight->is_late)
			swim_pending_confirm(domain, flight->seq);
		domain->notice = MAX(domain->notice, flight->notice);
	}
	flight->seq = 0;
}

void swim_interdomain_handle_ack(struct swim *swim, uint64_t seq,
				 const char *who, bool is_direct)
{
	struct member *member = member_table_find(swim->table, who);
	struct swim_node *node = member ? member->swim_data : NULL;

	if (!swim->is_relay || !node || node->domain == swim_own_domain(swim))
		return;
	for (int i = 0; i < SWIM_FLIGHTS; i++) {
		struct swim_flight *flight = &node->domain->flights[i];

		if (flight->seq != seq || strcmp(flight->host, who) != 0)
			continue;
		node->is_silent = false;
		if (is_direct)
			node->domain->is_cut = false;
		flight_end(node->domain, flight, is_direct);
	}
}

struct member *swim_interdomain_sync_peer(struct swim *swim)
{
	return pick_foreign(swim, NULL, swim->next_sync_domain++);
}
