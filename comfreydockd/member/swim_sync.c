#include <string.h>

#include "swim_internal.h"

/* Anti-entropy between the tables of two daemons, and the sweep: a periodic
 * check of members that are dead or have left, which also pings the seeds. */

#define FULL_SYNC_REPLIES_MAX 8 /* replies per request of a full pass */
#define FULL_SYNC_RETRY_US (300 * 1000)
#define FULL_SYNC_TIMEOUT_US (3 * 1000 * 1000)
#define SYNC_INTERVAL_US (1000 * 1000) /* between incremental requests */
/* Between full passes while the table grows. */
#define FULL_SYNC_INTERVAL_US (100 * 1000)
/* The table counts as complete after this many full passes in a row that each
 * added no more than 1/FULL_SYNC_GROWTH_DIVISOR of it. One pass isn't enough,
 * as its peer may know as little as this daemon. */
#define FULL_SYNC_STABLE_PASSES 3
#define FULL_SYNC_GROWTH_DIVISOR 16
#define SWEEP_MEMBERS_PER_TICK 64
/* How many daemons at a time ping one host that is dead or has left, whatever
 * the cluster's size. Pings from all of 22,000 daemons would overload a host
 * that restarts. */
#define REPROBERS 8
#define SEED_INTERVAL_ALONE_US (1000 * 1000)
#define SEED_INTERVAL_US (60 * 1000 * 1000)
/* For this time after the start, seeds are pinged as if there were no peers. When
 * all hosts start at once, the first pings reach only some of them, and those
 * that found each other would stay apart from the others. */
#define SEED_START_US (15 * 1000 * 1000)

/* Members that one digest of a request covers, on average. One page of a reply
 * holds the members of a few digests. */
#define MEMBERS_PER_DIGEST 5

static uint64_t span_digest(const struct swim *swim, unsigned int bucket,
			    unsigned int span)
{
	unsigned int end = MIN(bucket + span, MEMBER_BUCKETS);
	uint64_t digest = 0;

	for (; bucket < end; bucket++)
		digest ^= member_table_digest(swim->table, bucket);
	return digest;
}

static unsigned int span_for_table_size(const struct swim *swim)
{
	unsigned int size = swim->probe_order->len + 1;

	return CLAMP(MEMBERS_PER_DIGEST * MEMBER_BUCKETS / size, 1,
		     MEMBER_BUCKETS);
}

/* Sends the digests from next_bucket on and asks for the buckets that differ.
 * RETURN VALUE: the first bucket that the request doesn't cover. */
static unsigned int sync_send_request(struct swim *swim, unsigned int max_packets)
{
	struct swim_sync *sync = &swim->sync;
	unsigned int bucket = sync->next_bucket;
	uint64_t digests[SWIM_DIGESTS];
	struct swim_packet packet;

	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_SYNC, 0);
	packet.message.bucket = sync->next_bucket;
	packet.message.max_packets = max_packets;
	packet.message.digests = digests;
	packet.message.span = span_for_table_size(swim);
	while (packet.message.n_digests < SWIM_DIGESTS &&
	       bucket < MEMBER_BUCKETS) {
		digests[packet.message.n_digests++] =
			span_digest(swim, bucket, packet.message.span);
		bucket += packet.message.span;
	}
	sync->requested_bucket = sync->next_bucket;
	sync->requested_at_us = swim->now_us;
	sync->is_waiting = true;
	swim_packet_send(swim, &packet, &sync->peer);
	return bucket;
}

bool swim_table_is_complete(const struct swim *swim)
{
	return swim->sync.stable_passes >= FULL_SYNC_STABLE_PASSES;
}

void swim_sync_start_full(struct swim *swim, const struct swim_endpoint *peer)
{
	struct swim_sync *sync = &swim->sync;

	if (sync->is_full_pass)
		return;
	sync->is_full_pass = true;
	sync->peer = *peer;
	sync->next_bucket = 0;
	sync->last_reply_us = swim->now_us;
	sync->full_sync_started_us = swim->now_us;
	sync->size_before = swim->probe_order->len;
	sync_send_request(swim, FULL_SYNC_REPLIES_MAX);
}

