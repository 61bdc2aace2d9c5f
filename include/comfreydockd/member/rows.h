/*
 * NAME
 *	rows - membership rows, one per host, in the platform's table
 *
 * DESCRIPTION
 *	A daemon that starts finds peers to join in the rows. A row doesn't say
 *	whether its host is alive. Its key is "hosts/HOST" and its value a JSON
 *	object. The fields host, incarnation, address, peer_port, admin_port,
 *	domain and region don't change while the daemon runs. The field
 *	quarantine lists the requests that the quarantine holds after a crash
 *	on this host, ROWS_QUARANTINED_MAX at most.
 *
 *	A daemon normally learns the quarantine's records from its peers. After
 *	a power loss of all hosts of an installation no peer has them any more;
 *	then each host that saw a crash restores the held requests from its own
 *	row. A daemon without peers, for example one cut off by the network,
 *	takes the records from the rows of other hosts.
 *
 *	The daemon reads its own row at a random moment after the start and
 *	then at a low rate, and writes it if it is missing or differs. After a
 *	lost answer it reads the row again. While the store is unavailable, the
 *	time between attempts grows up to ROWS_BACKOFF_MAX_US, and nothing else
 *	waits for them. The daemon reads other rows page by page until it has
 *	peers, then one page at a time from a random point. It deletes the rows
 *	of hosts that have been dead or unknown for ROWS_STALE_US. A deletion
 *	requires that the row did not change, so two daemons that delete the
 *	same row do no harm.
 *
 *	Calculated load for 22,000 hosts: 73 reads per second for own rows and
 *	pages, and up to 37 more for watched rows; 147 attempts per second in a
 *	long outage; 367 writes per second for a minute if all hosts start at
 *	once.
 */
#ifndef COMFREYDOCKD_MEMBER_ROWS_H
#define COMFREYDOCKD_MEMBER_ROWS_H

#include <ev.h>

#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/member/member.h"

#define ROWS_TABLE "hosts"
#define ROWS_PREFIX ROWS_TABLE "/"
#define ROWS_PAGE 50 /* rows */
/* Longest delay before the first write. It is short, so that daemons that start
 * at the same moment read after this write. If 22,000 daemons start at once,
 * the platform refuses most of the calls, and the daemons retry later. */
#define ROWS_START_JITTER_US ((int64_t)100 * 1000)
#define ROWS_CHECK_INTERVAL_US ((int64_t)600 * 1000 * 1000)
#define ROWS_BACKOFF_MIN_US ((int64_t)1000 * 1000)
#define ROWS_BACKOFF_MAX_US ((int64_t)300 * 1000 * 1000)
/* Rows of hosts that were dead or unknown for this time are deleted. */
#define ROWS_STALE_US ((int64_t)6 * 3600 * 1000 * 1000)
#define ROWS_LEAVE_TRIES 4
/* After the store was restored from a copy, each daemon checks its own row
 * within this time. */
#define ROWS_RESTORED_CHECK_MAX_US ((int64_t)60 * 1000 * 1000)
#define ROWS_QUARANTINED_MAX 8
/* Delay before a change of the quarantine is written, so that one write covers
 * the changes that follow shortly after. */
#define ROWS_QUARANTINE_DELAY_US ((int64_t)200 * 1000)

enum rows_status {
	ROWS_OK,
	ROWS_CONFLICT, /* the row doesn't have the given version */
	ROWS_UNAVAILABLE, /* the call took no effect */
	ROWS_UNKNOWN, /* the answer was lost; the call may have taken effect */
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

/* The store calls the handler exactly once per call, either before the call
 * returns or later. */
struct rows_store_ops {
	/* Reads up to limit rows with keys from first to before end, in the
	 * order of their keys. */
	void (*get_range)(void *store, const char *first, const char *end,
			  unsigned int limit, rows_range_handler handler,
			  void *data);
	/* Writes the row if it has this version; with version 0, if it doesn't
	 * exist. */
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
	struct quarantine *quarantine; /* NULL: rows have no quarantine */
	uint64_t seed;
	/* Called with the address in a row whose host the table doesn't know. */
	void (*handle_peer)(const char *address, uint16_t port, void *data);
	void *data;
};

struct rows;

/* Copies the options; what they point to must outlive the rows object. */
struct rows *rows_create(const struct rows_options *options);

/* Answers that arrive later are ignored. */
void rows_destroy(struct rows *rows);

/* To be called after the store was restored from a copy, which may lack this
 * host's row. */
void rows_note_store_restored(struct rows *rows);

/* To be called when a record of the quarantine has changed. */
void rows_note_quarantine(struct rows *rows,
			  const struct quarantine_record *record,
			  enum quarantine_change change);

/* Deletes this host's row, unless another daemon has taken it over.
 * handle_leave_done is called once; is_deleted is false if the store stayed
 * unavailable. */
void rows_leave(struct rows *rows,
		void (*handle_leave_done)(bool is_deleted, void *data),
		void *data);

/* RETURN VALUE: the value of the row, to be freed with g_free().
 * quarantine may be NULL. */
char *rows_encode(const struct member *member, uint64_t incarnation,
		  const struct quarantine *quarantine);

/*
 * Reads host, incarnation, address and peer_port from the value of a row.
 *
 * RETURN VALUE
 *	false if they are missing or out of bounds.
 */
bool rows_decode(const char *value, size_t size, struct member *member);

/*
 * Merges the records in the value of a row into the quarantine, with now_us as
 * the time of their change. Records that can't be read are skipped.
 *
 * RETURN VALUE
 *	The number of records merged.
 */
unsigned int rows_decode_quarantine(const char *value, size_t size,
				    struct quarantine *quarantine,
				    int64_t now_us);

#endif
