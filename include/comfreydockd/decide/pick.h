/*
 * NAME
 *	pick - choose the upstream for an attempt
 *
 * DESCRIPTION
 *	An entry keeps one pick_set for each service and one pick_candidate for
 *	each upstream in it. pick_choose() returns the candidate for the next
 *	attempt. pick_may_queue() tells whether its owner may queue the attempt
 *	or must refuse it at once if no slot is free (busy refusal). Every
 *	attempt must be reported to the set: pick_note_sent(), then exactly one
 *	of pick_note_done(), pick_note_failed() or pick_note_refused().
 *
 *	The work at an upstream is estimated as this entry's own outstanding
 *	attempts plus the work of others. The latter is the reported load less
 *	the own outstanding attempts at the time of the report: adding the whole
 *	report would count own calls twice. It ages toward the mean of all
 *	reports, since a stale report says little about its upstream, but
 *	something about the service.
 *
 *	Each report also contains the recent service time at its upstream. A
 *	value above twice the typical one counts as slowness: the owner sees all
 *	calls there, one entry among hundreds only a few of its own.
 *
 *	If all upstreams seem full, the reports are ignored: they arrive as late
 *	as the queues are long, and entries that follow the same late report all
 *	fill the same upstream.
 *
 *	An error counts as a slow answer, however fast it was: an upstream that
 *	fails fast has free slots and must not attract all calls for that.
 *
 *	Hosts in a slow spell are chosen after fast ones. If no fast host has
 *	room either, a request goes where it stays for the shortest time: a
 *	short queue at a fast host is better than a slow host that is idle.
 *
 *	When some hosts become slow, all entries learn of it at once and turn to
 *	the same few others, so each entry compares only two or three random
 *	ones.
 *
 * LOAD PATTERN
 *	Load that shifts within milliseconds, old reports, and upstreams that
 *	slow down while their neighbours do not.
 *
 * WITHOUT IT
 *	Calls wait at a full upstream while another one has free slots, and an
 *	upstream that runs ten times slower gets as many calls as the others.
 *
 * GROUNDS
 *	The tables of docs/design/decisions.md. tests/traces/slow-spells-busy
 *	simulates short queues compared with slow hosts,
 *	tests/traces/slow-spells-many the choice among a few.
 *
 *	Simulation runs compared values of PICK_AGE_LATENCIES, PICK_MEAN_ALPHA,
 *	PICK_ROOM_UNKNOWN, PICK_REFUSAL_SHARE, PICK_FULL_UTILISATION,
 *	PICK_QUEUE_CHOICES and PICK_REPORTED_SLOW.
 *
 * UNITS
 *	Times are monotonic microseconds. Utilisation is work over limit: 1 is
 *	full, more means a queue.
 *
 * SOURCE
 *	Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
 *	IEEE TPDS 2001; Mitzenmacher, "How Useful Is Old Information?", IEEE
 *	TPDS 2000 (stale reports and herds).
 */
#ifndef COMFREYDOCKD_DECIDE_PICK_H
#define COMFREYDOCKD_DECIDE_PICK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/config/model.h"
#include "comfreydockd/decide/budget.h"
#include "comfreydockd/decide/random.h"

/* A request is never sent to more upstreams than this. */
#define PICK_TRIED_MAX 16

/* The load of an upstream as its owner reported it. */
struct pick_load {
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* 0: unknown */
	uint32_t expected_wait_us;
	uint32_t service_us; /* recent median; 0: unknown */
	uint32_t pace_percent; /* current duration of work; 0: unknown */
};

struct pick_candidate {
	/* Set by the entry. */
	uint64_t id; /* unique in the set, never 0 */
	bool local; /* in the entry's own failure domain */
	bool usable; /* membership and health allow new work */
	bool skipped; /* left out of the current choice, see stay.h */
	double warm_weight; /* 0..1, factor of the capacity in warm-up */
	uint32_t slots; /* declared; 0: unknown */
	void *data; /* for the entry */

	/* Maintained by pick. */
	uint32_t outstanding; /* own attempts that have not ended */
	bool load_known;
	struct pick_load load; /* the last report */
	int64_t load_at_us;
	double others_work; /* work of other entries at the last report */
	double mean_others_utilisation; /* over its reports */
	double latency_us; /* running median; 0: unknown */
	uint32_t latency_samples;
	int64_t latency_at_us;

	/* Maintained by stay: the last busy refusal for each class; 0: none. */
	int64_t refused_us[CONFIG_CLASS_BULK + 1];
	/* Until then, an attempt that stay sent there is expected to wait. */
	int64_t waits_until_us;
};

/* The upstreams that one request has been sent to. */
struct pick_tried {
	uint64_t ids[PICK_TRIED_MAX];
	size_t count;
};

struct pick_set;

struct pick_policy {
	const char *name;
	/* Chooses among a non-empty array of usable, untried candidates. */
	struct pick_candidate *(*choose)(struct pick_set *set,
					 struct pick_candidate **candidates,
					 size_t count, int64_t now_us);
};

extern const struct pick_policy pick_random;
extern const struct pick_policy pick_round_robin;
extern const struct pick_policy pick_least_outstanding;
extern const struct pick_policy pick_two_choices; /* by outstanding attempts */
extern const struct pick_policy pick_two_scores; /* by pick_score() */
extern const struct pick_policy pick_least_score;