static void sync_full_tick(struct swim *swim)
{
	struct swim_sync *sync = &swim->sync;

	if (swim->now_us - sync->last_reply_us > FULL_SYNC_TIMEOUT_US) {
		sync->is_full_pass = false;
		return;
	}
	if (swim->page_budget_bytes <= 0)
		return;
	if (!sync->is_waiting ||
	    swim->now_us - sync->requested_at_us >= FULL_SYNC_RETRY_US)
		sync_send_request(swim, FULL_SYNC_REPLIES_MAX);
}

/*
 * A relay turns to another domain and to its own one alternately, once a second
 * each. A daemon whose table is incomplete makes every second full pass with its
 * own domain: when all hosts start at once, each pass returns most of a table,
 * and 0.75 of 1.2 MB between the domains of 87 hosts were these pages.
 */
static struct member *sync_pick_peer(struct swim *swim)
{
	struct member *peer = NULL;

	if (swim->is_relay) {
		swim->next_sync_us = swim->now_us + SYNC_INTERVAL_US / 2;
		swim->is_foreign_sync_due = !swim->is_foreign_sync_due;
		if (swim->is_foreign_sync_due)
			peer = swim_interdomain_sync_peer(swim);
	} else if (swim->sync.is_next_pass_own && swim_relays_are_on(swim)) {
		peer = swim_pick_own_peer(swim);
	}
	return peer ? peer : swim_pick_peer(swim, NULL);
}

void swim_sync_tick(struct swim *swim)
{
	struct swim_sync *sync = &swim->sync;
	struct member *peer;

	if (sync->is_full_pass) {
		sync_full_tick(swim);
		return;
	}
	if (swim->now_us < swim->next_sync_us || swim->budget_bytes <= 0)
		return;
	swim->next_sync_us = swim->now_us + SYNC_INTERVAL_US;
	peer = sync_pick_peer(swim);
	if (!peer)
		return;
	g_strlcpy(sync->peer.address, peer->address, sizeof(sync->peer.address));
	sync->peer.port = peer->peer_port;
	sync->peer.domain = peer->domain;
	if (!swim_table_is_complete(swim)) {
		swim_sync_start_full(swim, &sync->peer);
		return;
	}
	sync->next_bucket = sync_send_request(swim, 1);
	if (sync->next_bucket >= MEMBER_BUCKETS)
		sync->next_bucket = 0;
}

/* The reply packets ("pages") to one sync request. */
struct sync_pages {
	struct swim *swim;
	const struct swim_endpoint *to;
	struct swim_packet packet;
	unsigned int remaining; /* pages that may still be sent */
};

static void pages_begin(struct sync_pages *pages, unsigned int bucket)
{
	swim_packet_init(pages->swim, &pages->packet,
			 CFD__GOSSIP_KIND__GOSSIP_SYNC_REPLY, 0);
	pages->packet.message.bucket = bucket;
	/* Both fields get their values when the page is sent. Until then they
	 * hold those with the largest encoding, so that swim_packet_add()
	 * leaves room for them. */
	pages->packet.message.next_bucket = MEMBER_BUCKETS;
	pages->packet.message.is_last = true;
}

static void pages_send(struct sync_pages *pages, unsigned int next_bucket,
		       bool is_last)
{
	pages->packet.message.next_bucket = next_bucket;
	pages->packet.message.is_last = is_last;
	swim_packet_send(pages->swim, &pages->packet, pages->to);
	pages->remaining--;
}

/* Adds the members of a bucket and sends each page that is full.
 * RETURN VALUE: false if the last page was sent. */
static bool pages_add_bucket(struct sync_pages *pages, unsigned int bucket)
{
	struct member *member;

	LIST_FOREACH (member, member_table_bucket(pages->swim->table, bucket),
		      bucket_link) {
		if (swim_packet_add(pages->swim, &pages->packet, member))
			continue;
		pages_send(pages, bucket, pages->remaining == 1);
		if (pages->remaining == 0)
			return false;
		pages_begin(pages, bucket);
		swim_packet_add(pages->swim, &pages->packet, member);
	}
	return true;
}

