#include <string.h>

#include "swim_internal.h"

/* Lowest local health value after this process was suspended. A higher value is
 * worse: probes become rarer and timeouts longer. */
#define FREEZE_LOCAL_HEALTH 4
/* Shortest time from a full pass to one that starts because a dead member
 * answers. A full pass compares the whole table with that of one peer. A dead
 * member answers, for example, when a network partition ends and the tables of
 * its sides must be merged. */
#define MERGE_SYNC_INTERVAL_US (60 * US_PER_S)
#define US_PER_S ((int64_t)1000000)

/* The splitmix64 generator. It is not secure, which is fine for choosing peers. */
uint32_t swim_random_below(struct swim *swim, uint32_t limit)
{
	uint64_t z = (swim->random += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	z ^= z >> 31;
	return limit ? (uint32_t)((z >> 32) * limit >> 32) : 0;
}

const struct member *swim_self(const struct swim *swim)
{
	return swim->self;
}

bool swim_has_peers(const struct swim *swim)
{
	return swim->live_count > 0;
}

static struct swim_node *node_add(struct swim *swim, struct member *member)
{
	struct swim_node *node = g_new0(struct swim_node, 1);
	guint other;

	node->member = member;
	member->swim_data = node;
	swim_relays_add(swim, node);
	if (strcmp(member->host, swim->self->host) == 0)
		return node;
	/* Inserts the node at a random place among those that this probe round
	 * has yet to reach. If all daemons put a new member at the end, all of
	 * them would probe it at the end of their rounds. */
	g_ptr_array_add(swim->probe_order, node);
	swim->probe_cursor = MIN(swim->probe_cursor, swim->probe_order->len - 1);
	other = swim->probe_cursor +
		swim_random_below(swim,
				  swim->probe_order->len - swim->probe_cursor);
	swim->probe_order->pdata[swim->probe_order->len - 1] =
		swim->probe_order->pdata[other];
	swim->probe_order->pdata[other] = node;
	return node;
}

/* Updates how many members are live and how many are dead or have left. */
static void node_update_counts(struct swim *swim, struct swim_node *node,
			       enum member_state state)
{
	bool is_dead_or_left = state == MEMBER_DEAD || state == MEMBER_LEFT;
	bool is_live = state <= MEMBER_SUSPECT && node->member != swim->self;

	swim->dead_or_left_count += is_dead_or_left - node->is_dead_or_left;
	swim->live_count += is_live - node->is_live;
	node->is_dead_or_left = is_dead_or_left;
	node->is_live = is_live;
}

static void swim_handle_changed(struct member *member, void *data)
{
	struct swim *swim = data;
	struct swim_node *node = member->swim_data;

	/* The first record in the table is the one that swim_create() adds. */
	if (!swim->self)
		swim->self = member;
	if (!node)
		node = node_add(swim, member);
	node_update_counts(swim, node, member->state);
	node->changed_us = swim->now_us;
	swim_relays_update(swim, node);
	if (member->state != MEMBER_SUSPECT)
		swim_suspect_stop(swim, node);
	else if (!node->is_suspect ||
		 node->suspected_incarnation != member->incarnation)
		swim_suspect_start(swim, node);
	if (!swim->suppress_rumours)
		swim_rumour_queue(swim, node);
}

static void swim_handle_removed(struct member *member, void *data)
{
	struct swim *swim = data;
	struct swim_node *node = member->swim_data;

	if (!node)
		return;
	swim->dead_or_left_count -= node->is_dead_or_left;
	swim->live_count -= node->is_live;
	swim_suspect_stop(swim, node);
	swim_rumour_drop(swim, node);
	swim_relays_remove(swim, node);
	g_ptr_array_remove_fast(swim->probe_order, node);
	member->swim_data = NULL;
	g_free(node);
}

struct swim *swim_create(const struct swim_options *options, int64_t now_us)
{
	struct swim *swim = g_new0(struct swim, 1);
	struct member_observer observer = {.handle_changed = swim_handle_changed,
					   .handle_removed = swim_handle_removed,
					   .data = swim};

	swim->table = options->table;
	swim->ops = options->ops;
	swim->quarantine = options->quarantine;
	swim->evacuation = options->evacuation;
	swim->random = options->seed;
	swim->now_us = now_us;
	swim->started_us = now_us;
	swim->ticked_at_us = now_us;
	swim->probe_order = g_ptr_array_new();
	TAILQ_INIT(&swim->urgent);
	TAILQ_INIT(&swim->rumours);
	TAILQ_INIT(&swim->suspects);
	TAILQ_INIT(&swim->domains);
	swim->relay_min_hosts = options->relay_min_hosts;
	swim->seq = (uint64_t)swim_random_below(swim, UINT32_MAX) << 24;
	swim->budget_bytes = SWIM_BYTES_PER_S;
	swim->page_budget_bytes = SWIM_PAGE_BYTES_PER_S;
	swim->quarantine_budget_bytes = SWIM_QUARANTINE_BYTES_PER_S;
	swim->relay_budget_bytes = SWIM_RELAY_BYTES_PER_S;
	swim->next_probe_us = now_us + swim_random_below(swim, SWIM_PERIOD_US);
	swim->next_push_us =
		now_us + swim_random_below(swim, SWIM_PUSH_INTERVAL_US);
	swim->next_sync_us = now_us + swim_random_below(swim, SWIM_PERIOD_US);
	member_table_observe(swim->table, &observer);
	member_table_update(swim->table, options->self, now_us);
	return swim;
}

void swim_destroy(struct swim *swim)
{
	struct member *member;

	if (!swim)
		return;
	member_table_unobserve(swim->table, swim);
	swim_relays_destroy(swim);
	TAILQ_FOREACH (member, member_table_all(swim->table), link) {
		g_free(member->swim_data);
		member->swim_data = NULL;
	}
	g_ptr_array_unref(swim->probe_order);
	g_free(swim);
}

void swim_set_state(struct swim *swim, struct member *member,
		    enum member_state state, uint32_t by)
{
	struct member record = *member;

	record.state = state;
	/* For swim_suspect_start(), called while the table is updated. */
	swim->suspected_by = by;
	member_table_update(swim->table, &record, swim->now_us);
}

/* Pings a sender that this daemon doesn't know. After a restart the other
 * daemons still know this one, while it knows none of them and its seeds may
 * be down. As every sender may be unknown then, the rate of these pings is
 * limited. */
static void ping_unknown_sender(struct swim *swim,
				const struct swim_endpoint *from)
{
	if (swim->now_us < swim->next_unknown_ping_us)
		return;
	swim->next_unknown_ping_us = swim->now_us + SWIM_PUSH_INTERVAL_US;
	swim_ping_endpoint(swim, from);
}

/* Called for each ACK. Starts a full sync if its sender may have many records
 * that this daemon lacks: any sender while the table is incomplete, and a sender
 * that was considered dead until now. */
static void sync_full_if_due(struct swim *swim,
			     const struct swim_endpoint *from, bool was_dead)
{
	bool sync_is_due =
		!swim_table_is_complete(swim) ||
		(was_dead && swim->now_us - swim->sync.full_sync_started_us >
				     MERGE_SYNC_INTERVAL_US);

	if (sync_is_due && swim_has_peers(swim))
		swim_sync_start_full(swim, from);
}

static void dispatch(struct swim *swim, const Cfd__Gossip *message,
		     const struct swim_endpoint *from, bool was_dead)
{
	switch (message->kind) {
	case CFD__GOSSIP_KIND__GOSSIP_PING:
		swim_probe_handle_ping(swim, message, from);
		break;
	case CFD__GOSSIP_KIND__GOSSIP_ACK:
		swim_probe_handle_ack(swim, message);
		sync_full_if_due(swim, from, was_dead);
		break;
	case CFD__GOSSIP_KIND__GOSSIP_NACK:
		swim_probe_handle_nack(swim, message);
		break;
	case CFD__GOSSIP_KIND__GOSSIP_PING_REQ:
		swim_probe_handle_ping_req(swim, message, from);
		break;
	case CFD__GOSSIP_KIND__GOSSIP_SYNC:
		swim_sync_handle_request(swim, message, from);
		break;
	case CFD__GOSSIP_KIND__GOSSIP_SYNC_REPLY:
		swim_sync_handle_reply(swim, message, from);
		break;
	default:
		break;
	}
}

static void note_sender(struct swim *swim, const struct member *sender,
			struct swim_endpoint *from)
{
	struct swim_node *node = sender->swim_data;

	from->domain = swim->sender_domain = sender->domain;
	node->heard_us = swim->now_us;
	node->is_silent = false;
}

static bool handle_message(struct swim *swim, const Cfd__Gossip *message,
			   struct swim_endpoint *from)
{
	struct member *sender = member_table_find(swim->table, message->from);
	bool was_dead = sender && sender->state == MEMBER_DEAD;

	if (strcmp(message->from, swim->self->host) == 0)
		return true; /* one of the seeds is this daemon itself */
	if (sender)
		note_sender(swim, sender, from);
	if (!swim_evacuation_is_valid(message) ||
	    !swim_quarantine_is_valid(swim, message) ||
	    !swim_records_apply(swim, message, from))
		return false;
	if (!sender && (sender = member_table_find(swim->table, message->from)))
		note_sender(swim, sender, from);
	swim_quarantine_merge(swim, message);
	swim_evacuation_merge(swim, message);
	if (swim->ops->handle_config_head)
		swim->ops->handle_config_head(message->from, message->config_head,
					      swim_told_age_us(swim, message),
					      swim->ops->data);
	dispatch(swim, message, from, was_dead);
	if (!member_table_find(swim->table, message->from))
		ping_unknown_sender(swim, from);
	return true;
}

bool swim_receive(struct swim *swim, const char *address, uint16_t port,
		  const uint8_t *body, size_t size, int64_t now_us)
{
	Cfd__Gossip *message = cfd__gossip__unpack(NULL, size, body);
	struct swim_endpoint from = {.port = port};
	bool is_valid;

	if (!message)
		return false;
	swim->now_us = MAX(swim->now_us, now_us);
	g_strlcpy(from.address, address, sizeof(from.address));
	swim->is_receiving = true;
	is_valid = message->from[0] && strlen(message->from) < MEMBER_HOST_MAX &&
		   strlen(message->target) < MEMBER_HOST_MAX &&
		   handle_message(swim, message, &from);
	swim->is_receiving = false;
	swim->sender_domain = NULL;
	cfd__gossip__free_unpacked(message, NULL);
	return is_valid;
}

/*
 * Resets the failure detector after this process was suspended (SIGSTOP, a
 * paused virtual machine). By then every answer is overdue, and this daemon
 * would declare all other members dead. So it discards the running probes and
 * restarts all suspicions.
 */
static void swim_resume_after_freeze(struct swim *swim, int64_t gap_us)
{
	swim->probe.is_active = false;
	memset(swim->relays, 0, sizeof(swim->relays));
	swim->local_health = MAX(swim->local_health, FREEZE_LOCAL_HEALTH);
	swim->next_probe_us =
		swim->now_us + swim_random_below(swim, SWIM_PERIOD_US);
	swim_suspect_restart_all(swim);
	swim->watched_since_us = swim->now_us;
	if (swim->is_relay)
		swim_interdomain_stop(swim);
	swim->is_relay = false;
	if (swim->ops->handle_freeze)
		swim->ops->handle_freeze(gap_us, swim->ops->data);
}

static int64_t budget_refill(int64_t budget, int64_t per_s, int64_t gap_us)
{
	gap_us = MIN(gap_us, US_PER_S);
	return MIN(budget + per_s * gap_us / US_PER_S, per_s);
}

void swim_tick(struct swim *swim, int64_t now_us)
{
	int64_t gap_us = now_us - swim->ticked_at_us;

	swim->now_us = MAX(swim->now_us, now_us);
	swim->ticked_at_us = now_us;
	swim->late_tick_gap_us = gap_us > 2 * SWIM_TICK_US ? gap_us : 0;
	swim->budget_bytes =
		budget_refill(swim->budget_bytes, SWIM_BYTES_PER_S, gap_us);
	swim->page_budget_bytes = budget_refill(swim->page_budget_bytes,
						SWIM_PAGE_BYTES_PER_S, gap_us);
	swim->quarantine_budget_bytes =
		budget_refill(swim->quarantine_budget_bytes,
			      SWIM_QUARANTINE_BYTES_PER_S, gap_us);
	swim->relay_budget_bytes = budget_refill(swim->relay_budget_bytes,
						 SWIM_RELAY_BYTES_PER_S, gap_us);
	if (gap_us > SWIM_FREEZE_US)
		swim_resume_after_freeze(swim, gap_us);
	if (swim->quarantine)
		quarantine_tick(swim->quarantine, swim->now_us);
	swim_relays_tick(swim);
	swim_rumour_tick(swim);
	if (swim->has_left)
		return;
	swim_probe_tick(swim);
	swim_suspect_tick(swim);
	swim_sync_tick(swim);
	swim_sweep_tick(swim);
}

void swim_join(struct swim *swim, const char *address, uint16_t port,
	       int64_t now_us)
{
	struct swim_endpoint seed = {.port = port};

	if (!swim_endpoint_is_valid(address, port))
		return;
	swim->now_us = MAX(swim->now_us, now_us);
	g_strlcpy(seed.address, address, sizeof(seed.address));
	for (unsigned int i = 0; i < swim->seed_count; i++) {
		if (swim->seeds[i].port == port &&
		    strcmp(swim->seeds[i].address, address) == 0)
			return;
	}
	if (swim->seed_count < SWIM_SEEDS_MAX)
		swim->seeds[swim->seed_count++] = seed;
	else
		swim->seeds[swim_random_below(swim, SWIM_SEEDS_MAX)] = seed;
	swim_ping_endpoint(swim, &seed);
}

bool swim_announce(struct swim *swim, enum member_service_state state,
		   char **groups, uint32_t slots, uint32_t warm_ms,
		   int64_t now_us)
{
	struct member record = *swim->self;

	swim->now_us = MAX(swim->now_us, now_us);
	record.service_state = state;
	record.groups = groups;
	record.slots = slots;
	record.warm_ms = warm_ms;
	record.up_since_us = swim->now_us;
	if (!swim_record_fits(swim, &record))
		return false;
	swim_publish_self(swim, &record, 0);
	return true;
}

void swim_leave(struct swim *swim, int64_t now_us)
{
	struct member record = *swim->self;

	swim->now_us = MAX(swim->now_us, now_us);
	swim->has_left = true;
	record.state = MEMBER_LEFT;
	swim_publish_self(swim, &record, 0);
	swim_rumour_announce_leave(swim);
}

void swim_set_config_head(struct swim *swim, uint64_t head)
{
	if (head == swim->config_head)
		return;
	swim->config_head = head;
	swim->head_transmits = swim_rumour_limit(swim);
	swim_relays_note(swim);
}

void swim_set_relay_min_hosts(struct swim *swim, uint32_t relay_min_hosts)
{
	swim->relay_min_hosts = relay_min_hosts;
}
