#include <string.h>

#include "comfreydockd/decide/rendezvous.h"
#include "swim_internal.h"

/* Which hosts of a failure domain are its relays, and among whom this host
 * chooses its peers. Docs: docs/design/gossip-relays.md. */

#define RELAY_KEY "gossip-relay"
/* Relays stay on until the average falls below this share of the threshold. Each
 * switch has a cost, and at the threshold one host that restarts would cause
 * two. */
#define KEEP_SHARE 7
#define KEEP_OF 8
/* The hosts that would stand in for hanging relays ping them. Suspicion alone
 * takes more than a second, in which no change would leave the domain. */
#define WATCH_INTERVAL_US (250 * 1000)
/* Two answers in a row are missing. */
#define WATCH_TIMEOUT_US (600 * 1000)
/* Each relay of another domain pings one of two hosts in turn, once a second. */
#define STAND_IN_US (5 * 1000 * 1000)

struct swim_domain *swim_own_domain(const struct swim *swim)
{
	const struct swim_node *self = swim->self->swim_data;

	return self->domain;
}

bool swim_is_foreign(const struct swim *swim, const char *domain)
{
	return domain && domain != swim->self->domain;
}

static bool node_ranks_before(const struct swim_node *a,
			      const struct swim_node *b)
{
	if (a->relay_weight != b->relay_weight)
		return a->relay_weight > b->relay_weight;
	return strcmp(a->member->host, b->member->host) < 0;
}

/* Inserts the node into a list of at most max nodes, in the order of ranks.
 * RETURN VALUE: the new number of nodes. */
static unsigned int rank_insert(struct swim_node **nodes, unsigned int count,
				unsigned int max, struct swim_node *node)
{
	unsigned int place = count;

	while (place > 0 && node_ranks_before(node, nodes[place - 1]))
		place--;
	if (place == max)
		return count;
	count = MIN(count + 1, max);
	for (unsigned int i = count - 1; i > place; i--)
		nodes[i] = nodes[i - 1];
	nodes[place] = node;
	return count;
}

void swim_relays_rank(const GPtrArray *live, struct swim_ranking *ranking)
{
	struct swim_node *first[SWIM_RELAYS_PER_DOMAIN];
	unsigned int count = 0;

	*ranking = (struct swim_ranking){.is_unresponsive = live->len > 0};
	for (guint i = 0; i < live->len; i++) {
		struct swim_node *node = g_ptr_array_index(live, i);

		count = rank_insert(first, count, SWIM_RELAYS_PER_DOMAIN, node);
		if (node->member->state == MEMBER_ALIVE)
			ranking->count =
				rank_insert(ranking->nodes, ranking->count,
					    SWIM_RANKS, node);
	}
	for (unsigned int i = 0; i < count; i++) {
		if (first[i]->member->state == MEMBER_ALIVE)
			ranking->is_unresponsive = false;
	}
}

bool swim_relays_has(const struct swim_ranking *ranking,
		     const struct swim_node *node)
{
	unsigned int before = 0;

	for (unsigned int i = 0; i < ranking->count; i++) {
		if (before == SWIM_RELAYS_PER_DOMAIN)
			return false;
		if (ranking->nodes[i] == node)
			return true;
		before += !ranking->nodes[i]->is_silent;
	}
	return false;
}

const struct swim_ranking *swim_relays_of(struct swim_domain *domain)
{
	if (domain->is_ranking_stale)
		swim_relays_rank(domain->live, &domain->ranking);
	domain->is_ranking_stale = false;
	return &domain->ranking;
}

bool swim_relays_are_on(struct swim *swim)
{
	uint64_t min = (uint64_t)swim->relay_min_hosts * swim->live_domains;
	uint64_t live = (uint64_t)swim->live_count + 1;

	return min > 0 &&
	       (live >= min ||
		(swim->is_confined && live * KEEP_OF >= min * KEEP_SHARE)) &&
	       swim_relays_of(swim_own_domain(swim))->count >=
		       SWIM_RELAYS_PER_DOMAIN;
}

