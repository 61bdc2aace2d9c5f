#include "comfreydockd/config/spread.h"

#include <string.h>

#include "comfreydockd/config/encodings.h"
#include "comfreydockd/config/rows.h"
#include "comfreydockd/config/spread_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

/* Random delay that keeps daemons that start together from reading in
 * lockstep. */
#define START_JITTER_US (200 * US_PER_MS)
/* Gossip tells many daemons of a head at once. Each waits for a random part of
 * this time before it asks a peer. */
#define HINT_JITTER_US (100 * US_PER_MS)

int64_t config_spread_random_time(struct config_spread *spread,
				  int64_t least_us, int64_t most_us)
{
	uint64_t span = (uint64_t)(most_us - least_us) + 1;

	return spread->now_us + least_us +
	       (int64_t)(random_below(&spread->random, span));
}

void config_spread_publish_head(struct config_spread *spread)
{
	uint64_t head = config_store_head(spread->store);

	/* Peers that hear of a head ask for it at once, and should then get it in
	 * its smallest form. */
	if (head == spread->published_head ||
	    encodings_are_pending(spread->encodings))
		return;
	spread->published_head = head;
	spread->ops->publish(head, spread->ops->data);
}

static bool is_elected_reader(const struct config_spread *spread)
{
	return member_table_count_before(spread->members, spread->host,
					 spread->domain, spread->domain,
					 CONFIG_SPREAD_READERS) <
	       CONFIG_SPREAD_READERS;
}

static void read_row(struct config_spread *spread, const char *key);

static bool is_newer_head(const struct config_spread *spread,
			  const struct config_head *row)
{
	return row->head > config_store_head(spread->store) ||
	       !config_store_is_ready(spread->store);
}

/* RETURN VALUE: false if the row lists only changes above a head that this
 * daemon has not reached. */
static bool note_head_row(struct config_spread *spread,
			  const struct config_head *row)
{
	if (!is_newer_head(spread, row))
		return true;
	if (row->above > 0 && (!config_store_is_ready(spread->store) ||
			       row->above > config_store_head(spread->store)))
		return false;
	config_store_note_listing(
		spread->store, row->head,
		(const struct config_version *)row->versions->data,
		row->versions->len);
	return true;
}

static bool handle_row_value(struct config_spread *spread, const char *value)
{
	struct config_head row;
	bool suffices = true;

	config_head_init(&row);
	if (config_head_parse(&row, value)) {
		suffices = note_head_row(spread, &row);
		config_store_note_confirmed(spread->store, row.head, 0);
	} else {
		log_event(EV_CONFIG_HEAD_UNREADABLE);
		spread->platform_failed = true;
	}
	config_head_finish(&row);
	return suffices;
}

static void handle_row(enum config_platform_status status, uint64_t row_version,
		       const char *value, size_t size, void *data)
{
	struct config_spread *spread = data;

	(void)row_version;
	counters.config_platform_bytes += size;
	spread->is_reading = false;
	spread->platform_tried = true;
	spread->platform_failed = status != CONFIG_PLATFORM_OK;
	if (!spread->platform_failed && !handle_row_value(spread, value)) {
		read_row(spread, CONFIG_HEAD_KEY);
		return;
	}
	config_spread_publish_head(spread);
	config_fetch_next(spread);
}

static void read_row(struct config_spread *spread, const char *key)
{
	spread->is_reading = true;
	spread->head_read_requested = false;
	counters.config_head_reads++;
	spread->platform_ops->get(spread->platform, key, handle_row, spread);
}

static void read_if_due(struct config_spread *spread)
{
	bool was_reader = spread->is_reader;
	bool is_due = spread->now_us >= spread->read_at_us;

	if (!spread->platform_ops || spread->is_reading)
		return;
	if (is_due) {
		spread->read_at_us = config_spread_random_time(
			spread, CONFIG_SPREAD_READ_US * 4 / 5,
			CONFIG_SPREAD_READ_US * 6 / 5);
		spread->is_reader = is_elected_reader(spread);
		if (spread->is_reader != was_reader)
			log_event(EV_CONFIG_READER,
				  LOG_INT("reads", spread->is_reader));
	}
	if (spread->head_read_requested ||
	    (is_due &&
	     (spread->is_reader || !config_store_is_ready(spread->store))))
		read_row(spread, CONFIG_RECENT_KEY);
}

static void handle_behind(uint64_t head, const char *from_host, void *data)
{
	struct config_spread *spread = data;
	int64_t soon;

	if (!from_host) {
		/* The apply ran through this daemon. */
		spread->head_read_requested = true;
		read_if_due(spread);
		return;
	}
	if (head < spread->hint_head)
		return;
	if (head > spread->hint_head) {
		soon = config_spread_random_time(spread, 0, HINT_JITTER_US);
		spread->fetch_at_us = MAX(spread->fetch_at_us, soon);
	}
	spread->hint_head = head;
	g_strlcpy(spread->hint_host, from_host, sizeof(spread->hint_host));
}

static void handle_encoded(void *data)
{
	config_spread_publish_head(data);
}

static void handle_changed(struct config_snapshot *snapshot, void *data)
{
	struct config_spread *spread = data;

	encodings_update(spread->encodings, snapshot);
}

void config_spread_tick(struct config_spread *spread, int64_t now_us)
{
	spread->now_us = now_us;
	if (!config_fetch_is_behind(spread))
		spread->began_us = 0;
	read_if_due(spread);
	config_fetch_check_timeout(spread);
	config_fetch_drop_adopted_pieces(spread);
	config_fetch_next(spread);
	config_spread_publish_head(spread);
}

bool config_spread_is_reader(const struct config_spread *spread)
{
	return spread->is_reader;
}

struct config_spread *
config_spread_create(const struct config_spread_options *options, int64_t now_us)
{
	struct config_spread *spread = g_new0(struct config_spread, 1);
	struct config_store_observer observer = {
		.handle_changed = handle_changed,
		.handle_behind = handle_behind,
		.data = spread,
	};

	spread->store = options->store;
	spread->members = options->members;
	spread->platform_ops = options->platform_ops;
	spread->platform = options->platform;
	spread->ops = options->ops;
	spread->slice_queue = options->slice_queue;
	spread->random.state = options->seed;
	spread->now_us = now_us;
	spread->platform_tried = !options->platform_ops;
	spread->platform_failed = !options->platform_ops;
	spread->answer_tokens = CONFIG_SPREAD_ANSWERS_PER_S;
	spread->answer_refilled_us = now_us;
	spread->read_at_us =
		config_spread_random_time(spread, 0, START_JITTER_US);
	g_strlcpy(spread->host, options->host, sizeof(spread->host));
	g_strlcpy(spread->domain, options->domain, sizeof(spread->domain));
	config_pieces_init(&spread->pieces);
	spread->encodings =
		encodings_create(options->slice_queue, handle_encoded, spread);
	config_store_observe(options->store, &observer);
	return spread;
}

void config_spread_destroy(struct config_spread *spread)
{
	if (!spread)
		return;
	g_free(spread->object_name);
	config_pieces_finish(&spread->pieces);
	encodings_destroy(spread->encodings);
	g_free(spread);
}
