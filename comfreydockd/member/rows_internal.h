/*
 * NAME
 *	rows_internal - types and functions shared by the rows_*.c files
 */
#ifndef COMFREYDOCKD_MEMBER_ROWS_INTERNAL_H
#define COMFREYDOCKD_MEMBER_ROWS_INTERNAL_H

#include <json-c/json.h>

#include "comfreydockd/member/rows.h"

/* A call that the store has not answered yet. */
struct rows_call {
	LIST_ENTRY(rows_call) link;
	struct rows *rows; /* NULL if destroyed in the meantime */
	void (*handle_rows)(struct rows *rows, enum rows_status status,
			    const struct rows_row *found, size_t count);
	void (*handle_done)(struct rows *rows, enum rows_status status);
};

LIST_HEAD(rows_call_list, rows_call);

struct rows {
	struct rows_options options;
	struct rows_call_list calls;
	GRand *rand;
	/* This host's own row. */
	ev_timer own_timer;
	bool own_in_flight;
	bool own_was_read;
	bool own_check_pending; /* a check was requested during another */
	char *own_key;
	/* The incarnation to write to the row. It starts as that of self and is
	 * raised only to replace a row with a higher one; that of self also
	 * grows with each refutation and announcement. */
	uint64_t own_row_incarnation;
	/* Version of the own row when it last held a higher incarnation than
	 * own_row_incarnation. */
	uint64_t higher_incarnation_row_version;
	int64_t own_backoff_us;
	/* Other hosts' rows, read in pages of up to ROWS_PAGE rows. */
	ev_timer page_timer;
	bool pages_started;
	char *page_start_key;
	int64_t page_backoff_us;
	/* The watched row of a host that the member table doesn't know. */
	char *unknown_row_key;
	uint64_t unknown_row_version;
	int64_t unknown_since_us;
	bool is_leaving;
	void (*handle_leave_done)(bool is_deleted, void *data);
	void *leave_done_data;
	unsigned int leave_tries;
};

/* rows.c */
int64_t rows_random_us(struct rows *rows, int64_t below_us);
void rows_timer_set(struct rows *rows, ev_timer *timer, int64_t us);
/*
 * Doubles *backoff_us within ROWS_BACKOFF_MIN_US and ROWS_BACKOFF_MAX_US.
 *
 * RETURN VALUE
 *	A random delay between half and one and a half times the new backoff.
 */
int64_t rows_backoff(struct rows *rows, int64_t *backoff_us);
void rows_get(struct rows *rows, const char *first, const char *end,
	      unsigned int limit,
	      void (*handle_rows)(struct rows *rows, enum rows_status status,
				  const struct rows_row *found, size_t count));
void rows_put(struct rows *rows, const char *value, uint64_t version,
	      void (*handle_done)(struct rows *rows, enum rows_status status));
void rows_delete(struct rows *rows, const char *key, uint64_t version,
		 void (*handle_done)(struct rows *rows, enum rows_status status));

/* rows_own.c */
void rows_own_check(struct rows *rows);

/* rows_quarantine.c */

/* Adds the records held after a crash on that host to the row's JSON object.
 * Adds nothing if there are none. */
void rows_quarantine_add(struct json_object *row,
			 const struct quarantine *quarantine, const char *host);

/* Merges the records of a row into the quarantine. The row is that of an
 * earlier start of this host, or of another host. */
void rows_quarantine_merge(struct rows *rows, const struct rows_row *row);

/* rows_page.c */

/* Reads the first page at once if this host has no peers; otherwise only
 * schedules one. */
void rows_page_start(struct rows *rows);
void rows_page_read(struct rows *rows);

#endif