static struct member *pick_from(struct swim *swim, const GPtrArray *nodes,
				const char *except)
{
	const int tries = 16;

	for (int i = 0; i < tries && nodes->len > 0; i++) {
		struct swim_node *node = g_ptr_array_index(
			nodes, swim_random_below(swim, nodes->len));
		struct member *member = node->member;

		if (member->state <= MEMBER_SUSPECT && member != swim->self &&
		    (!except || strcmp(member->host, except) != 0))
			return member;
	}
	return NULL;
}

struct member *swim_pick_own_peer(struct swim *swim)
{
	return pick_from(swim, swim_own_domain(swim)->live, NULL);
}

struct member *swim_pick_peer(struct swim *swim, const char *except)
{
	return pick_from(swim,
			 swim->is_confined ? swim_own_domain(swim)->live :
					     swim->probe_order,
			 except);
}

static struct swim_domain *domain_find_or_add(struct swim *swim, const char *name)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		if (domain->name == name)
			return domain;
	}
	domain = g_new0(struct swim_domain, 1);
	domain->name = name;
	domain->live = g_ptr_array_new();
	domain->pending_of = g_hash_table_new(NULL, NULL);
	TAILQ_INIT(&domain->pending);
	TAILQ_INSERT_TAIL(&swim->domains, domain, link);
	return domain;
}

static void domain_list(struct swim *swim, struct swim_node *node)
{
	struct swim_domain *domain = node->domain;

	node->is_listed = true;
	node->live_index = domain->live->len;
	g_ptr_array_add(domain->live, node);
	swim->live_domains += domain->live->len == 1;
}

static void domain_unlist(struct swim *swim, struct swim_node *node)
{
	struct swim_domain *domain = node->domain;
	struct swim_node *last;

	g_ptr_array_remove_index_fast(domain->live, node->live_index);
	if (node->live_index < domain->live->len) {
		last = g_ptr_array_index(domain->live, node->live_index);
		last->live_index = node->live_index;
	}
	node->is_listed = false;
	swim->live_domains -= domain->live->len == 0;
}

/* Counts the node in its domain as live, as dead or left, or not at all. */
static void domain_count(struct swim *swim, struct swim_node *node,
			 bool is_live, bool has_ended)
{
	if (is_live && !node->is_listed)
		domain_list(swim, node);
	else if (!is_live && node->is_listed)
		domain_unlist(swim, node);
	node->domain->ended_count += has_ended - node->has_ended;
	node->has_ended = has_ended;
	node->domain->is_ranking_stale = true;
}

void swim_relays_add(struct swim *swim, struct swim_node *node)
{
	node->relay_weight = rendezvous_weight(node->member->host, RELAY_KEY);
	node->domain = domain_find_or_add(swim, node->member->domain);
}

void swim_relays_update(struct swim *swim, struct swim_node *node)
{
	enum member_state state = node->member->state;

	if (node->domain->name != node->member->domain) {
		swim_pending_drop(swim, node);
		domain_count(swim, node, false, false);
		node->domain = domain_find_or_add(swim, node->member->domain);
	}
	domain_count(swim, node, state <= MEMBER_SUSPECT, state > MEMBER_SUSPECT);
}

void swim_relays_remove(struct swim *swim, struct swim_node *node)
{
	swim_pending_drop(swim, node);
	domain_count(swim, node, false, false);
}

void swim_relays_destroy(struct swim *swim)
{
	struct swim_domain *domain;

	swim_interdomain_stop(swim);
	while ((domain = TAILQ_FIRST(&swim->domains))) {
		TAILQ_REMOVE(&swim->domains, domain, link);
		g_ptr_array_unref(domain->live);
		g_hash_table_unref(domain->pending_of);
		g_free(domain);
	}
}

/* Those that stand in for the relays get the change too. If both relays hang,
 * it leaves the domain as soon as that is noticed. */
static void notify(struct swim *swim, bool has_record)
{
	const struct swim_ranking *ranking;
	struct swim_packet packet;

	if (!swim_relays_are_on(swim))
		return;
	ranking = swim_relays_of(swim_own_domain(swim));
	for (unsigned int i = 0; i < ranking->count; i++) {
		if (ranking->nodes[i]->member == swim->self)
			continue;
		swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_PUSH, 0);
		swim_quarantine_fill(swim, &packet);
		if (has_record)
			swim_packet_add(swim, &packet, swim->self);
		swim_packet_send_to(swim, &packet, ranking->nodes[i]->member);
	}
}

