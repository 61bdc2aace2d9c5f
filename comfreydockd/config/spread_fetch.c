#include "comfreydockd/config/spread_internal.h"

#include <string.h>

#include "comfreydockd/config/rows.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

/* Delay between two successful fetches, so that one fetch gets several
 * changes. */
#define PAUSE_MIN_US (100 * US_PER_MS)
#define PAUSE_MAX_US (300 * US_PER_MS)
#define BACKOFF_US (200 * US_PER_MS)
#define BACKOFF_MAX_DOUBLINGS 4 /* 3.2 s */
/* Each time this many fetches in a row have failed, the head is read from the
 * platform. */
#define PEER_TRIES 3

bool config_fetch_is_behind(const struct config_spread *spread)
{
	return !config_store_is_ready(spread->store) ||
	       config_store_known_head(spread->store) >
		       config_store_head(spread->store);
}

static bool is_live_peer(const struct config_spread *spread,
			 const struct member *member)
{
	return member && member->state == MEMBER_ALIVE && member->peer_port &&
	       strcmp(member->host, spread->host) != 0;
}

static bool is_startup_peer(const struct config_spread *spread, const char *host)
{
	for (unsigned int i = 0; i < spread->startup_peer_count; i++) {
		if (strcmp(spread->startup_peer_hosts[i], host) == 0)
			return true;
	}
	return false;
}

/* Picks a random live peer that has not been asked for its head at startup. The
 * peer asked last is picked only if there is no other. */
static struct member *pick_random_peer(struct config_spread *spread)
{
	struct member *drawn = NULL;
	struct member *last = NULL;
	struct member *member;
	uint64_t seen = 0;

	TAILQ_FOREACH (member, member_table_all(spread->members), link) {
		if (!is_live_peer(spread, member) ||
		    is_startup_peer(spread, member->host))
			continue;
		if (strcmp(member->host, spread->asked_host) == 0)
			last = member;
		else if (random_below(&spread->random, ++seen) == 0)
			drawn = member;
	}
	return drawn ? drawn : last;
}

/* Prefers the peer that named the head, but only once, because it may be the
 * one that fails. */
static struct member *choose_peer(struct config_spread *spread)
{
	struct member *member =
		member_table_find(spread->members, spread->hint_host);

	spread->hint_host[0] = '\0';
	return is_live_peer(spread, member) ? member : pick_random_peer(spread);
}

void config_fetch_note_failure(struct config_spread *spread, const char *why)
{
	unsigned int doublings = MIN(spread->tries, BACKOFF_MAX_DOUBLINGS);
	int64_t most = (int64_t)BACKOFF_US << doublings;

	log_event(EV_CONFIG_FETCH_FAILED, LOG_STR("why", why),
		  LOG_STR("asked", spread->asked_host),
		  LOG_INT("head", config_store_head(spread->store)),
		  LOG_INT("known_head", config_store_known_head(spread->store)),
		  LOG_INT("tries", spread->tries));
	counters.config_fetch_failures++;
	spread->step = CONFIG_FETCH_NONE;
	spread->tries++;
	spread->fetch_at_us = config_spread_random_time(spread, most / 4, most);
	/* The peers can't help, so read from the platform which versions are in
	 * force. */
	if (spread->tries % PEER_TRIES == 0)
		spread->head_read_requested = true;
}

void config_fetch_note_success(struct config_spread *spread)
{
	spread->step = CONFIG_FETCH_NONE;
	spread->tries = 0;
	spread->fetch_at_us =
		config_spread_random_time(spread, PAUSE_MIN_US, PAUSE_MAX_US);
	if (config_fetch_is_behind(spread) &&
	    config_store_has_missing(spread->store))
		spread->fetch_at_us = spread->now_us;
}

static void adopt_object(struct config_spread *spread, const char *value,
			 size_t size)
{
	struct received_body body = {
		.name = spread->object_name,
		.version = spread->object_version,
		.bytes = g_byte_array_new_take(g_memdup2(value, size), size),
	};

	g_strlcpy(body.sha256, spread->object_sha256, sizeof(body.sha256));
	received_body_adopt(spread, &body);
}

static void handle_object(enum config_platform_status status,
			  uint64_t row_version, const char *value, size_t size,
			  void *data)
{
	struct config_spread *spread = data;

	(void)row_version;
	counters.config_platform_bytes += size;
	spread->step = CONFIG_FETCH_NONE;
	if (status == CONFIG_PLATFORM_OK && value)
		adopt_object(spread, value, size);
	else
		config_fetch_note_failure(spread,
					  "could not read the object store");
	g_clear_pointer(&spread->object_name, g_free);
	config_fetch_next(spread);
}