void swim_sync_handle_request(struct swim *swim, const Cfd__Gossip *message,
			      const struct swim_endpoint *from)
{
	struct sync_pages pages = {.swim = swim,
				   .to = from,
				   .remaining = CLAMP(message->max_packets, 1,
						      FULL_SYNC_REPLIES_MAX)};
	unsigned int span = CLAMP(message->span, 1, MEMBER_BUCKETS);
	unsigned int bucket = message->bucket;

	if (bucket >= MEMBER_BUCKETS || swim->page_budget_bytes <= 0)
		return;
	pages_begin(&pages, bucket);
	for (size_t i = 0; i < message->n_digests; i++) {
		unsigned int end = MIN(bucket + span, MEMBER_BUCKETS);

		if (span_digest(swim, bucket, span) == message->digests[i])
			bucket = end;
		for (; bucket < end; bucket++) {
			if (!pages_add_bucket(&pages, bucket))
				return;
		}
	}
	pages_send(&pages, bucket, true);
}

/*
 * Repeats the full pass with other peers until the table stops growing. A peer
 * that has just started knows few hosts itself. If its table were taken for
 * complete, hosts that restart at the same time would know only some of the
 * upstreams for seconds and overload these.
 */
static void sync_finish_full(struct swim *swim)
{
	struct swim_sync *sync = &swim->sync;
	guint size = swim->probe_order->len;

	sync->is_full_pass = false;
	sync->next_bucket = 0;
	sync->is_next_pass_own = !sync->is_next_pass_own;
	/* A host that joins is known to other domains through the relays of its
	 * own one, which it may know only now. */
	if (!swim_table_is_complete(swim))
		swim_relays_notify(swim);
	if (size > sync->size_before + size / FULL_SYNC_GROWTH_DIVISOR)
		sync->stable_passes = 0;
	else
		sync->stable_passes++;
	if (!swim_table_is_complete(swim))
		swim->next_sync_us =
			swim->now_us + FULL_SYNC_INTERVAL_US / 2 +
			swim_random_below(swim, FULL_SYNC_INTERVAL_US);
}

/* Continues the incremental pass where the page ended, at least one bucket
 * further on. swim_sync_tick() has already moved next_bucket past all buckets of
 * the request, but the page may have had no room for some of them. If they were
 * passed over, a wide span would return the same few records from its start
 * forever. */
static void sync_handle_incremental_page(struct swim_sync *sync,
					 const Cfd__Gossip *message)
{
	if (message->bucket == sync->requested_bucket &&
	    message->next_bucket < MEMBER_BUCKETS)
		sync->next_bucket =
			MAX(message->next_bucket, message->bucket + 1);
}

static void sync_handle_full_page(struct swim *swim, const Cfd__Gossip *message)
{
	struct swim_sync *sync = &swim->sync;

	swim->page_budget_bytes -= (int64_t)cfd__gossip__get_packed_size(message);
	sync->last_reply_us = swim->now_us;
	if (message->bucket <= sync->next_bucket &&
	    message->next_bucket > sync->next_bucket)
		sync->next_bucket = message->next_bucket;
	if (message->is_last)
		sync->is_waiting = false;
	if (sync->next_bucket >= MEMBER_BUCKETS)
		sync_finish_full(swim);
	else if (message->is_last && swim->page_budget_bytes > 0)
		sync_send_request(swim, FULL_SYNC_REPLIES_MAX);
}

void swim_sync_handle_reply(struct swim *swim, const Cfd__Gossip *message,
			    const struct swim_endpoint *from)
{
	struct swim_sync *sync = &swim->sync;

	if (from->port != sync->peer.port ||
	    strcmp(from->address, sync->peer.address) != 0)
		return;
	if (sync->is_full_pass)
		sync_handle_full_page(swim, message);
	else
		sync_handle_incremental_page(sync, message);
}

void swim_ping_endpoint(struct swim *swim, const struct swim_endpoint *to)
{
	struct swim_packet packet;

	swim_packet_init(swim, &packet, CFD__GOSSIP_KIND__GOSSIP_PING,
			 ++swim->seq);
	swim_packet_add(swim, &packet, swim->self);
	swim_packet_send(swim, &packet, to);
}

/* RETURN VALUE: true if the seed is a live member of another domain, with which
 * the relays keep in touch. */
static bool seed_is_foreign(const struct swim *swim,
			    const struct swim_endpoint *seed)
{
	const struct member *member;

	TAILQ_FOREACH (member, member_table_all(swim->table), link) {
		if (member->peer_port == seed->port &&
		    strcmp(member->address, seed->address) == 0)
			return member->state <= MEMBER_SUSPECT &&
			       swim_is_foreign(swim, member->domain);
	}
	return false;
}

