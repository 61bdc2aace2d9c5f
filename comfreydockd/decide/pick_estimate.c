#include <math.h>

#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/pick_estimate.h"

/* The weight of a report decays exponentially, since the work that it counted
 * ends. The time constant is this multiple of the typical latency, within these
 * bounds. */
#define PICK_AGE_LATENCIES 1.0
#define PICK_AGE_MIN_US 1000.0
#define PICK_AGE_MAX_US 1000000.0
/* An upstream without a fresh report is expected to have room while its
 * estimated work is below this multiple of its capacity. That estimate comes
 * from a mean, and some upstreams are free while the mean is slightly above
 * full. */
#define PICK_ROOM_UNKNOWN 1.5
/* Knowledge of an upstream's latency decays with this time constant, so that an
 * upstream that is avoided for being slow is tried again. */
#define PICK_LATENCY_AGE_US 10e6
/* Reported slowness below this factor is ignored: the reported median of some
 * twenty calls is too noisy. */
#define PICK_REPORTED_SLOW 2.0
#define PICK_SLOWNESS_MIN 0.5
#define PICK_SLOWNESS_MAX 20.0
/* Time constant with which the mean over an upstream's reports decays. */
#define PICK_CANDIDATE_MEAN_AGE_US 1e6
#define PICK_DEFAULT_LIMIT 8.0
/* A reported pace counts for this time, twice the usual duration of a slow
 * spell. An owner reports the end of a spell; if that report is lost, the host
 * is tried again after this time. */
#define PICK_PACE_MEMORY_US (1000 * 1000)

double pick_limit(const struct pick_candidate *candidate)
{
	if (candidate->load_known && candidate->load.limit > 0)
		return candidate->load.limit;
	return candidate->slots > 0 ? candidate->slots : PICK_DEFAULT_LIMIT;
}

double pick_capacity(const struct pick_candidate *candidate)
{
	return pick_limit(candidate) * MAX(candidate->warm_weight, PICK_WARM_MIN);
}

/* Returns the weight of the last report: 1 on arrival, falling toward 0 with
 * age. */
double pick_report_weight(const struct pick_set *set,
			  const struct pick_candidate *candidate, int64_t now_us)
{
	double age = (double)(now_us - candidate->load_at_us);
	double memory = CLAMP(PICK_AGE_LATENCIES * set->typical_latency_us,
			      PICK_AGE_MIN_US, PICK_AGE_MAX_US);

	return candidate->load_known ? exp(-age / memory) : 0;
}

/* Returns the utilisation by other entries that is expected once the last
 * report has decayed: the mean of the upstream's own reports or, a while after
 * the last of them, the mean over all upstreams. */
static double prior_utilisation(const struct pick_set *set,
				const struct pick_candidate *candidate,
				int64_t now_us)
{
	double age = (double)(now_us - candidate->load_at_us);
	double kept = candidate->load_known ?
			      exp(-age / PICK_CANDIDATE_MEAN_AGE_US) :
			      0;

	return kept * candidate->mean_others_utilisation +
	       (1 - kept) * set->mean_others_utilisation;
}

/* Returns the number of attempts that are estimated to run or wait at the
 * upstream. The attempt that is about to be placed is not included. */
double pick_work(const struct pick_set *set,
		 const struct pick_candidate *candidate, int64_t now_us)
{
	double prior = prior_utilisation(set, candidate, now_us) *
		       pick_capacity(candidate);
	double kept = pick_report_weight(set, candidate, now_us);

	return candidate->outstanding + kept * candidate->others_work +
	       (1 - kept) * prior;
}

double pick_utilisation(const struct pick_set *set,
			const struct pick_candidate *candidate, int64_t now_us)
{
	return (pick_work(set, candidate, now_us) + 1) / pick_capacity(candidate);
}

bool pick_has_room(const struct pick_set *set,
		   const struct pick_candidate *candidate, int64_t now_us)
{
	double kept = pick_report_weight(set, candidate, now_us);
	double room = kept + (1 - kept) * PICK_ROOM_UNKNOWN;

	return pick_work(set, candidate, now_us) <
	       room * pick_capacity(candidate);
}

bool pick_is_pace_known(const struct pick_candidate *candidate, int64_t now_us)
{
	return candidate->load.pace_percent &&
	       now_us - candidate->load_at_us <= PICK_PACE_MEMORY_US;
}

uint32_t pick_pace(const struct pick_set *set,
		   const struct pick_candidate *candidate, int64_t now_us)
{
	if (pick_is_pace_known(candidate, now_us))
		return candidate->load.pace_percent;
	return set->assumed_pace;
}

double pick_aged_latency_us(const struct pick_set *set,
			    const struct pick_candidate *candidate,
			    int64_t now_us)
{
	double age = (double)(now_us - candidate->latency_at_us);
	double kept = exp(-age / PICK_LATENCY_AGE_US);

	return kept * candidate->latency_us +
	       (1 - kept) * set->typical_latency_us;
}

/* Returns the service time that the owner reported, relative to the typical one
 * and aged toward 1; 0 if it is not clearly above. The owner sees all calls
 * there; one entry among hundreds sees only a few of its own. */
static double reported_slowness(const struct pick_set *set,
				const struct pick_candidate *candidate,
				int64_t now_us)
{
	double age = (double)(now_us - candidate->load_at_us);
	double kept = exp(-age / PICK_LATENCY_AGE_US);
	double slowness;

	if (!candidate->load_known || candidate->load.service_us == 0 ||
	    set->typical_service_us <= 0)
		return 0;
	slowness = candidate->load.service_us / set->typical_service_us;
	return slowness < PICK_REPORTED_SLOW ? 0 : 1 + kept * (slowness - 1);
}

/* Returns the latency that this entry measured, relative to the typical one and
 * aged toward 1. */
static double measured_slowness(const struct pick_set *set,
				const struct pick_candidate *candidate,
				int64_t now_us)
{
	if (candidate->latency_samples == 0 || set->typical_latency_us <= 0)
		return 1.0;
	return pick_aged_latency_us(set, candidate, now_us) /
	       set->typical_latency_us;
}

double pick_relative_latency(const struct pick_set *set,
			     const struct pick_candidate *candidate,
			     int64_t now_us)
{
	return CLAMP(MAX(measured_slowness(set, candidate, now_us),
			 reported_slowness(set, candidate, now_us)),
		     PICK_SLOWNESS_MIN, PICK_SLOWNESS_MAX);
}

double pick_score(const struct pick_set *set,
		  const struct pick_candidate *candidate, int64_t now_us)
{
	return pick_utilisation(set, candidate, now_us) *
	       pick_relative_latency(set, candidate, now_us);
}

double pick_outstanding_score(const struct pick_set *set,
			      const struct pick_candidate *candidate,
			      int64_t now_us)
{
	return (candidate->outstanding + 1.0) / pick_capacity(candidate) *
	       pick_relative_latency(set, candidate, now_us);
}
