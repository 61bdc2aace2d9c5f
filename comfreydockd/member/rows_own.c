#include <string.h>

#include "common/counters.h"
#include "common/log.h"
#include "rows_internal.h"

/* Reads, writes and deletes this host's own membership row in the platform's
 * table. One operation at a time is in flight. */

/* Marks the operation on the own row as finished and schedules the next check
 * in us, or at once if one was requested in the meantime. */
static void own_row_end_operation(struct rows *rows, int64_t us)
{
	rows->own_in_flight = false;
	if (rows->own_check_pending)
		us = 0;
	rows->own_check_pending = false;
	rows_timer_set(rows, &rows->own_timer, us);
}

static void own_row_finish_leave(struct rows *rows, bool is_deleted)
{
	void (*handle_leave_done)(bool, void *) = rows->handle_leave_done;

	rows->own_in_flight = false;
	rows->handle_leave_done = NULL;
	ev_timer_stop(rows->options.loop, &rows->own_timer);
	log_event(EV_ROW_LEFT, LOG_INT("deleted", is_deleted));
	handle_leave_done(is_deleted, rows->leave_done_data);
}

static void own_row_handle_failure(struct rows *rows, enum rows_status status)
{
	counters.rows_failed++;
	if (rows->is_leaving) {
		/* A stop waits only a few seconds (leave_ms) for the deletion,
		 * so the delay between tries is short and doesn't grow. */
		if (++rows->leave_tries == ROWS_LEAVE_TRIES)
			own_row_finish_leave(rows, false);
		else
			own_row_end_operation(rows, ROWS_BACKOFF_MIN_US / 2);
		return;
	}
	if (rows->own_backoff_us == 0)
		log_event(EV_ROW_FAILED, LOG_INT("status", status));
	own_row_end_operation(rows, rows_backoff(rows, &rows->own_backoff_us));
}

static void own_row_handle_put(struct rows *rows, enum rows_status status)
{
	if (status != ROWS_OK) {
		own_row_handle_failure(rows, status);
		return;
	}
	counters.rows_written++;
	log_event(EV_ROW_WRITTEN, LOG_STR("key", rows->own_key),
		  LOG_INT("incarnation", rows->own_row_incarnation));
	rows->own_backoff_us = 0;
	/* The first page of other hosts' rows is read only after the own row
	 * was written. Of two daemons that start at the same moment, at least
	 * one then finds the row of the other. */
	if (!rows->pages_started)
		rows_timer_set(rows, &rows->page_timer, 0);
	own_row_end_operation(
		rows,
		rows->is_leaving ?
			0 :
			ROWS_CHECK_INTERVAL_US / 2 +
				rows_random_us(rows, ROWS_CHECK_INTERVAL_US));
}

static void own_row_handle_deleted(struct rows *rows, enum rows_status status)
{
	if (status == ROWS_OK)
		own_row_finish_leave(rows, true);
	else
		own_row_handle_failure(rows, status);
}

/*
 * Decides whether this daemon may overwrite an own row with a higher
 * incarnation. The row may come from a later start on this host; then this
 * process was suspended in the meantime and must not overwrite it. Or it comes
 * from an earlier start while the host's clock was ahead, and must be replaced.
 *
 * The row alone doesn't tell the two cases apart. So the daemon leaves the row
 * alone once and remembers its version. If the row is unchanged at the next
 * check, it counts as one from an earlier start, even if a later start wrote it
 * and still runs. The daemon replaces it without that wait if gossip has already
 * raised the incarnation of this host's record above that of the row. To replace
 * the row, the daemon raises own_row_incarnation above the incarnation in it.
 *
 * RETURN VALUE
 *	true if this daemon must leave the row alone for now.
 */
