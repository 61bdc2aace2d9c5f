#include <glib.h>
#include <string.h>

#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/pick.h"

/* Work stays in the entry's failure domain up to this utilisation, which spills
 * calls before they are refused or queued there. An owner refuses at once when
 * it has no free slot, so leaving earlier gains nothing and only sends more
 * bytes between domains; see docs/design/teranga.md. */
#define PICK_SPILL_UTILISATION 0.9
/* A local upstream slower than this multiple of the typical latency gets no
 * preference: the round trip to another domain costs less. */
#define PICK_SPILL_SLOWNESS 1.5

/* Above this, every upstream seems full: even the best reported one has a
 * queue. */
#define PICK_FULL_UTILISATION 1.1
/* Weight of utilisation among hosts that would start a request at once: the
 * less loaded one is preferred. */
#define PICK_IDLE_PREFERENCE 0.1

/* Power of two choices. */
#define PICK_CHOICES 2
/* Candidates compared where every fast host has a queue. Of two, three and
 * four, three gave the best results with few entries and no worse ones with
 * hundreds; see docs/design/decisions.md. */
#define PICK_QUEUE_CHOICES 3

typedef double (*cost_function)(const struct pick_set *set,
				const struct pick_candidate *candidate,
				int64_t now_us);

/* Returns the cheapest candidate. Ties are broken at random, so that entries
 * without any knowledge do not all choose the first one. */
static struct pick_candidate *choose_cheapest(struct pick_set *set,
					      struct pick_candidate **candidates,
					      size_t count, int64_t now_us,
					      cost_function cost)
{
	struct pick_candidate *best = NULL;
	double best_cost = 0;
	uint64_t equals = 0;

	for (size_t i = 0; i < count; i++) {
		double c = cost(set, candidates[i], now_us);

		if (best && c > best_cost)
			continue;
		if (!best || c < best_cost)
			equals = 0;
		equals++;
		if (random_below(&set->random, equals) == 0)
			best = candidates[i];
		best_cost = c;
	}
	return best;
}

static void swap_candidates(struct pick_candidate **candidates, size_t a, size_t b)
{
	struct pick_candidate *candidate = candidates[a];

	candidates[a] = candidates[b];
	candidates[b] = candidate;
}

/* Moves that many random candidates to the front and returns the cheapest of
 * them. */
static struct pick_candidate *choose_of(struct pick_set *set,
					struct pick_candidate **candidates,
					size_t count, size_t choices,
					int64_t now_us, cost_function cost)
{
	choices = MIN(choices, count);
	for (size_t i = 0; i < choices; i++)
		swap_candidates(candidates, i,
				i + random_below(&set->random, count - i));
	return choose_cheapest(set, candidates, choices, now_us, cost);
}

/* Moves the local candidates with room to the front. RETURN VALUE: how many
 * candidates are left to choose from. */
static size_t prefer_local(const struct pick_set *set,
			   struct pick_candidate **candidates, size_t count,
			   int64_t now_us)
{
	size_t local = 0;

	for (size_t i = 0; i < count; i++) {
		const struct pick_candidate *c = candidates[i];

		if (!c->local || !c->load_known ||
		    pick_utilisation(set, c, now_us) > PICK_SPILL_UTILISATION ||
		    pick_relative_latency(set, c, now_us) > PICK_SPILL_SLOWNESS)
			continue;
		swap_candidates(candidates, i, local++);
	}
	return local > 0 ? local : count;
}

static double cost_outstanding(const struct pick_set *set,
			       const struct pick_candidate *candidate,
			       int64_t now_us)
{
	(void)set;
	(void)now_us;
	return candidate->outstanding;
}

static struct pick_candidate *choose_random(struct pick_set *set,
					    struct pick_candidate **candidates,
					    size_t count, int64_t now_us)
{
	(void)now_us;
	return candidates[random_below(&set->random, count)];
}

static struct pick_candidate *
choose_round_robin(struct pick_set *set, struct pick_candidate **candidates,
		   size_t count, int64_t now_us)
{
	(void)now_us;
	return candidates[set->next_turn++ % count];
}

static struct pick_candidate *
choose_least_outstanding(struct pick_set *set, struct pick_candidate **candidates,
			 size_t count, int64_t now_us)
{
	return choose_cheapest(set, candidates, count, now_us, cost_outstanding);
}

static struct pick_candidate *
choose_two_choices(struct pick_set *set, struct pick_candidate **candidates,
		   size_t count, int64_t now_us)
{
	return choose_of(set, candidates, count, PICK_CHOICES, now_us,
			 cost_outstanding);
}

static struct pick_candidate *choose_two_scores(struct pick_set *set,
						struct pick_candidate **candidates,
						size_t count, int64_t now_us)
{
	count = prefer_local(set, candidates, count, now_us);
	return choose_of(set, candidates, count, PICK_CHOICES, now_us,
			 pick_score);
}

static uint32_t best_pace(const struct pick_set *set,
			  struct pick_candidate **candidates, size_t count,
			  int64_t now_us)
{
	uint32_t best = pick_pace(set, candidates[0], now_us);

	for (size_t i = 1; i < count; i++)
		best = MIN(best, pick_pace(set, candidates[i], now_us));
	return best;
}

