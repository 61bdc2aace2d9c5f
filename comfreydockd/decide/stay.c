#include "comfreydockd/decide/stay.h"

#include <math.h>

#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/pick_estimate.h"

/* The numbers of calls by class are halved at this sum, so that they follow a
 * change within a few hundred calls. */
#define STAY_CALLS_MAX 256
/* Least share of the slots that more urgent classes leave: without it the
 * expected wait of the least urgent class would have no bound. */
#define STAY_LEFT_OVER_MIN 0.1
/* A candidate whose answers take longer than this multiple of the typical
 * latency fails or is slow in a way that its reports don't show. */
#define STAY_SLOWNESS_MAX 4.0
/* Candidates compared among those that are in time. */
#define STAY_CHOICES 2

static const char *const reason_names[] = {
	[STAY_OFF] = "off",
	[STAY_HOME] = "home",
	[STAY_WAITS] = "waits",
	[STAY_LEFT_NO_TARGET] = "left-no-target",
	[STAY_LEFT_NO_WAIT] = "left-no-wait",
	[STAY_LEFT_NO_LOCAL] = "left-no-local",
	[STAY_LEFT_LATE] = "left-late",
};

const char *stay_reason_name(enum stay_reason reason)
{
	return reason_names[reason];
}

void stay_note_call(struct stay *stay, enum config_class class)
{
	uint32_t sum = 0;

	stay->calls[class]++;
	for (size_t i = 0; i < G_N_ELEMENTS(stay->calls); i++)
		sum += stay->calls[i];
	for (size_t i = 0;
	     sum >= STAY_CALLS_MAX && i < G_N_ELEMENTS(stay->calls); i++)
		stay->calls[i] /= 2;
}

void stay_note_busy(struct pick_candidate *candidate, enum config_class class,
		    int64_t now_us)
{
	if (!candidate->local)
		candidate->refused_us[class] = now_us;
}

static bool has_refused_recently(const struct pick_candidate *candidate,
				 enum config_class class, int64_t now_us)
{
	const struct pick_load *load = &candidate->load;
	int64_t refused_us = candidate->refused_us[class];

	if (refused_us == 0 || now_us - refused_us >= STAY_REFUSAL_US)
		return false;
	return candidate->load_at_us <= refused_us ||
	       load->running + load->queued >= load->limit;
}

/* RETURN VALUE: the wait of a class behind queued work of all classes, relative
 * to the time that this work takes: without the work of less urgent classes,
 * and longer by the arrivals of more urgent ones. */
static double class_factor(const struct stay *stay, enum config_class class)
{
	uint32_t sum = 0;
	uint32_t above = 0;

	for (uint32_t i = 0; i < G_N_ELEMENTS(stay->calls); i++) {
		sum += stay->calls[i];
		above += i < (uint32_t) class ? stay->calls[i] : 0;
	}
	if (sum == 0)
		return 1.0;
	return (double)(above + stay->calls[class]) / sum /
	       MAX(1.0 - (double)above / sum, STAY_LEFT_OVER_MIN);
}

/* RETURN VALUE: how long a request runs at the candidate, at the current pace
 * of its host; 0: unknown. */
static double service_us(const struct pick_set *set,
			 const struct pick_candidate *candidate, int64_t now_us)
{
	/* A cold upstream works slower than its reports of some time ago. */
	double cold_us = set->typical_service_us /
			 MAX(candidate->warm_weight, PICK_WARM_MIN);

	return MAX(candidate->load.service_us, cold_us) *
	       pick_pace(set, candidate, now_us) / PACE_NOMINAL_PERCENT;
}

/* The parts of the time to the answer of a request that is sent somewhere. */
struct estimate {
	double run_us; /* not positive: unknown */
	double wait_us;
};

static struct estimate estimate_at(const struct stay *stay,
				   const struct pick_set *set,
				   const struct pick_candidate *candidate,
				   enum config_class class, int64_t now_us)
{
	double run_us = service_us(set, candidate, now_us);
	double turn_us = run_us / pick_limit(candidate); /* until a slot is free */
	double reported_us = pick_report_weight(set, candidate, now_us) *
			     candidate->load.expected_wait_us *
			     pick_pace(set, candidate, now_us) /
			     PACE_NOMINAL_PERCENT;
	double work_us = turn_us * (pick_work(set, candidate, now_us) + 1 -
				    pick_limit(candidate));
	double wait_us = MAX(reported_us, MAX(work_us, 0));
	double queue_us = MAX(wait_us - turn_us, 0);

	return (struct estimate){
		.run_us = run_us,
		.wait_us = MIN(wait_us, turn_us) +
			   queue_us * class_factor(stay, class),
	};
}

/* RETURN VALUE: the time to the answer; INFINITY if nothing is known of the
 * service time. */
static double expected_us(const struct stay *stay, const struct pick_set *set,
			  const struct pick_candidate *candidate,
			  enum config_class class, int64_t now_us)
{
	struct estimate e = estimate_at(stay, set, candidate, class, now_us);

