/*
 * NAME
 *	rows - one row a host in the platform's table
 *
 * DESCRIPTION
 *	The row tells daemons that start whom to join; whether a host is alive
 *	is not kept there. Key "hosts/HOST", value a JSON object of host,
 *	incarnation, address, peer_port, admin_port, domain and region, none of
 *	which changes while a daemon runs; and the requests that the quarantine
 *	holds after a crash here, ROWS_QUARANTINED_MAX at most.
 *
 *	The quarantine is told by peers. Where all hosts of an installation
 *	lost their power at once, nobody is left to tell: then each host that
 *	saw a crash finds in its own row what was held. A daemon that has no
 *	peers, as one that is cut off from them, takes it from theirs.
 *
 *	The own row is read, and written if it is missing or differs, at a
 *	random moment after the start and then at a low rate. A lost answer is
 *	resolved by reading again. While the store is out, tries grow rarer up
 *	to ROWS_BACKOFF_MAX_US, and nothing else waits for them. Other rows are
 *	read page by page until this host has peers, then one page at a time
 *	from a random point. Rows of hosts that have been dead for long, or
 *	that nobody has met for long, are deleted on the condition that they
 *	did not change: two daemons that do so at once do no harm.
 *
 *	Worked out for 22,000 hosts: own rows and pages make 73 reads a second
 *	in all, and watched rows up to 37 more; a long outage sees 147 tries a
 *	second. A start of all at once makes 367 writes a second for a minute.
 */
#ifndef COMFREYDOCKD_MEMBER_ROWS_H
#define COMFREYDOCKD_MEMBER_ROWS_H

#include <ev.h>

#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/member/member.h"

#define ROWS_TABLE "hosts"
#define ROWS_PREFIX ROWS_TABLE "/"
#define ROWS_PAGE 50
/* Before the first write: whoever starts at the same moment reads after it. A
 * start of 22,000 at once is refused for the most part and comes back later. */
#define ROWS_START_JITTER_US ((int64_t)100 * 1000)
#define ROWS_CHECK_INTERVAL_US ((int64_t)600 * 1000 * 1000)
#define ROWS_BACKOFF_MIN_US ((int64_t)1000 * 1000)
#define ROWS_BACKOFF_MAX_US ((int64_t)300 * 1000 * 1000)
#define ROWS_STALE_US ((int64_t)6 * 3600 * 1000 * 1000) /* then deleted */
#define ROWS_LEAVE_TRIES 4
/* Where the store was set back all own rows are read within so long. */
#define ROWS_RESTORED_CHECK_MAX_US ((int64_t)60 * 1000 * 1000)
#define ROWS_QUARANTINED_MAX 8
/* A change of the quarantine is written with those that come just after it. */
#define ROWS_QUARANTINE_DELAY_US ((int64_t)200 * 1000)

enum rows_status {
	ROWS_OK,
	ROWS_CONFLICT, /* the row is not at the version given */
	ROWS_UNAVAILABLE, /* nothing was done */
	ROWS_UNKNOWN, /* the answer was lost: it may have been done */
};

struct rows_row {
	const char *key;
	const char *value;
	size_t size;
	uint64_t version; /* never 0 */
};

typedef void (*rows_range_handler)(enum rows_status status,
				   const struct rows_row *rows, size_t count,
				   void *data);
typedef void (*rows_done_handler)(enum rows_status status, void *data);

/* The store answers each call once, at once or later. */
struct rows_store_ops {
	/* Rows from first on, before end, in order of their keys. */
	void (*get_range)(void *store, const char *first, const char *end,
			  unsigned int limit, rows_range_handler handler,
			  void *data);
	/* Writes if the row has that version; 0: if there is none. */
	void (*put_if)(void *store, const char *key, const char *value,
		       uint64_t version, rows_done_handler handler, void *data);
	void (*delete_if)(void *store, const char *key, uint64_t version,
			  rows_done_handler handler, void *data);
};

struct rows_options {
	struct ev_loop *loop;
	const struct rows_store_ops *ops;
	void *store;
	struct member_table *table;
	const struct member *self; /* the table's record of this host */
	struct quarantine *quarantine; /* NULL: none is kept */
	uint64_t seed;
	/* A row of a host that the table doesn't know. */
	void (*handle_peer)(const char *address, uint16_t port, void *data);
	void *data;
};

struct rows;

/* Copies the options; what they point to must outlive it. */
struct rows *rows_create(const struct rows_options *options);

/* Answers that come later are dropped. */
void rows_destroy(struct rows *rows);

/* The store was set back to a copy, which may lack the own row. */
void rows_note_restored(struct rows *rows);

/* A record of the quarantine has changed. */
void rows_note_quarantine(struct rows *rows,
			  const struct quarantine_record *record,
			  enum quarantine_change change);

/* Deletes the own row, if it still is this daemon's. handle_left is called
 * once; is_deleted is false where the store stayed out. */
void rows_leave(struct rows *rows,
		void (*handle_left)(bool is_deleted, void *data), void *data);

/* The row's value; the caller frees it with g_free(). quarantine may be NULL. */
char *rows_encode(const struct member *member, uint64_t incarnation,
		  const struct quarantine *quarantine);

/*
 * Takes host, incarnation, address and peer_port from a row's value.
 *
 * RETURN VALUE
 *	false if they are missing or out of bounds.
 */
bool rows_decode(const char *value, size_t size, struct member *member);

/*
 * Takes the quarantine's records from a row's value, as changed now. What can't be
 * read is left out.
 *
 * RETURN VALUE
 *	The number of records taken.
 */
unsigned int rows_decode_quarantine(const char *value, size_t size,
				    struct quarantine *quarantine,
				    int64_t now_us);

#endif