void swim_relays_notify(struct swim *swim)
{
	notify(swim, true);
}

void swim_relays_note(struct swim *swim)
{
	struct swim_domain *domain;

	TAILQ_FOREACH (domain, &swim->domains, link) {
		if (swim->is_receiving && domain->name == swim->sender_domain &&
		    domain->notice == swim->notice)
			domain->notice++;
	}
	swim->notice++;
	if (!swim->is_receiving)
		notify(swim, false);
	else if (swim->is_relay && swim_is_foreign(swim, swim->sender_domain))
		swim->next_push_us = swim->now_us;
}

/* A mark that this host made itself goes to the relays at once, as its other
 * changes do. */
static void note_quarantine(struct swim *swim)
{
	bool is_own = !swim->has_received_marks;

	swim->has_received_marks = false;
	if (!swim->quarantine || swim->quarantine_budget_bytes <= 0 ||
	    !quarantine_has_unsent(swim->quarantine))
		return;
	swim->notice++;
	if (is_own)
		notify(swim, false);
}

/* RETURN VALUE: the rank of the node, from 0 on; ranking->count if it has none. */
static unsigned int rank_of(const struct swim_ranking *ranking,
			    const struct swim_node *node)
{
	unsigned int rank = 0;

	while (rank < ranking->count && ranking->nodes[rank] != node)
		rank++;
	return rank;
}

/* Pings from hosts that can't be relays, as after a start, mean nothing. */
void swim_relays_handle_ping(struct swim *swim, const struct member *sender)
{
	const struct swim_node *from = sender->swim_data;
	const struct swim_ranking *own, *other;
	unsigned int rank;

	if (!swim->is_confined || !swim_is_foreign(swim, sender->domain))
		return;
	own = swim_relays_of(swim_own_domain(swim));
	other = swim_relays_of(from->domain);
	rank = rank_of(own, swim->self->swim_data);
	if (rank >= SWIM_RELAYS_PER_DOMAIN && rank < own->count &&
	    rank_of(other, from) < other->count)
		swim->stand_in_until_us = swim->now_us + STAND_IN_US;
}

/* Pings the hosts that are relays before this one, and notes which are silent. */
static void watch(struct swim *swim, const struct swim_ranking *ranking)
{
	bool is_due = swim->now_us >= swim->next_watch_us;
	unsigned int rank = rank_of(ranking, swim->self->swim_data);

	if (rank < SWIM_RELAYS_PER_DOMAIN || rank >= ranking->count) {
		swim->watched_since_us = swim->now_us;
		return;
	}
	if (is_due)
		swim->next_watch_us = swim->now_us + WATCH_INTERVAL_US;
	for (unsigned int i = 0; i < rank; i++) {
		struct swim_node *node = ranking->nodes[i];
		int64_t heard_us = MAX(MAX(node->heard_us, node->changed_us),
				       swim->watched_since_us);

		if (swim->now_us - heard_us > WATCH_TIMEOUT_US)
			node->is_silent = true;
		if (is_due)
			swim_probe_ping(swim, node->member, ++swim->seq);
	}
}

void swim_relays_tick(struct swim *swim)
{
	bool was_confined = swim->is_confined;
	const struct swim_ranking *ranking;
	bool is_relay;

	if (swim->relay_min_hosts == 0 && !was_confined && !swim->is_relay)
		return;
	swim->is_confined =
		swim_table_is_complete(swim) && swim_relays_are_on(swim);
	if (swim->is_confined && !was_confined) {
		/* Until now the relays had no pings to answer. */
		swim->watched_since_us = swim->now_us;
		notify(swim, true);
	}
	ranking = swim_relays_of(swim_own_domain(swim));
	if (swim->is_confined && !swim->has_left)
		watch(swim, ranking);
	is_relay = swim->is_confined && !swim->has_left &&
		   (swim->now_us < swim->stand_in_until_us ||
		    swim_relays_has(ranking, swim->self->swim_data));
	if (is_relay && !swim->is_relay)
		swim_interdomain_start(swim);
	else if (!is_relay && swim->is_relay)
		swim_interdomain_stop(swim);
	swim->is_relay = is_relay;
	note_quarantine(swim);
	if (is_relay)
		swim_interdomain_tick(swim);
}
