#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "rows_internal.h"

#define PAGE_END "hosts0" /* the first key after the prefix */
#define PAGE_INTERVAL_US US_PER_S /* between pages while there are no peers */
#define PAGE_JOINS_MAX 16 /* hosts joined per page */
#define PAGE_DELETES_MAX 4 /* stale rows deleted per page */

static bool has_peers(struct rows *rows)
{
	struct member *member;

	TAILQ_FOREACH (member, member_table_all(rows->options.table), link) {
		if (member != rows->options.self &&
		    member->state <= MEMBER_SUSPECT)
			return true;
	}
	return false;
}

/* Returns a key directly after the given one. Host ids have no character below
 * '!', so no other key sorts between the two. */
static char *key_after(const char *key)
{
	return g_strconcat(key, "!", NULL);
}

static char *random_member_key(struct rows *rows)
{
	size_t skip = (size_t)g_rand_double_range(
		rows->rand, 0, (double)member_table_size(rows->options.table));
	struct member *member =
		TAILQ_FIRST(member_table_all(rows->options.table));

	while (skip-- > 0 && TAILQ_NEXT(member, link))
		member = TAILQ_NEXT(member, link);
	return g_strconcat(ROWS_PREFIX, member->host, NULL);
}

static void page_handle_deleted(struct rows *rows G_GNUC_UNUSED,
				enum rows_status status)
{
	/* A conflict is no failure: the host has written its row again, or
	 * another daemon has deleted it. */
	if (status == ROWS_OK)
		counters.rows_stale_deleted++;
}

static void delete_stale(struct rows *rows, const char *key, uint64_t version)
{
	log_event(EV_ROW_STALE, LOG_STR("key", key));
	rows_delete(rows, key, version, page_handle_deleted);
}

static bool row_is_stale(const struct member *known, const struct member *written)
{
	return known->state >= MEMBER_DEAD &&
	       written->incarnation <= known->incarnation &&
	       clock_mono_us() - known->state_since_us > ROWS_STALE_US;
}

static void unknown_row_clear(struct rows *rows)
{
	g_free(rows->unknown_row_key);
	rows->unknown_row_key = NULL;
}

static void unknown_row_watch(struct rows *rows, const struct rows_row *row)
{
	if (rows->unknown_row_key)
		return;
	rows->unknown_row_key = g_strdup(row->key);
	rows->unknown_row_version = row->version;
	rows->unknown_since_us = clock_mono_us();
}

static void unknown_row_handle_read(struct rows *rows, enum rows_status status,
				    const struct rows_row *found, size_t count)
{
	const char *host;

	if (status != ROWS_OK || !rows->unknown_row_key)
		return;
	host = rows->unknown_row_key + strlen(ROWS_PREFIX);
	if (count == 0 || found[0].version != rows->unknown_row_version ||
	    strcmp(found[0].key, rows->unknown_row_key) != 0 ||
	    member_table_find(rows->options.table, host)) {
		unknown_row_clear(rows);
	} else if (clock_mono_us() - rows->unknown_since_us > ROWS_STALE_US &&
		   has_peers(rows)) {
		delete_stale(rows, rows->unknown_row_key,
			     rows->unknown_row_version);
		unknown_row_clear(rows);
	}
}

/*
 * Watches one row at a time whose host the member table doesn't know. Each
 * daemon that reads such a row tries to join its host. If the host still stays
 * unknown for ROWS_STALE_US, it has died and no daemon that knew it is left, so
 * the row is deleted.
 */
static void unknown_row_check(struct rows *rows)
{
	char *end;

	if (!rows->unknown_row_key)
		return;
	end = key_after(rows->unknown_row_key);
	rows_get(rows, rows->unknown_row_key, end, 1, unknown_row_handle_read);
	g_free(end);
}

/* Limits the work done for one page; counts down. */
struct page_limits {
	unsigned int peers;
	unsigned int deletes;
	bool has_no_peers; /* so only rows hold the peers' quarantine */
};

static void page_process_row(struct rows *rows, const struct rows_row *row,
			     struct page_limits *remaining)
{
	struct member *known;
	struct member written;

	if (!rows_decode(row->value, row->size, &written) ||
	    strcmp(row->key + strlen(ROWS_PREFIX), written.host) != 0) {
		counters.rows_malformed++;
		return;
	}
	if (remaining->has_no_peers)
		rows_quarantine_merge(rows, row);
	known = member_table_find(rows->options.table, written.host);
	if (!known && remaining->peers > 0) {
		remaining->peers--;
		unknown_row_watch(rows, row);
		rows->options.handle_peer(written.address, written.peer_port,
					  rows->options.data);
	} else if (known && remaining->deletes > 0 &&
		   row_is_stale(known, &written)) {
		remaining->deletes--;
		delete_stale(rows, row->key, row->version);
	}
}

static int64_t page_interval_us(struct rows *rows)
{
	if (!has_peers(rows))
		return PAGE_INTERVAL_US + rows_random_us(rows, PAGE_INTERVAL_US);
	return ROWS_CHECK_INTERVAL_US / 2 +
	       rows_random_us(rows, ROWS_CHECK_INTERVAL_US);
}

static void page_handle_read(struct rows *rows, enum rows_status status,
			     const struct rows_row *found, size_t count)
{
	struct page_limits remaining = {.peers = PAGE_JOINS_MAX,
					.deletes = PAGE_DELETES_MAX};
	size_t first = count > 0 ? (size_t)g_rand_int(rows->rand) % count : 0;

	if (rows->is_leaving)
		return;
	if (status != ROWS_OK) {
		counters.rows_failed++;
		rows_timer_set(rows, &rows->page_timer,
			       rows_backoff(rows, &rows->page_backoff_us));
		return;
	}
	rows->page_backoff_us = 0;
	remaining.has_no_peers = !has_peers(rows);
	for (size_t i = 0; i < count; i++)
		page_process_row(rows, &found[(first + i) % count], &remaining);
	g_free(rows->page_start_key);
	rows->page_start_key = count == ROWS_PAGE ?
				       key_after(found[count - 1].key) :
				       g_strdup(ROWS_PREFIX);
	rows_timer_set(rows, &rows->page_timer, page_interval_us(rows));
}

/* While this host has no peers, pages are read in order. Once it has peers,
 * gossip finds the other hosts, and a page from a random point only finds stale
 * rows and hosts that gossip doesn't reach. */
void rows_page_read(struct rows *rows)
{
	if (has_peers(rows)) {
		g_free(rows->page_start_key);
		rows->page_start_key = random_member_key(rows);
		unknown_row_check(rows);
	}
	rows_get(rows, rows->page_start_key, PAGE_END, ROWS_PAGE,
		 page_handle_read);
}

/*
 * A host that found its peers through the settings needs no page at once. When
 * a failure domain of some 1,700 hosts returns, all of them would read a page
 * within the same half second, which is most of the read capacity that the
 * platform has for all its clients.
 */
void rows_page_start(struct rows *rows)
{
	rows->pages_started = true;
	if (has_peers(rows))
		rows_timer_set(rows, &rows->page_timer, page_interval_us(rows));
	else
		rows_page_read(rows);
}
