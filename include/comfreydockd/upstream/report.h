/*
 * NAME
 *	report - orders the heartbeats in which an upstream reports itself
 *
 * DESCRIPTION
 *	A report is one heartbeat, which the upstream sends to this daemon by
 *	HTTP; see platform/control.h. A start is one lifetime of the upstream's
 *	process. Each report identifies the upstream's instance and its start. A
 *	report can arrive seconds late: after a newer one, after its sender has
 *	left, or after another start took over the address. If the owner acted
 *	on it, it would send work to an upstream that drains or is gone: running
 *	calls would be cut off, or requests would reach another instance. It
 *	would show as requests on an upstream that was told it may stop.
 *
 *	Reports are therefore ordered by the time of the start, then by their
 *	sequence number. An instance that has left is ignored until a later
 *	start. Upstreams that don't report a start time have a new instance id
 *	with each start: an id that was replaced by another is outdated.
 *
 *	The time of a start comes from a clock that may be set back, so the
 *	current start can seem to be an earlier one. It shows in that it goes on
 *	reporting, while the start that is taken for the current one is silent:
 *	late reports are few, and come beside those of the current start.
 *
 *	report_classify() decides whether a report applies. It depends on the
 *	history, the report and the time alone, and changes only the history.
 */
#ifndef COMFREYDOCKD_UPSTREAM_REPORT_H
#define COMFREYDOCKD_UPSTREAM_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"

struct owner;

#define REPORT_INSTANCE_MAX 200 /* bytes, with the 0 */
/* More starts than can happen in the seconds by which a report may be late. */
#define REPORT_PAST_MAX 8

struct report {
	const char *instance;
	const char *group; /* the service that the upstream runs */
	char address[ADDRESS_TEXT_SIZE]; /* IP number */
	uint16_t port;
	uint32_t slots;
	uint32_t warm_ms; /* how long it is slow after its start */
	bool is_draining; /* the upstream asks for no new requests */
	uint64_t sequence; /* grows with each report of one start */
	int64_t born_ms; /* time of the start, Unix time; 0: not reported */
};

/* A start that is taken for an earlier one becomes the current one with this many
 * reports in such a time, if the current one sends none between them. */
#define REPORT_TAKEOVER_COUNT 3
#define REPORT_TAKEOVER_US INT64_C(3000000)

/* The start taken for an earlier one that reported last; reports is 0 if the current
 * one has reported since. */
struct report_challenger {
	char instance[REPORT_INSTANCE_MAX];
	int64_t born_ms;
	uint64_t sequence;
	unsigned int reports;
	int64_t since_us; /* the first of them */
};

/* The upstream's current start; all zero before the first report. */
struct report_history {
	char instance[REPORT_INSTANCE_MAX];
	int64_t born_ms;
	uint64_t sequence;
	bool has_left;
	/* The most recent instance ids that were replaced, as a ring. */
	char past[REPORT_PAST_MAX][REPORT_INSTANCE_MAX];
	unsigned int past_count; /* all that were ever replaced */
	struct report_challenger challenger;
};

enum report_verdict {
	REPORT_NEWS, /* from the current start, and newer than the last one */
	REPORT_NEW_START, /* from a later start, which is now the current one */
	REPORT_LATE, /* older than what is known; ignored */
	/* A start that is taken for an earlier one asks to drain; ignored. If it
	 * is the current one, it asks again as it gets no acknowledgement. */
	REPORT_UNCERTAIN,
	REPORT_GONE, /* from an instance that has left; ignored */
	/* From an upstream of another daemon, or of a service that is neither
	 * configured nor in the settings; ignored. */
	REPORT_FOREIGN,
};

/* Classifies a report, and records it in the history unless it is ignored. */
enum report_verdict report_classify(struct report_history *history,
				    const struct report *report, int64_t now_us);

/* RETURN VALUE: false if the instance isn't the current one. */
bool report_note_leave(struct report_history *history, const char *instance);

const char *report_verdict_name(enum report_verdict verdict);

/*
 * Confirmation of a start. A daemon that was restarted doesn't know which
 * instances deregistered from its predecessor, and a last report of such an
 * instance may still arrive. If the owner acted on it, it would send work to an
 * upstream that was told it may stop. A start is therefore confirmed first:
 * either by the health path, where the same instance must answer that it
 * serves; or, as a health answer may mislead, by further reports, which an
 * instance that has left doesn't send.
 */
#define REPORT_FIRST_SEQUENCE 1 /* of each start */
#define REPORT_CONFIRM_COUNT 3 /* this many reports confirm their start */
#define REPORT_CHECK_TIMEOUT_MS 200 /* a health answer on the same host */
#define REPORT_CHECK_RETRY_S 0.25 /* shorter than an upstream's start */

struct health_call;

/* The confirmation of the current start, and the upstream as last reported. */
struct report_check {
	bool is_unconfirmed; /* the current start is not confirmed yet */
	bool saw_first_report; /* of the current start */
	unsigned int reports; /* received from this start */
	unsigned int failed_checks; /* unsuccessful health requests */
	struct health_call *pending;
	char *group; /* this and the fields below: as last reported */
	char *address;
	uint16_t port;
	uint32_t slots;
	uint32_t warm_ms;
};

/* Cancels a pending health request and clears the check, for a new start or for
 * the owner's teardown. */
void report_check_reset(struct report_check *check);

/* Sets up the owner's timer for the retries. */
void report_check_init(struct owner *owner);

/* Requests the health path now, for example as it has just become known. */
void report_check_retry(struct owner *owner);

/* Act on a report or a deregistration of the owner's upstream. */
enum report_verdict owner_handle_report(struct owner *owner,
					const struct report *report);
bool owner_handle_leave(struct owner *owner, const char *instance);

/* An answer of this instance says that it leaves; NULL: it has no id. by names
 * the kind of answer, for the log. Reports can't take this back. */
void owner_note_leaving(struct owner *owner, const char *instance,
			const char *by);

#endif
