#include "schedule.h"

#define DISRUPTED_MS 8000
#define PLANNED_MS 12000
#define ROUND_MS (DISRUPTED_MS + SCHEDULE_RECOVERY_MS + PLANNED_MS)
/* No fault begins in this time before the end. */
#define END_MARGIN_MS 1000
/* The number of hosts for which the mean time between two faults is given. */
#define GAP_HOSTS 6
/* Outside the disrupted phase at most about a third of the hosts may have a
 * fault of their daemon or upstream, so that most of them are up. */
#define PLANNED_DIVISOR 3

struct builder {
	GRand *random;
	GArray *events;
	unsigned int hosts;
	int64_t *busy_until_ms; /* indexed by part and host */
};

static int64_t *busy_until(const struct builder *builder,
			   const struct fault *fault, unsigned int host)
{
	if (!fault_part_is_per_host(fault->part))
		host = 0;
	return &builder->busy_until_ms[fault->part * builder->hosts + host];
}

static bool is_disrupted_phase(int64_t at_ms)
{
	return at_ms % ROUND_MS < DISRUPTED_MS;
}

static bool is_recovery_phase(int64_t at_ms)
{
	int64_t in_round = at_ms % ROUND_MS;

	return in_round >= DISRUPTED_MS &&
	       in_round < DISRUPTED_MS + SCHEDULE_RECOVERY_MS;
}

/* RETURN VALUE: the longest duration. Faults with an impact end within their
 * disrupted phase. */
static int64_t max_ms(const struct fault *fault, int64_t at_ms)
{
	int64_t left_ms = DISRUPTED_MS - at_ms % ROUND_MS;

	if (fault->impact == IMPACT_NONE)
		return fault->max_ms;
	return MIN(fault->max_ms, left_ms);
}

/* RETURN VALUE: how many hosts have an active fault of their daemon or
 * upstream. */
static unsigned int count_busy_hosts(const struct builder *builder, int64_t at_ms)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < builder->hosts; i++) {
		count +=
			builder->busy_until_ms[PART_DAEMON * builder->hosts + i] >
				at_ms ||
			builder->busy_until_ms[PART_UPSTREAM * builder->hosts + i] >
				at_ms;
	}
	return count;
}

static bool may_schedule(const struct builder *builder, const struct fault *fault,
			 unsigned int host, int64_t at_ms)
{
	bool concerns_host =
		fault->part == PART_DAEMON || fault->part == PART_UPSTREAM;

	if (fault->impact != IMPACT_NONE &&
	    (!is_disrupted_phase(at_ms) || max_ms(fault, at_ms) < fault->min_ms))
		return false;
	if (concerns_host && !is_disrupted_phase(at_ms) &&
	    PLANNED_DIVISOR * count_busy_hosts(builder, at_ms) >= builder->hosts)
		return false;
	return *busy_until(builder, fault, host) <= at_ms;
}

static void add_event(struct builder *builder, const struct fault *fault,
		      unsigned int host, int64_t at_ms)
{
	struct schedule_event event = {
		.at_ms = at_ms,
		.fault = fault,
		.host = host,
	};

	event.for_ms = g_rand_int_range(builder->random, fault->min_ms,
					(gint32)max_ms(fault, at_ms) + 1);
	if (fault->is_over)
		event.for_ms = fault->max_ms;
	/* The time that a daemon takes to stop is only estimated here. */
	*busy_until(builder, fault, host) =
		at_ms +
		(fault->is_over ? (FLEET_GRACE_S + 1) * 1000 : event.for_ms) + 1;
	g_array_append_val(builder->events, event);
}

GArray *schedule_create(guint32 seed, unsigned int hosts, int seconds,
			int mean_gap_ms)
{
	struct builder builder = {
		.random = g_rand_new_with_seed(seed),
		.events = g_array_new(FALSE, FALSE, sizeof(struct schedule_event)),
		.hosts = hosts,
		.busy_until_ms = g_new0(int64_t, PARTS * hosts),
	};
	int64_t end_ms = seconds * 1000 - END_MARGIN_MS;
	double gap_ms = (double)mean_gap_ms * GAP_HOSTS / hosts;
	double at_ms = 0;

	while (at_ms < (double)end_ms) {
		const struct fault *fault = &faults[g_rand_int_range(
			builder.random, 0, (gint32)fault_count)];
		unsigned int host = (unsigned int)g_rand_int_range(
			builder.random, 0, (gint32)hosts);

		if (!is_recovery_phase((int64_t)at_ms) &&
		    may_schedule(&builder, fault, host, (int64_t)at_ms)) {
			add_event(&builder, fault, host, (int64_t)at_ms);
			at_ms += g_rand_double_range(builder.random, 0,
						     2 * gap_ms);
		} else {
			at_ms += 1 + gap_ms / 50;
		}
	}
	g_rand_free(builder.random);
	g_free(builder.busy_until_ms);
	return builder.events;
}