/* The policy that the daemon uses. */
extern const struct pick_policy *const pick_default_policy;

/* RETURN VALUE: NULL if there is no policy of that name. */
const struct pick_policy *pick_policy_find(const char *name);

struct pick_set {
	const struct pick_policy *policy;
	GPtrArray *candidates; /* of struct pick_candidate, owned by the entry */
	GPtrArray *eligible; /* scratch space of pick_choose() */
	GArray *service_times; /* scratch space of pick_note_load() */
	struct random_state random;
	struct budget busy_refusal_budget; /* charged in pick_note_refused() */
	uint64_t next_turn; /* for round robin */
	double mean_others_utilisation; /* over all reports */
	uint32_t reports;
	double typical_service_us; /* median of all upstreams' last reports */
	uint32_t assumed_pace; /* of a host without a recent report */
	double typical_latency_us; /* running median over all upstreams */
	uint32_t typical_samples;
};

void pick_set_init(struct pick_set *set, const struct pick_policy *policy,
		   uint64_t seed);
void pick_set_finish(struct pick_set *set);

/* Resets the fields that pick maintains to "unknown" and sets warm_weight to
 * 1. */
void pick_candidate_init(struct pick_candidate *candidate, uint64_t id);
void pick_set_add(struct pick_set *set, struct pick_candidate *candidate);
void pick_set_remove(struct pick_set *set, struct pick_candidate *candidate);

bool pick_tried_has(const struct pick_tried *tried, uint64_t id);

/* RETURN VALUE: false if tried is full; then no further attempt is possible. */
bool pick_tried_add(struct pick_tried *tried, uint64_t id);

/* Removes the ids in some from tried. */
void pick_tried_remove(struct pick_tried *tried, const struct pick_tried *some);

/* Counts a request, regardless of its number of attempts. */
void pick_note_request(struct pick_set *set);

/*
 * RETURN VALUE
 *	A candidate that is usable and not in tried; NULL only if there is none
 *	or tried is full.
 */
struct pick_candidate *pick_choose(struct pick_set *set,
				   const struct pick_tried *tried,
				   int64_t now_us);

/* RETURN VALUE: the number of candidates that are usable and not in tried. */
size_t pick_count_untried(const struct pick_set *set,
			  const struct pick_tried *tried);

/*
 * Returns whether the owner of the chosen candidate may queue the attempt.
 * False means "refuse at once if no slot is free". It is returned only if a
 * further attempt is allowed, another untried candidate seems to have room, and
 * the budget for refusals is not used up: under overload a refusal would only
 * move the wait elsewhere, at the cost of a message.
 *
 * candidate is not in tried yet.
 */
bool pick_may_queue(const struct pick_set *set,
		    const struct pick_candidate *candidate,
		    const struct pick_tried *tried, bool last_attempt,
		    int64_t now_us);

void pick_note_sent(struct pick_set *set, struct pick_candidate *candidate);

/* Notes an answer; load may be NULL. */
void pick_note_done(struct pick_set *set, struct pick_candidate *candidate,
		    int64_t latency_us, const struct pick_load *load,
		    int64_t now_us);

/* Notes an error, a lost connection, a timeout or a cancel after latency_us. */
void pick_note_failed(struct pick_set *set, struct pick_candidate *candidate,
		      int64_t latency_us, const struct pick_load *load,
		      int64_t now_us);

/* Notes an attempt that ended NOT_RUN. If busy, it is charged to the budget for
 * refusals. */
void pick_note_refused(struct pick_set *set, struct pick_candidate *candidate,
		       bool busy, const struct pick_load *load, int64_t now_us);

/* Notes a report that did not come with an answer. */
void pick_note_load(struct pick_set *set, struct pick_candidate *candidate,
		    const struct pick_load *load, int64_t now_us);

/* RETURN VALUE: the last reported pace of the host. Without a recent report it
 * is the best known pace of any host, or PACE_NOMINAL_PERCENT. */
uint32_t pick_pace(const struct pick_set *set,
		   const struct pick_candidate *candidate, int64_t now_us);

/* RETURN VALUE: the best pace among the other candidates that are usable and
 * not tried; 0: there is none. */
uint32_t pick_other_pace(const struct pick_set *set,
			 const struct pick_candidate *candidate,
			 const struct pick_tried *tried, int64_t now_us);

/* Returns the estimated work over the limit, including the attempt to be
 * placed. */
double pick_utilisation(const struct pick_set *set,
			const struct pick_candidate *candidate, int64_t now_us);

/* Returns the candidate's latency relative to the typical one, aged toward
 * 1. */
double pick_relative_latency(const struct pick_set *set,
			     const struct pick_candidate *candidate,
			     int64_t now_us);

/* Returns utilisation times relative latency; lower is better. */
double pick_score(const struct pick_set *set,
		  const struct pick_candidate *candidate, int64_t now_us);

/* The same, based on this entry's own outstanding attempts only. */
double pick_outstanding_score(const struct pick_set *set,
			      const struct pick_candidate *candidate,
			      int64_t now_us);

#endif