	return e.run_us > 0 ? e.run_us + e.wait_us : INFINITY;
}

/* RETURN VALUE: whether the host ran slow when it reported last, which pick has
 * forgotten by now. Such a host seems idle and is tried again, but not by a
 * request that gives up another domain for it. */
static bool was_slow(const struct pick_set *set,
		     const struct pick_candidate *candidate, int64_t now_us)
{
	return !pick_is_pace_known(candidate, now_us) &&
	       candidate->load.pace_percent &&
	       pace_is_worse(candidate->load.pace_percent, set->assumed_pace);
}

/* RETURN VALUE: whether an upstream of another domain seems to have a free
 * slot. */
static bool has_room_elsewhere(const struct pick_set *set,
			       const struct pick_tried *tried, int64_t now_us)
{
	for (guint i = 0; i < set->candidates->len; i++) {
		const struct pick_candidate *c = set->candidates->pdata[i];

		if (!c->local && pick_is_eligible(c, tried) &&
		    pick_has_room(set, c, now_us))
			return true;
	}
	return false;
}

/* RETURN VALUE: whether a request may wait at the candidate. */
static bool may_wait_at(const struct stay *stay, const struct pick_set *set,
			const struct pick_candidate *candidate,
			const struct stay_request *request,
			const struct pick_tried *tried, int64_t now_us)
{
	struct estimate e;

	if (!candidate->local || !pick_is_eligible(candidate, tried) ||
	    !candidate->load_known || candidate->load.limit == 0 ||
	    now_us - candidate->load_at_us > STAY_REPORT_US ||
	    now_us < candidate->waits_until_us ||
	    was_slow(set, candidate, now_us) ||
	    pick_relative_latency(set, candidate, now_us) > STAY_SLOWNESS_MAX)
		return false;
	e = estimate_at(stay, set, candidate, request->class, now_us);
	return e.run_us > 0 && e.wait_us <= e.run_us &&
	       e.run_us + e.wait_us <=
		       STAY_SHARE * (double)request->target_left_us &&
	       (candidate->load.queued == 0 ||
		!has_room_elsewhere(set, tried, now_us));
}

static bool has_local(const struct pick_set *set, const struct pick_tried *tried)
{
	for (guint i = 0; i < set->candidates->len; i++) {
		const struct pick_candidate *c = set->candidates->pdata[i];

		if (c->local && pick_is_eligible(c, tried))
			return true;
	}
	return false;
}

/* RETURN VALUE: the best of a few random local candidates that are expected to
 * answer within some time; NULL if there is none. */
static struct pick_candidate *choose_local(const struct stay *stay,
					   struct pick_set *set,
					   const struct stay_request *request,
					   const struct pick_tried *tried,
					   int64_t now_us)
{
	GPtrArray *in_time = set->eligible;
	struct pick_candidate *best = NULL;
	double best_us = INFINITY;

	g_ptr_array_set_size(in_time, 0);
	for (guint i = 0; i < set->candidates->len; i++) {
		struct pick_candidate *c = set->candidates->pdata[i];

		if (may_wait_at(stay, set, c, request, tried, now_us))
			g_ptr_array_add(in_time, c);
	}
	for (guint i = 0; i < STAY_CHOICES && in_time->len > 0; i++) {
		struct pick_candidate *c = g_ptr_array_remove_index_fast(
			in_time, (guint)random_below(&set->random, in_time->len));
		double c_us = expected_us(stay, set, c, request->class, now_us);

		if (c_us < best_us) {
			best = c;
			best_us = c_us;
		}
	}
	return best;
}

static bool meets_target(const struct stay *stay, const struct pick_set *set,
			 const struct pick_candidate *candidate,
			 const struct stay_request *request, int64_t now_us)
{
	return expected_us(stay, set, candidate, request->class, now_us) <=
	       (double)request->target_left_us;
}

static void skip_none(struct pick_set *set)
{
	for (guint i = 0; i < set->candidates->len; i++)
		((struct pick_candidate *)set->candidates->pdata[i])->skipped =
			false;
}

/* RETURN VALUE: whether a candidate of another domain that is not skipped
 * reported a free slot last. */
static bool has_reported_room(const struct pick_set *set,
			      const struct pick_tried *tried, int64_t now_us)
{
	for (guint i = 0; i < set->candidates->len; i++) {
		const struct pick_candidate *c = set->candidates->pdata[i];

		if (!c->local && pick_is_eligible(c, tried) && c->load_known &&
		    c->load.running + c->load.queued < c->load.limit &&
		    pick_has_room(set, c, now_us))
			return true;
	}
	return false;
}

/* Skips the candidates of other domains that refused a call of this class
 * recently, if another one reported a free slot: otherwise the call would wait
 * at a slow or full local upstream. RETURN VALUE: their number. */