static bool own_row_resolve_incarnation(struct rows *rows,
					const struct rows_row *row,
					uint64_t incarnation)
{
	if (incarnation <= rows->own_row_incarnation)
		return false;
	if (rows->options.self->incarnation > incarnation ||
	    rows->higher_incarnation_row_version == row->version) {
		rows->own_row_incarnation =
			MAX(rows->options.self->incarnation, incarnation + 1);
		return false;
	}
	rows->higher_incarnation_row_version = row->version;
	log_event(EV_ROW_YIELDED, LOG_INT("incarnation", incarnation));
	return true;
}

static void own_row_delete(struct rows *rows, const struct rows_row *row,
			   const struct member *written)
{
	if (!row || written->incarnation != rows->own_row_incarnation)
		own_row_finish_leave(rows, true);
	else
		rows_delete(rows, rows->own_key, row->version,
			    own_row_handle_deleted);
}

static void own_row_write_if_changed(struct rows *rows, const struct rows_row *row)
{
	char *text = rows_encode(rows->options.self, rows->own_row_incarnation,
				 rows->options.quarantine);

	if (!row || row->size != strlen(text) ||
	    memcmp(row->value, text, row->size) != 0) {
		rows_put(rows, text, row ? row->version : 0, own_row_handle_put);
	} else {
		rows->own_backoff_us = 0;
		own_row_end_operation(
			rows,
			ROWS_CHECK_INTERVAL_US / 2 +
				rows_random_us(rows, ROWS_CHECK_INTERVAL_US));
	}
	g_free(text);
}

/* Takes over the quarantine records from the own row after its first read. They
 * are those that this host held before it restarted, for example after a power
 * loss. */
static void own_row_restore_quarantine(struct rows *rows,
				       const struct rows_row *row)
{
	if (!rows->own_was_read && row)
		rows_quarantine_merge(rows, row);
	rows->own_was_read = true;
}

static void own_row_handle_read(struct rows *rows, enum rows_status status,
				const struct rows_row *found, size_t count)
{
	const struct rows_row *row = NULL;
	struct member written = {0};

	if (status != ROWS_OK) {
		own_row_handle_failure(rows, status);
		return;
	}
	if (count > 0 && strcmp(found[0].key, rows->own_key) == 0)
		row = &found[0];
	if (row)
		rows_decode(row->value, row->size, &written);
	own_row_restore_quarantine(rows, row);
	if (rows->is_leaving)
		own_row_delete(rows, row, &written);
	else if (row &&
		 own_row_resolve_incarnation(rows, row, written.incarnation))
		own_row_end_operation(rows, ROWS_CHECK_INTERVAL_US);
	else
		own_row_write_if_changed(rows, row);
}

static void own_row_check_after(struct rows *rows, int64_t us)
{
	if (rows->is_leaving)
		return;
	if (rows->own_in_flight)
		rows->own_check_pending = true;
	else
		rows_timer_set(rows, &rows->own_timer, us);
}

void rows_note_store_restored(struct rows *rows)
{
	own_row_check_after(rows,
			    rows_random_us(rows, ROWS_RESTORED_CHECK_MAX_US));
}

void rows_note_quarantine(struct rows *rows,
			  const struct quarantine_record *record,
			  enum quarantine_change change)
{
	/* True also for a record that was cleared: it was held before, and must
	 * be removed from the row. */
	bool was_held = record->crash_count == QUARANTINE_CRASHES;

	/* The own row lists only records with a crash on this host. */
	if (!was_held || change == QUARANTINE_FORGOTTEN ||
	    !quarantine_record_names(record,
				     member_host_hash(rows->options.self->host)))
		return;
	own_row_check_after(rows, ROWS_QUARANTINE_DELAY_US);
}

void rows_own_check(struct rows *rows)
{
	char *end;

	if (rows->own_in_flight) {
		rows->own_check_pending = true;
		return;
	}
	rows->own_in_flight = true;
	/* Host ids have no character below '!', so no other key sorts between
	 * the two keys. */
	end = g_strconcat(rows->own_key, "!", NULL);
	rows_get(rows, rows->own_key, end, 1, own_row_handle_read);
	g_free(end);
}