static void read_object(struct config_spread *spread,
			const struct config_version *version)
{
	char *key = config_object_key(version->sha256);

	spread->step = CONFIG_FETCH_OBJECT;
	spread->object_name = g_strdup(version->name);
	spread->object_version = version->version;
	g_strlcpy(spread->object_sha256, version->sha256,
		  sizeof(spread->object_sha256));
	counters.config_object_reads++;
	spread->platform_ops->get_object(spread->platform, key, handle_object,
					 spread);
	g_free(key);
}

/*
 * A reader of the platform's head is among the first to see a new head and
 * hardly any peer has the body yet, so it reads the object store first. The
 * other daemons, and a reader that has just started and lacks everything, read
 * it after two peers failed in a row. This read gets one body;
 * config_fetch_note_failure() requests reads of the head.
 */
static bool prefers_object_store(const struct config_spread *spread)
{
	unsigned int turn = spread->tries % PEER_TRIES;

	if (spread->is_reader && config_store_is_ready(spread->store))
		return turn < PEER_TRIES - 1;
	return turn == PEER_TRIES - 1;
}

static void fetch_missing(struct config_spread *spread, GArray *missing)
{
	bool may_read = spread->platform_ops && !spread->platform_failed;
	struct member *peer;

	if (may_read && prefers_object_store(spread)) {
		read_object(spread,
			    &g_array_index(missing, struct config_version, 0));
		return;
	}
	peer = choose_peer(spread);
	if (peer)
		config_query_send_wanted(spread, peer, missing);
	else if (may_read)
		read_object(spread,
			    &g_array_index(missing, struct config_version, 0));
	else
		config_fetch_note_failure(spread, "no live peer");
}

/* Chooses the peer with the highest head among those asked at startup, or the
 * one that named a higher head by gossip. */
static struct member *choose_startup_peer(struct config_spread *spread)
{
	struct member *best =
		member_table_find(spread->members, spread->best_host);
	struct member *hint =
		member_table_find(spread->members, spread->hint_host);

	if (is_live_peer(spread, hint) && spread->hint_head > spread->best_head)
		best = hint;
	spread->hint_host[0] = '\0';
	spread->best_host[0] = '\0';
	spread->best_head = 0;
	spread->startup_peer_count = 0;
	return is_live_peer(spread, best) ? best : NULL;
}

/* Without the platform, a starting daemon asks some live peers for their heads
 * and then fetches from the one with the highest. */
static void fetch_at_startup(struct config_spread *spread)
{
	struct member *member = NULL;

	if (!spread->platform_tried || !spread->platform_failed)
		return;
	if (spread->startup_peer_count < CONFIG_SPREAD_STARTUP_PEERS)
		member = pick_random_peer(spread);
	if (member) {
		g_strlcpy(spread->startup_peer_hosts[spread->startup_peer_count++],
			  member->host, MEMBER_HOST_MAX);
		config_query_send_simple(spread, member, CONFIG_FETCH_HEAD);
		return;
	}
	member = choose_startup_peer(spread);
	if (member)
		config_query_send_simple(spread, member, CONFIG_FETCH_LISTING);
	else
		config_fetch_note_failure(spread, "no live peer");
}

static void fetch_changes(struct config_spread *spread)
{
	struct member *member = choose_peer(spread);

	if (member)
		config_query_send_simple(spread, member, CONFIG_FETCH_LISTING);
	else
		config_fetch_note_failure(spread, "no live peer");
}

void config_fetch_next(struct config_spread *spread)
{
	GArray *missing;

	if (spread->step != CONFIG_FETCH_NONE ||
	    spread->now_us < spread->fetch_at_us ||
	    config_store_is_adopting(spread->store) ||
	    !config_fetch_is_behind(spread))
		return;
	missing = config_store_missing(spread->store);
	if (missing->len)
		fetch_missing(spread, missing);
	else if (!config_store_is_ready(spread->store))
		fetch_at_startup(spread);
	else
		fetch_changes(spread);
	g_array_unref(missing);
}

/* A suspected member is not gone: it may be slow to answer, or this daemon may
 * be slow to receive. */
static bool is_gone(const struct member *member)
{
	return !member || member->state == MEMBER_DEAD ||
	       member->state == MEMBER_LEFT;
}

void config_fetch_check_timeout(struct config_spread *spread)
{
	if (spread->step == CONFIG_FETCH_NONE ||
	    spread->step == CONFIG_FETCH_OBJECT)
		return;
	if (is_gone(member_table_find(spread->members, spread->asked_host)))
		config_fetch_note_failure(spread, "the peer left or died");
	else if (spread->now_us >= spread->give_up_us)
		config_fetch_note_failure(spread, "no answer in time");
}

