#include "comfreydockd/decide/pick.h"

#include <string.h>

#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/pick_estimate.h"

/* The budget for busy refusals, that is, refusals by owners that have no free
 * slot and may not queue the attempt: tokens per request, and the burst. */
#define PICK_REFUSAL_SHARE 0.5
#define PICK_REFUSAL_BURST 10.0
/* The smallest relative step of a running median of latencies. */
#define PICK_LATENCY_STEP 0.05
/* An error counts as an answer that took this multiple of the typical latency.
 * The candidate's running median rises by one step with each error and falls by
 * one with each faster answer, so it stays low until half of the answers are
 * errors. */
#define PICK_ERROR_SLOWNESS 10.0
/* Weight of one report in the mean over all upstreams. */
#define PICK_MEAN_ALPHA 0.05
#define PICK_MEAN_IDLE_REPORTS 10.0
/* Weight of one report in the mean over the reports of its upstream. */
#define PICK_CANDIDATE_MEAN_ALPHA 0.2
/* With fewer known paces than this, all the known hosts may be in a slow spell
 * by chance, so a host without a recent report is assumed to run at the nominal
 * pace. */
#define PICK_PACE_HOSTS 3

void pick_set_init(struct pick_set *set, const struct pick_policy *policy,
		   uint64_t seed)
{
	memset(set, 0, sizeof(*set));
	set->policy = policy;
	set->candidates = g_ptr_array_new();
	set->eligible = g_ptr_array_new();
	set->service_times = g_array_new(FALSE, FALSE, sizeof(guint));
	set->random.state = seed;
	set->assumed_pace = PACE_NOMINAL_PERCENT;
	budget_init(&set->busy_refusal_budget, PICK_REFUSAL_SHARE,
		    PICK_REFUSAL_BURST);
}

void pick_set_finish(struct pick_set *set)
{
	g_ptr_array_free(set->candidates, TRUE);
	g_ptr_array_free(set->eligible, TRUE);
	g_array_free(set->service_times, TRUE);
}

void pick_candidate_init(struct pick_candidate *candidate, uint64_t id)
{
	memset(candidate, 0, sizeof(*candidate));
	candidate->id = id;
	candidate->warm_weight = 1.0;
}

void pick_set_add(struct pick_set *set, struct pick_candidate *candidate)
{
	g_ptr_array_add(set->candidates, candidate);
}

void pick_set_remove(struct pick_set *set, struct pick_candidate *candidate)
{
	g_ptr_array_remove(set->candidates, candidate);
}

bool pick_tried_has(const struct pick_tried *tried, uint64_t id)
{
	for (size_t i = 0; i < tried->count; i++) {
		if (tried->ids[i] == id)
			return true;
	}
	return false;
}

bool pick_tried_add(struct pick_tried *tried, uint64_t id)
{
	if (tried->count == PICK_TRIED_MAX)
		return false;
	tried->ids[tried->count++] = id;
	return true;
}

void pick_tried_remove(struct pick_tried *tried, const struct pick_tried *some)
{
	struct pick_tried kept = {.count = 0};

	for (size_t i = 0; i < tried->count; i++) {
		if (!pick_tried_has(some, tried->ids[i]))
			pick_tried_add(&kept, tried->ids[i]);
	}
	*tried = kept;
}

void pick_note_request(struct pick_set *set)
{
	budget_note_call(&set->busy_refusal_budget);
}

bool pick_is_eligible(const struct pick_candidate *candidate,
		      const struct pick_tried *tried)
{
	return candidate->usable && !candidate->skipped &&
	       tried->count < PICK_TRIED_MAX &&
	       !pick_tried_has(tried, candidate->id);
}

size_t pick_count_untried(const struct pick_set *set,
			  const struct pick_tried *tried)
{
	size_t count = 0;

	for (guint i = 0; i < set->candidates->len; i++)
		count += pick_is_eligible(set->candidates->pdata[i], tried);
	return count;
}

struct pick_candidate *pick_choose(struct pick_set *set,
				   const struct pick_tried *tried, int64_t now_us)
{
	GPtrArray *eligible = set->eligible;

	g_ptr_array_set_size(eligible, 0);
	for (guint i = 0; i < set->candidates->len; i++) {
		struct pick_candidate *candidate = set->candidates->pdata[i];

		if (pick_is_eligible(candidate, tried))
			g_ptr_array_add(eligible, candidate);
	}
	if (eligible->len == 0)
		return NULL;
	return set->policy->choose(set, (struct pick_candidate **)eligible->pdata,
				   eligible->len, now_us);
}

uint32_t pick_other_pace(const struct pick_set *set,
			 const struct pick_candidate *candidate,
			 const struct pick_tried *tried, int64_t now_us)
{
	uint32_t best = 0;

	for (guint i = 0; i < set->candidates->len; i++) {
		const struct pick_candidate *other = set->candidates->pdata[i];
		uint32_t pace = pick_pace(set, other, now_us);

		if (other == candidate || !pick_is_eligible(other, tried))
			continue;
		if (!best || pace < best)
			best = pace;
	}
	return best;
}

bool pick_may_queue(const struct pick_set *set,
		    const struct pick_candidate *candidate,
		    const struct pick_tried *tried, bool last_attempt,
		    int64_t now_us)
{
	uint32_t pace = pick_pace(set, candidate, now_us);

	if (last_attempt || !budget_has(&set->busy_refusal_budget, 1.0))
		return true;
	for (guint i = 0; i < set->candidates->len; i++) {
		const struct pick_candidate *other = set->candidates->pdata[i];

		if (other != candidate && pick_is_eligible(other, tried) &&
		    !pace_is_worse(pick_pace(set, other, now_us), pace) &&
		    pick_has_room(set, other, now_us))
			return false;
	}
	return true;
}

