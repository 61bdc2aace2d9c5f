/*
 * NAME
 *	report - what an upstream says of itself again and again
 *
 * DESCRIPTION
 *	An upstream that announces itself by heartbeats tells with each of them
 *	which start of which instance it is. A heartbeat can arrive seconds
 *	late, after a newer one, after its sender has left, or after another
 *	start took the address. Taken at its word, it would bring back an
 *	upstream that drains or is gone: its callers would be cut off, or their
 *	requests reach a stranger. One would notice work on an upstream that
 *	was told it may go.
 *
 *	So reports are ordered by the time of the start, then by their number;
 *	whoever has left stays away until a later start. Upstreams that don't
 *	tell their start have a new id with each: an id that another one has
 *	followed is over.
 *
 *	What could hold of the upstream, but for the order, is decided by
 *	report_classify(), which is pure.
 */
#ifndef COMFREYDOCKD_UPSTREAM_REPORT_H
#define COMFREYDOCKD_UPSTREAM_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"

struct owner;

#define REPORT_INSTANCE_MAX 200 /* bytes, with the 0 */
/* More starts than there are within the seconds that a report may be late. */
#define REPORT_PAST_MAX 8

struct report {
	const char *instance;
	const char *group; /* the service that it runs */
	char address[ADDRESS_TEXT_SIZE]; /* IP number */
	uint16_t port;
	uint32_t slots;
	uint32_t warm_ms; /* for which it is still slow after its start */
	bool drains;
	uint64_t sequence; /* grows with each report of one start */
	int64_t born_ms; /* start, Unix time; 0: not told */
};

/* The upstream's start that counts now; all zero before the first report. */
struct report_history {
	char instance[REPORT_INSTANCE_MAX];
	int64_t born_ms;
	uint64_t sequence;
	bool has_left;
	/* Ids that others have followed, the latest ones. */
	char past[REPORT_PAST_MAX][REPORT_INSTANCE_MAX];
	unsigned int past_count; /* ever */
};

enum report_verdict {
	REPORT_NEWS, /* of the start that counts */
	REPORT_NEW_START, /* another start counts from now on */
	REPORT_LATE, /* older than what is known; nothing follows */
	REPORT_GONE, /* of one that has left; nothing follows */
	REPORT_FOREIGN, /* of an upstream that isn't beside this daemon */
};

/* Notes the report as the last one where it is news. */
enum report_verdict report_classify(struct report_history *history,
				    const struct report *report);

/* RETURN VALUE: false if it isn't the start that counts that leaves. */
bool report_note_leave(struct report_history *history, const char *instance);

const char *report_verdict_name(enum report_verdict verdict);

/*
 * A daemon that has just started has forgotten who said good-bye to the one
 * before it, and the last report of one that left may still come. Believed, it
 * would send work to an upstream that was told it may end. So a start is
 * confirmed first: by the health path, where the same instance must say that
 * it serves; or, as health may mislead, by reports that go on, which those of
 * one that has left do not.
 */
#define REPORT_CONFIRMING 3 /* reports of one start */
#define REPORT_CHECK_TIMEOUT_MS 200 /* a health answer on the same host */
#define REPORT_CHECK_RETRY_S 0.25 /* a start takes longer than that */

struct http_pending;

/* All zero where there is none. */
struct report_check {
	bool is_open; /* a start waits to be confirmed */
	unsigned int reports; /* of this start */
	unsigned int asked; /* in vain */
	struct http_pending *pending;
	char *group; /* and the rest, as last reported */
	char *address;
	uint16_t port;
	uint32_t slots;
	uint32_t warm_ms;
};

void report_check_finish(struct report_check *check);

/* Sets up the owner's timer for it. */
void report_check_init(struct owner *owner);

/* Asks now, as where the health path has just become known. */
void report_check_retry(struct owner *owner);

/* The owner's side: takes a report or a good-bye, and acts on it. */
enum report_verdict owner_handle_report(struct owner *owner,
					const struct report *report);
bool owner_handle_leave(struct owner *owner, const char *instance);

#endif