void config_fetch_drop_adopted_pieces(struct config_spread *spread)
{
	struct config_pieces *pieces = &spread->pieces;

	if (pieces->bytes->len &&
	    config_store_holds(spread->store, pieces->name, pieces->version))
		config_pieces_clear(pieces);
}

/* What an answer has brought. */
struct received {
	bool has_piece; /* of a body that isn't complete yet */
	bool has_body; /* it is adopted by a job */
};

static void take_piece(struct config_spread *spread,
		       const Cfd__ConfigLine *line, struct received *received)
{
	struct config_pieces *pieces = &spread->pieces;

	if (!config_pieces_add(pieces, line))
		return;
	config_store_note_piece(spread->store);
	received->has_piece = true;
	if (!config_pieces_are_complete(pieces))
		return;
	received->has_body = true;
	received_body_adopt_pieces(spread);
}

/* A line of an answer describes one version of a namespace. It may carry the
 * whole body, the differences that lead to it or, if its size is set, one piece of
 * it. */
static void take_bodies(struct config_spread *spread,
			const Cfd__ConfigBody *answer, struct received *received)
{
	for (size_t i = 0; i < answer->n_lines; i++) {
		const Cfd__ConfigLine *line = answer->lines[i];

		if (!line->has_body ||
		    config_store_holds(spread->store, line->namespace_,
				       line->version))
			continue;
		if (line->size) {
			take_piece(spread, line, received);
			continue;
		}
		if (received_body_adopt_line(spread, line))
			received->has_body = true;
	}
}

static void take_listing(struct config_spread *spread,
			 const Cfd__ConfigBody *answer)
{
	GArray *versions =
		g_array_new(FALSE, FALSE, sizeof(struct config_version));

	for (size_t i = 0; i < answer->n_lines; i++) {
		const Cfd__ConfigLine *line = answer->lines[i];
		struct config_version version = {
			.name = line->namespace_,
			.version = line->version,
			.at = line->at,
		};

		g_strlcpy(version.sha256, line->sha256, sizeof(version.sha256));
		g_array_append_val(versions, version);
	}
	config_store_note_listing(spread->store, answer->head,
				  (const struct config_version *)versions->data,
				  versions->len);
	g_array_unref(versions);
}

static void take_startup_head(struct config_spread *spread, const char *host,
			      const Cfd__ConfigBody *answer)
{
	spread->step = CONFIG_FETCH_NONE;
	if (!answer->ready)
		return;
	if (spread->best_host[0] && answer->head <= spread->best_head)
		return;
	spread->best_head = answer->head;
	g_strlcpy(spread->best_host, host, sizeof(spread->best_host));
}

/* Handles the answer to a query for a listing or for bodies. */
static void take_configuration(struct config_spread *spread,
			       const Cfd__ConfigBody *answer)
{
	bool was_behind = config_fetch_is_behind(spread);
	struct received received = {0};

	spread->step = CONFIG_FETCH_NONE;
	take_bodies(spread, answer, &received);
	if (answer->is_listing)
		take_listing(spread, answer);
	/* The peer that sent a piece has the others as well. */
	if (received.has_piece && spread->pieces.bytes->len)
		g_strlcpy(spread->hint_host, spread->asked_host,
			  sizeof(spread->hint_host));
	if (received.has_body)
		return;
	if (received.has_piece ||
	    config_store_head(spread->store) > spread->head_before ||
	    (was_behind && !config_fetch_is_behind(spread)))
		config_fetch_note_success(spread);
	else
		config_fetch_note_failure(spread,
					  "nothing newer in the answer");
}

void config_spread_take_answer(struct config_spread *spread, const char *host,
			       const Cfd__ConfigBody *answer)
{
	bool is_asked = spread->step != CONFIG_FETCH_NONE &&
			spread->step != CONFIG_FETCH_OBJECT &&
			answer->seq == spread->seq &&
			strcmp(host, spread->asked_host) == 0;

	if (!is_asked) {
		counters.peer_unmatched++;
		return;
	}
	if (spread->step == CONFIG_FETCH_HEAD)
		take_startup_head(spread, host, answer);
	else if (answer->busy || !answer->ready)
		config_fetch_note_failure(spread,
					  answer->busy ? "busy" : "not ready");
	else
		take_configuration(spread, answer);
	config_spread_publish_head(spread);
	config_fetch_next(spread);
}