static void seeds_tick(struct swim *swim)
{
	const struct swim_endpoint *seed;
	bool is_urgent = !swim_has_peers(swim) ||
			 swim->now_us - swim->started_us < SEED_START_US;

	if (is_urgent &&
	    swim->next_seed_us > swim->now_us + SEED_INTERVAL_ALONE_US)
		swim->next_seed_us = swim->now_us;
	if (swim->seed_count == 0 || swim->now_us < swim->next_seed_us)
		return;
	swim->next_seed_us =
		swim->now_us +
		(is_urgent ? SEED_INTERVAL_ALONE_US :
			     SEED_INTERVAL_US / 2 +
				     swim_random_below(swim, SEED_INTERVAL_US));
	seed = &swim->seeds[swim_random_below(swim, swim->seed_count)];
	if (!swim->is_confined || swim->is_relay || !seed_is_foreign(swim, seed))
		swim_ping_endpoint(swim, seed);
}

/*
 * A daemon that restarts during an outage of the platform, the service that
 * stores the membership rows and the configuration, finds no peers: it keeps no
 * state on disk, and the rows can't be read. So daemons that knew it before ping
 * its address, also if it left properly. Otherwise a planned restart of all
 * daemons during an outage would leave each of them alone, and without a
 * configuration, until the platform is back.
 */
bool swim_may_have_restarted(const struct swim *swim, const struct member *member)
{
	int64_t age_us = swim->now_us - member->state_since_us;

	return member->state == MEMBER_DEAD ||
	       (member->state == MEMBER_LEFT && age_us < SWIM_REPROBE_LEFT_US);
}

/* RETURN VALUE: false if the member was forgotten. */
static bool sweep_member(struct swim *swim, struct member *member)
{
	int64_t age_us = swim->now_us - member->state_since_us;

	if ((member->state == MEMBER_DEAD && age_us > SWIM_FORGET_DEAD_US) ||
	    (member->state == MEMBER_LEFT && age_us > SWIM_FORGET_LEFT_US)) {
		member_table_remove(swim->table, member->host);
		return false;
	}
	if (swim->is_reprobe_due && swim_may_have_restarted(swim, member) &&
	    (!swim->is_confined || !swim_is_foreign(swim, member->domain))) {
		swim->is_reprobe_due = false;
		swim_probe_ping(swim, member, ++swim->seq);
	}
	return true;
}

/* Draws whether this daemon pings a dead or left member in this interval. Each
 * daemon does so with the probability REPROBERS * (dead or left members) / (all
 * other members), so that about REPROBERS daemons ping each of them. With
 * relays, both numbers are those of the own domain. */
static bool reprobe_is_selected(struct swim *swim)
{
	const struct swim_domain *own = swim_own_domain(swim);

	if (swim->is_confined)
		return swim_random_below(swim,
					 own->live->len - 1 + own->ended_count) <
		       own->ended_count * REPROBERS;
	return swim_random_below(swim, swim->probe_order->len) <
	       swim->dead_or_left_count * REPROBERS;
}

/* Removes members that have been dead for long or left long ago, pings one of
 * the others that may have restarted, and pings a seed if one is due. */
void swim_sweep_tick(struct swim *swim)
{
	seeds_tick(swim);
	if (swim->now_us >= swim->next_reprobe_us) {
		swim->next_reprobe_us =
			swim->now_us + SWIM_REPROBE_INTERVAL_US / 2 +
			swim_random_below(swim, SWIM_REPROBE_INTERVAL_US);
		swim->is_reprobe_due =
			swim->dead_or_left_count && reprobe_is_selected(swim);
	}
	for (guint i = 0;
	     i < MIN(SWEEP_MEMBERS_PER_TICK, swim->probe_order->len); i++) {
		struct swim_node *node;

		if (swim->sweep_cursor >= swim->probe_order->len)
			swim->sweep_cursor = 0;
		node = g_ptr_array_index(swim->probe_order, swim->sweep_cursor);
		if (sweep_member(swim, node->member))
			swim->sweep_cursor++;
	}
}