/* Moves a running median, in large steps at first and in constant ones later. A
 * rare long job moves it no further than any other sample. */
static void move_median(double *median, uint32_t *samples, double value)
{
	double step = MAX(PICK_LATENCY_STEP, 1.0 / (*samples + 1.0));

	if (*samples == 0)
		*median = value;
	else if (value > *median)
		*median *= 1 + step;
	else if (value < *median)
		*median /= 1 + step;
	if (*samples < UINT32_MAX)
		(*samples)++;
}

/* Starts as if ten idle upstreams had reported: otherwise, the first report of
 * a full upstream would make all others look full. */
static void note_mean(struct pick_set *set, double utilisation)
{
	double first = 1.0 / (PICK_MEAN_IDLE_REPORTS + set->reports);

	set->mean_others_utilisation +=
		MAX(PICK_MEAN_ALPHA, first) *
		(utilisation - set->mean_others_utilisation);
	if (set->reports < UINT32_MAX)
		set->reports++;
}

static gint compare_service_times(gconstpointer a, gconstpointer b)
{
	guint x = *(const guint *)a;
	guint y = *(const guint *)b;

	return (x > y) - (x < y);
}

/* Takes the median of set->service_times, which holds one value per upstream. A
 * median over reports would be dominated by an upstream that answers only
 * errors, since that one reports most often and always the same value. With an
 * even number of values the lower of the two middle ones is taken: where one of
 * two upstreams is slow, the higher one would pass the slow time off as
 * typical, and retries would be refused for lack of time although the other
 * upstream is free. */
static void note_typical_service(struct pick_set *set)
{
	GArray *service_times = set->service_times;
	guint middle;

	if (service_times->len == 0)
		return;
	g_array_sort(service_times, compare_service_times);
	middle = (service_times->len - 1) / 2;
	set->typical_service_us = g_array_index(service_times, guint, middle);
}

/*
 * Updates what the last reports of all upstreams say together.
 *
 * A host without a recent report is assumed to be as fast as the best known
 * one. If it were assumed to run at the nominal pace while all hosts have just
 * been started and are slow, all entries would send their attempts to it, and
 * the owners of the other hosts would turn requests back, because this host
 * seems faster.
 */
static void note_last_reports(struct pick_set *set, int64_t now_us)
{
	uint32_t best = UINT32_MAX;
	unsigned int known = 0;

	g_array_set_size(set->service_times, 0);
	for (guint i = 0; i < set->candidates->len; i++) {
		const struct pick_candidate *c = set->candidates->pdata[i];

		if (c->load_known && c->load.service_us > 0)
			g_array_append_val(set->service_times,
					   c->load.service_us);
		if (!pick_is_pace_known(c, now_us))
			continue;
		known++;
		best = MIN(best, c->load.pace_percent);
	}
	set->assumed_pace =
		known >= PICK_PACE_HOSTS ? best : PACE_NOMINAL_PERCENT;
	note_typical_service(set);
}

void pick_note_load(struct pick_set *set, struct pick_candidate *candidate,
		    const struct pick_load *load, int64_t now_us)
{
	double work = (double)load->running + load->queued;
	double utilisation;

	candidate->load = *load;
	candidate->others_work = MAX(0.0, work - candidate->outstanding);
	utilisation = candidate->others_work / pick_capacity(candidate);
	if (!candidate->load_known)
		candidate->mean_others_utilisation = utilisation;
	candidate->load_known = true;
	candidate->load_at_us = now_us;
	candidate->mean_others_utilisation +=
		PICK_CANDIDATE_MEAN_ALPHA *
		(utilisation - candidate->mean_others_utilisation);
	note_mean(set, utilisation);
	note_last_reports(set, now_us);
}

/* Notes a latency of this candidate only. */
static void note_candidate_latency(const struct pick_set *set,
				   struct pick_candidate *candidate,
				   double latency_us, int64_t now_us)
{
	if (candidate->latency_samples > 0)
		candidate->latency_us =
			pick_aged_latency_us(set, candidate, now_us);
	candidate->latency_at_us = now_us;
	move_median(&candidate->latency_us, &candidate->latency_samples,
		    MAX(latency_us, 1.0));
}

static void end_attempt(struct pick_set *set, struct pick_candidate *candidate,
			const struct pick_load *load, int64_t now_us)
{
	if (candidate->outstanding > 0)
		candidate->outstanding--;
	if (load)
		pick_note_load(set, candidate, load, now_us);
}

void pick_note_sent(struct pick_set *set, struct pick_candidate *candidate)
{
	(void)set;
	candidate->outstanding++;
}

void pick_note_done(struct pick_set *set, struct pick_candidate *candidate,
		    int64_t latency_us, const struct pick_load *load,
		    int64_t now_us)
{
	end_attempt(set, candidate, load, now_us);
	note_candidate_latency(set, candidate, (double)latency_us, now_us);
	move_median(&set->typical_latency_us, &set->typical_samples,
		    MAX((double)latency_us, 1.0));
}

void pick_note_failed(struct pick_set *set, struct pick_candidate *candidate,
		      int64_t latency_us, const struct pick_load *load,
		      int64_t now_us)
{
	double cost_us = PICK_ERROR_SLOWNESS * set->typical_latency_us;

	end_attempt(set, candidate, load, now_us);
	note_candidate_latency(set, candidate, MAX((double)latency_us, cost_us),
			       now_us);
}

void pick_note_refused(struct pick_set *set, struct pick_candidate *candidate,
		       bool busy, const struct pick_load *load, int64_t now_us)
{
	end_attempt(set, candidate, load, now_us);
	if (busy)
		budget_charge(&set->busy_refusal_budget, 1.0);
}