/* Moves the candidates that do not run slow to the front. RETURN VALUE: their
 * number. */
static size_t prefer_fast(const struct pick_set *set,
			  struct pick_candidate **candidates, size_t count,
			  int64_t now_us)
{
	uint32_t best = best_pace(set, candidates, count, now_us);
	size_t fast = 0;

	for (size_t i = 0; i < count; i++)
		if (!pace_is_worse(pick_pace(set, candidates[i], now_us), best))
			swap_candidates(candidates, i, fast++);
	return fast;
}

/* Moves the candidates with room to the front. RETURN VALUE: their number. */
static size_t prefer_free(const struct pick_set *set,
			  struct pick_candidate **candidates, size_t count,
			  int64_t now_us)
{
	size_t free = 0;

	for (size_t i = 0; i < count; i++)
		if (pick_utilisation(set, candidates[i], now_us) <=
		    PICK_FULL_UTILISATION)
			swap_candidates(candidates, i, free++);
	return free;
}

static double pace_factor(const struct pick_set *set,
			  const struct pick_candidate *candidate, int64_t now_us)
{
	return (double)pick_pace(set, candidate, now_us) / PACE_NOMINAL_PERCENT;
}

/* Estimates how long a request stays at the upstream, in typical latencies: a
 * full upstream has a queue, and a slow one takes longer however idle it is. */
static double cost_sojourn(const struct pick_set *set,
			   const struct pick_candidate *candidate, int64_t now_us)
{
	double utilisation = pick_utilisation(set, candidate, now_us);

	return (MAX(utilisation, 1.0) + PICK_IDLE_PREFERENCE * utilisation) *
	       pick_relative_latency(set, candidate, now_us) *
	       pace_factor(set, candidate, now_us);
}

static double cost_outstanding_by_pace(const struct pick_set *set,
				       const struct pick_candidate *candidate,
				       int64_t now_us)
{
	return pick_outstanding_score(set, candidate, now_us) *
	       pace_factor(set, candidate, now_us);
}

/*
 * Chooses among fast hosts with room. When a slow spell begins, all entries
 * learn of it at once and leave that host for the few fast ones. If each entry
 * took the best of these, all would meet at the same host, be refused there and
 * move on together; the better of two random ones spreads them. Without a slow
 * host there is no such rush, and the best of all avoids a host that fails.
 */
static struct pick_candidate *choose_free(struct pick_set *set,
					  struct pick_candidate **candidates,
					  size_t count, bool has_slow,
					  int64_t now_us)
{
	size_t preferred = prefer_local(set, candidates, count, now_us);

	if (has_slow)
		return choose_of(set, candidates, preferred, PICK_CHOICES,
				 now_us, pick_score);
	return choose_cheapest(set, candidates, preferred, now_us, pick_score);
}

/*
 * Chooses where no fast host has room. By utilisation alone a slow, idle host
 * would look best, but a request waits there beside free slots until the slow
 * spell ends, while the queue of a fast host moves with each answer. All
 * entries see the same late reports of these queues, so each looks at a few
 * random candidates only.
 */
static struct pick_candidate *choose_queue(struct pick_set *set,
					   struct pick_candidate **candidates,
					   size_t count, int64_t now_us)
{
	return choose_of(set, candidates, count, PICK_QUEUE_CHOICES, now_us,
			 cost_sojourn);
}

static struct pick_candidate *
choose_least_score(struct pick_set *set, struct pick_candidate **candidates,
		   size_t count, int64_t now_us)
{
	size_t fast = prefer_fast(set, candidates, count, now_us);
	size_t free = prefer_free(set, candidates, fast, now_us);
	struct pick_candidate *best =
		free > 0 ?
			choose_free(set, candidates, free, fast < count, now_us) :
			choose_queue(set, candidates, count, now_us);

	if (pick_utilisation(set, best, now_us) <= PICK_FULL_UTILISATION)
		return best;
	return choose_cheapest(set, candidates, count, now_us,
			       cost_outstanding_by_pace);
}

const struct pick_policy pick_random = {"random", choose_random};
const struct pick_policy pick_round_robin = {"round-robin", choose_round_robin};
const struct pick_policy pick_least_outstanding = {"least-outstanding",
						   choose_least_outstanding};
const struct pick_policy pick_two_choices = {"two-choices", choose_two_choices};
const struct pick_policy pick_two_scores = {"two-scores", choose_two_scores};
const struct pick_policy pick_least_score = {"least-score", choose_least_score};
const struct pick_policy *const pick_default_policy = &pick_least_score;

const struct pick_policy *pick_policy_find(const char *name)
{
	const struct pick_policy *const policies[] = {
		&pick_random,	   &pick_round_robin, &pick_least_outstanding,
		&pick_two_choices, &pick_two_scores,  &pick_least_score,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (strcmp(policies[i]->name, name) == 0)
			return policies[i];
	}
	return NULL;
}
