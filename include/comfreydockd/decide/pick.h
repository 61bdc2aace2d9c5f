/*
 * NAME
 *	pick - choose the upstream for one attempt
 *
 * DESCRIPTION
 *	An entry keeps one pick_set for each service and one pick_candidate for
 *	each upstream in it. pick_choose() names the candidate for the next
 *	attempt; pick_may_queue() says whether its owner may queue the attempt
 *	or must refuse at once when no slot is free (busy refusal). Every
 *	attempt is told to the set: pick_note_sent(), then exactly one of
 *	pick_note_done(), pick_note_failed() or pick_note_refused().
 *
 *	The estimate of the work at an upstream is one's own outstanding
 *	attempts plus what others have there. The latter is the reported load
 *	less one's own share at the time of the report: adding the whole report
 *	would count one's own calls twice. It ages toward the mean of all
 *	reports, since a stale report says little about its upstream, but
 *	something about the service.
 *
 *	Each report tells the recent service time at its upstream as well. One
 *	above twice the usual counts as slowness: the owner sees all calls
 *	there, an entry among hundreds a few of its own.
 *
 *	Where all seem full the reports are left out: they come back as late as
 *	the queues are long, and entries that follow the same late report all
 *	fill the same upstream.
 *
 *	An error counts as a slow answer, however quick it was: an upstream that
 *	fails fast has free slots and must not draw all calls for that.
 *
 * LOAD PATTERN
 *	Load that shifts within milliseconds, reports that are old, upstreams
 *	that slow down while their neighbours don't.
 *
 * WITHOUT IT
 *	Calls wait at a full upstream while another has free slots; an upstream
 *	that runs ten times slower gets as many calls as the others.
 *
 *	Hosts that run slow for a moment come after quick ones. Where none of
 *	these has room either, a request goes where it stays least long: a short
 *	queue at a quick host before a slow one that stands empty.
 *
 *	While some hosts run slow, all entries know it at once and turn to the
 *	same few others: each looks at two or three random ones only.
 *
 * GROUNDS
 *	The tables of docs/design/decisions.md. Short queues before slow hosts
 *	are played by tests/traces/slow-spells-busy, a few choices by
 *	tests/traces/slow-spells-many.
 *
 *	The constants that runs compared: PICK_AGE_LATENCIES,
 *	PICK_MEAN_ALPHA, PICK_ROOM_UNKNOWN, PICK_REFUSAL_SHARE,
 *	PICK_FULL_UTILISATION, PICK_QUEUE_CHOICES and PICK_REPORTED_SLOW. All others
 *	are assumptions.
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

#include "comfreydockd/decide/budget.h"
#include "comfreydockd/decide/random.h"

/* A request is never sent to more upstreams than this. */
#define PICK_TRIED_MAX 16

/* What an owner said of its upstream. */
struct pick_load {
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* 0: not known */
	uint32_t expected_wait_us;
	uint32_t service_us; /* recent median; 0: not known */
	uint32_t pace_percent; /* time that work takes now; 0: not known */
};

struct pick_candidate {
	/* Set by the entry. */
	uint64_t id; /* unique in the set, never 0 */
	bool local; /* in the entry's own failure domain */
	bool usable; /* member and health allow new work */
	double warm; /* 0..1, weight while warming up */
	uint32_t slots; /* declared; 0: not known */
	void *data; /* the entry's own */

