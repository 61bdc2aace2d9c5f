/*
 * NAME
 *	stay - keep requests in the entry's failure domain while that is in time
 *
 * DESCRIPTION
 *	stay_choose() chooses the candidate for an attempt as pick_choose()
 *	does. Where that would leave the failure domain although a local
 *	candidate is expected to answer within STAY_SHARE of the time left to
 *	the request's target, the attempt goes to this local candidate instead
 *	and may queue there. All other requests go as pick chose.
 *
 *	A request waits only where the estimate is reliable: on a report that is
 *	at most STAY_REPORT_US old, for at most one service time, not behind
 *	another waiting attempt of this entry, and not behind a queue while
 *	another domain seems to have a free slot. Hosts become slow after their
 *	last report, and several entries fill the same queue at once.
 *
 *	The expected wait is the larger one of two: the wait that the owner
 *	reported, which loses weight with its age, and the wait for the work
 *	that pick estimates at the upstream, which includes this entry's
 *	outstanding attempts. Both are multiplied by the pace of the host. The
 *	owner's queue puts urgent classes first, but its report has a single
 *	wait, so that the wait of a class is derived from the classes of the
 *	entry's recent calls.
 *
 *	All entries of a domain see the same late reports. Where several local
 *	candidates are in time, each entry takes the best of a few random ones.
 *
 *	An owner in another domain that refused an attempt as busy is skipped
 *	for calls of the same class until it reports a free slot, for at most
 *	STAY_REFUSAL_US, while another one has reported a free slot. It is
 *	chosen nevertheless if there is no other, and may then queue the attempt.
 *
 * LOAD PATTERN
 *	Demand that moves between failure domains within seconds, and upstreams
 *	that are spread unevenly over them.
 *
 * WITHOUT IT
 *	Attempts leave as soon as the local upstreams are full, although a slot
 *	becomes free within a fraction of the time that the request has. Half of
 *	those that leave are refused by the other domain, which is full too.
 *	Traffic between domains has a price.
 *
 * GROUNDS
 *	docs/design/staying.md. tests/traces/uneven-domains replays demand at 1.5
 *	times the servers of one domain, tests/traces/uneven-slow a slow host.
 *
 * SOURCE
 *	Cobham, "Priority Assignment in Waiting Line Problems", Operations
 *	Research 1954, for the wait of a class.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_STAY_H
#define COMFREYDOCKD_DECIDE_STAY_H

#include "comfreydockd/decide/pick.h"

/* Part of the time left to the target that a request may spend in its domain.
 * The rest is left for the errors of the estimate. In replays with slow spells,
 * a third costs up to 1.3 % of the answers in time. */
#define STAY_SHARE 0.25
/* Greatest age of a report on which a request waits. */
#define STAY_REPORT_US (50 * 1000)
/* How long a busy refusal counts without a newer report. */
#define STAY_REFUSAL_US (100 * 1000)

/* An entry's state for one group; zero-initialised. */
struct stay {
	uint32_t calls[CONFIG_CLASS_BULK + 1]; /* recent calls by class */
};

struct stay_request {
	enum config_class class;
	bool has_target;
	int64_t target_left_us; /* not positive: it is late */
	/* False if other answers wait for this one, or if a local owner has
	 * refused the request although it was expected to be in time. */
	bool may_wait;
	bool last_attempt; /* see pick_may_queue() */
};

/* Why an attempt goes to another domain or not. */
enum stay_reason {
	STAY_OFF, /* decided by pick alone */
	STAY_HOME, /* to a local candidate, as pick chose */
	STAY_WAITS, /* stays in the domain to wait; pick would have left */
	STAY_LEFT_NO_TARGET,
	STAY_LEFT_NO_WAIT, /* the request may not wait */
	STAY_LEFT_NO_LOCAL, /* no local candidate is left that is in use */
	STAY_LEFT_LATE, /* no local candidate where the request may wait */
};

struct stay_choice {
	struct pick_candidate *candidate; /* NULL: there is none */
	bool may_queue;
	enum stay_reason reason;
	uint32_t skipped; /* candidates left out as they refused recently */
};

/* Counts a call, regardless of its number of attempts. */
void stay_note_call(struct stay *stay, enum config_class class);

/* Notes a refusal for lack of a free slot. To be called after
 * pick_note_refused(), with the same time. */
void stay_note_busy(struct pick_candidate *candidate, enum config_class class,
		    int64_t now_us);

struct stay_choice stay_choose(const struct stay *stay, struct pick_set *set,
			       const struct stay_request *request,
			       const struct pick_tried *tried, int64_t now_us);

/* Chooses for an attempt that is sent while another one is out, and never waits:
 * as pick_choose(), without the owners that refused recently.
 *
 * RETURN VALUE: NULL if there is no candidate. */
struct pick_candidate *stay_choose_parallel(struct pick_set *set,
					    const struct stay_request *request,
					    const struct pick_tried *tried,
					    int64_t now_us);

/* RETURN VALUE: whether an untried candidate of another domain is expected to
 * meet the request's target. */
bool stay_may_leave(const struct stay *stay, struct pick_set *set,
		    const struct stay_request *request,
		    const struct pick_tried *tried, int64_t now_us);

const char *stay_reason_name(enum stay_reason reason);

#endif