static uint32_t skip_refused(struct pick_set *set,
			     const struct stay_request *request,
			     const struct pick_tried *tried, int64_t now_us)
{
	uint32_t skipped = 0;

	if (!request->has_target)
		return 0;
	for (guint i = 0; i < set->candidates->len; i++) {
		struct pick_candidate *c = set->candidates->pdata[i];

		c->skipped = false;
		if (!pick_is_eligible(c, tried) ||
		    !has_refused_recently(c, request->class, now_us))
			continue;
		c->skipped = true;
		skipped++;
	}
	if (skipped == 0 || pick_count_untried(set, tried) == 0 ||
	    has_reported_room(set, tried, now_us))
		return skipped;
	skip_none(set);
	return 0;
}

/* Notes until when an attempt that is sent there is expected to wait. */
static void note_wait(const struct stay *stay, const struct pick_set *set,
		      struct pick_candidate *candidate, enum config_class class,
		      int64_t now_us)
{
	struct estimate e = estimate_at(stay, set, candidate, class, now_us);

	candidate->waits_until_us = now_us + (int64_t)e.wait_us;
}

/* RETURN VALUE: whether the local candidate may queue the attempt because it is
 * in time there and no other local one seems to have room. */
static bool may_queue_locally(const struct stay *stay, struct pick_set *set,
			      struct pick_candidate *candidate,
			      const struct stay_request *request,
			      const struct pick_tried *tried, int64_t now_us)
{
	if (!request->has_target || !request->may_wait ||
	    !may_wait_at(stay, set, candidate, request, tried, now_us))
		return false;
	for (guint i = 0; i < set->candidates->len; i++) {
		const struct pick_candidate *other = set->candidates->pdata[i];

		if (other != candidate && other->local &&
		    pick_is_eligible(other, tried) &&
		    !pace_is_worse(pick_pace(set, other, now_us),
				   pick_pace(set, candidate, now_us)) &&
		    pick_has_room(set, other, now_us))
			return false;
	}
	if (!pick_has_room(set, candidate, now_us))
		note_wait(stay, set, candidate, request->class, now_us);
	return true;
}

/* Decides for a request that pick sent to another domain. */
static void stay_or_leave(const struct stay *stay, struct pick_set *set,
			  const struct stay_request *request,
			  const struct pick_tried *tried, int64_t now_us,
			  struct stay_choice *choice)
{
	struct pick_candidate *local;

	choice->reason = STAY_LEFT_LATE;
	if (!request->has_target)
		choice->reason = STAY_LEFT_NO_TARGET;
	else if (!request->may_wait)
		choice->reason = STAY_LEFT_NO_WAIT;
	else if (!has_local(set, tried))
		choice->reason = STAY_LEFT_NO_LOCAL;
	if (choice->reason != STAY_LEFT_LATE)
		return;
	local = choose_local(stay, set, request, tried, now_us);
	if (!local)
		return;
	note_wait(stay, set, local, request->class, now_us);
	choice->candidate = local;
	choice->reason = STAY_WAITS;
	choice->may_queue = true;
}

struct stay_choice stay_choose(const struct stay *stay, struct pick_set *set,
			       const struct stay_request *request,
			       const struct pick_tried *tried, int64_t now_us)
{
	struct stay_choice choice = {.reason = STAY_HOME};

	choice.skipped = skip_refused(set, request, tried, now_us);
	choice.candidate = pick_choose(set, tried, now_us);
	if (!choice.candidate && choice.skipped > 0) {
		skip_none(set);
		choice.skipped = 0;
		choice.may_queue = true;
		choice.candidate = pick_choose(set, tried, now_us);
	}
	if (!choice.candidate)
		return choice;
	if (choice.candidate->local)
		choice.may_queue |= may_queue_locally(
			stay, set, choice.candidate, request, tried, now_us);
	else
		stay_or_leave(stay, set, request, tried, now_us, &choice);
	skip_none(set); /* pick_may_queue() counts them as alternatives */
	choice.may_queue |= pick_may_queue(set, choice.candidate, tried,
					   request->last_attempt, now_us);
	return choice;
}

struct pick_candidate *stay_choose_parallel(struct pick_set *set,
					    const struct stay_request *request,
					    const struct pick_tried *tried,
					    int64_t now_us)
{
	uint32_t skipped = skip_refused(set, request, tried, now_us);
	struct pick_candidate *chosen = pick_choose(set, tried, now_us);

	skip_none(set);
	if (!chosen && skipped > 0)
		chosen = pick_choose(set, tried, now_us);
	return chosen;
}

bool stay_may_leave(const struct stay *stay, struct pick_set *set,
		    const struct stay_request *request,
		    const struct pick_tried *tried, int64_t now_us)
{
	bool found = false;

	skip_refused(set, request, tried, now_us);
	for (guint i = 0; i < set->candidates->len && !found; i++) {
		const struct pick_candidate *c = set->candidates->pdata[i];

		found = !c->local && pick_is_eligible(c, tried) &&
			meets_target(stay, set, c, request, now_us);
	}
	skip_none(set);
	return found;
}