	/* Kept by pick. */
	uint32_t outstanding; /* own attempts that have not ended */
	bool load_known;
	struct pick_load load; /* the last report */
	int64_t load_at_us;
	double others; /* work of others at the report */
	double mean_utilisation; /* of others' work, over its reports */
	double latency_us; /* running median; 0: not known */
	uint32_t latency_samples;
	int64_t latency_at_us;
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
extern const struct pick_policy pick_two_choices; /* by own outstanding */
extern const struct pick_policy pick_two_scores; /* by score */
extern const struct pick_policy pick_least_score;

/* The one that the daemon uses. */
extern const struct pick_policy *const pick_default_policy;

/* RETURN VALUE: NULL if there is none of that name. */
const struct pick_policy *pick_policy_find(const char *name);

struct pick_set {
	const struct pick_policy *policy;
	GPtrArray *candidates; /* of struct pick_candidate, the entry's own */
	GPtrArray *eligible; /* scratch of pick_choose() */
	GArray *services; /* scratch of pick_note_load() */
	struct random_state random;
	struct budget refusals;
	uint64_t turn; /* round robin */
	double mean_utilisation; /* of the others' work, over all reports */
	uint32_t reports;
	double typical_service_us; /* median of the upstreams' last reports */
	uint32_t usual_pace; /* expected of a host that has not told */
	double typical_latency_us; /* running median over all upstreams */
	uint32_t typical_samples;
};

void pick_set_init(struct pick_set *set, const struct pick_policy *policy,
		   uint64_t seed);
void pick_set_finish(struct pick_set *set);

/* Sets the fields that pick keeps to "nothing known", warm to 1. */
void pick_candidate_init(struct pick_candidate *candidate, uint64_t id);
void pick_set_add(struct pick_set *set, struct pick_candidate *candidate);
void pick_set_remove(struct pick_set *set, struct pick_candidate *candidate);

bool pick_tried_has(const struct pick_tried *tried, uint64_t id);

/* RETURN VALUE: false if the record is full; then there is no next attempt. */
bool pick_tried_add(struct pick_tried *tried, uint64_t id);

/* Takes those out of tried that are in some. */
void pick_tried_remove(struct pick_tried *tried, const struct pick_tried *some);

/* Counts one request, whatever its number of attempts. */
void pick_note_request(struct pick_set *set);

/*
 * RETURN VALUE
 *	A candidate that is usable and not tried; NULL only if there is none or
 *	tried is full.
 */
struct pick_candidate *pick_choose(struct pick_set *set,
				   const struct pick_tried *tried,
				   int64_t now_us);

/* RETURN VALUE: how many candidates are usable and not tried. */
size_t pick_count_untried(const struct pick_set *set,
			  const struct pick_tried *tried);

/*
 * Whether the owner of the chosen candidate may queue the attempt. False, "be
 * refused at once if no slot is free", only while another attempt is allowed,
 * another untried candidate seems to have room, and the budget for refusals
 * is not spent: at overload a refusal would only move the wait elsewhere, at
 * the cost of a message.
 *
 * candidate is not yet in tried.
 */
bool pick_may_queue(const struct pick_set *set,
		    const struct pick_candidate *candidate,
		    const struct pick_tried *tried, bool last_attempt,
		    int64_t now_us);

void pick_note_sent(struct pick_set *set, struct pick_candidate *candidate);

/* An answer came; load may be NULL. */
void pick_note_done(struct pick_set *set, struct pick_candidate *candidate,
		    int64_t latency_us, const struct pick_load *load,
		    int64_t now_us);

/* An error, a lost connection, a timeout or a cancel after latency_us. */
void pick_note_failed(struct pick_set *set, struct pick_candidate *candidate,
		      int64_t latency_us, const struct pick_load *load,
		      int64_t now_us);

/* NOT_RUN; charged to the budget for refusals where busy is true. */
void pick_note_refused(struct pick_set *set, struct pick_candidate *candidate,
		       bool busy, const struct pick_load *load, int64_t now_us);

/* A report that came by itself. */
void pick_note_load(struct pick_set *set, struct pick_candidate *candidate,
		    const struct pick_load *load, int64_t now_us);

/* RETURN VALUE: the host's pace as last told; where nothing of late is known the
 * best one known, or PACE_USUAL_PERCENT. */
uint32_t pick_pace(const struct pick_set *set,
		   const struct pick_candidate *candidate, int64_t now_us);

/* RETURN VALUE: the best pace among those that are usable and not tried, this
 * one left out; 0: there is no other. */
uint32_t pick_other_pace(const struct pick_set *set,
			 const struct pick_candidate *candidate,
			 const struct pick_tried *tried, int64_t now_us);

/* The estimate of work over limit, with the attempt to be placed included. */
double pick_utilisation(const struct pick_set *set,
			const struct pick_candidate *candidate, int64_t now_us);

/* The candidate's latency over the typical one, aged toward 1. */
double pick_relative_latency(const struct pick_set *set,
			     const struct pick_candidate *candidate,
			     int64_t now_us);

/* Utilisation times relative latency; less is better. */
double pick_score(const struct pick_set *set,
		  const struct pick_candidate *candidate, int64_t now_us);

/* The same by one's own outstanding attempts alone. */
double pick_own_score(const struct pick_set *set,
		      const struct pick_candidate *candidate, int64_t now_us);

#endif
