#include "schedule.h"

#define ROUGH_MS 8000
#define PLANNED_MS 12000
#define ROUND_MS (ROUGH_MS + SCHEDULE_REST_MS + PLANNED_MS)
/* The last fault ends so long before the end at least. */
#define QUIET_END_MS 1000
/* Mean time between two faults for each six hosts, so that several of them are
 * under way at any moment. */
#define GAP_MS 500
#define GAP_HOSTS 6
/* A host is stopped on purpose only while most of the others are up. */
#define PLANNED_PART 3

struct drawing {
	GRand *random;
	GArray *events;
	unsigned int hosts;
	int64_t *busy_until_ms; /* by part and host */
};

static int64_t *busy_until(const struct drawing *drawing,
			   const struct fault *fault, unsigned int host)
{
	if (!fault_part_is_of_host(fault->part))
		host = 0;
	return &drawing->busy_until_ms[fault->part * drawing->hosts + host];
}

static bool is_rough(int64_t at_ms)
{
	return at_ms % ROUND_MS < ROUGH_MS;
}

static bool is_rest(int64_t at_ms)
{
	int64_t in_round = at_ms % ROUND_MS;

	return in_round >= ROUGH_MS && in_round < ROUGH_MS + SCHEDULE_REST_MS;
}

/* Faults that do harm end with their rough time. */
static int64_t most_ms(const struct fault *fault, int64_t at_ms)
{
	int64_t left_ms = ROUGH_MS - at_ms % ROUND_MS;

	if (fault->harm == HARM_NONE)
		return fault->most_ms;
	return MIN(fault->most_ms, left_ms);
}

/* Planned changes of a daemon or an upstream that are under way. */
static unsigned int count_planned(const struct drawing *drawing, int64_t at_ms)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < drawing->hosts; i++) {
		count +=
			drawing->busy_until_ms[PART_DAEMON * drawing->hosts + i] >
				at_ms ||
			drawing->busy_until_ms[PART_UPSTREAM * drawing->hosts + i] >
				at_ms;
	}
	return count;
}

static bool may_come(const struct drawing *drawing, const struct fault *fault,
		     unsigned int host, int64_t at_ms)
{
	bool concerns_host =
		fault->part == PART_DAEMON || fault->part == PART_UPSTREAM;

	if (fault->harm != HARM_NONE &&
	    (!is_rough(at_ms) || most_ms(fault, at_ms) < fault->least_ms))
		return false;
	if (concerns_host && !is_rough(at_ms) &&
	    PLANNED_PART * count_planned(drawing, at_ms) >= drawing->hosts)
		return false;
	return *busy_until(drawing, fault, host) <= at_ms;
}

static void add(struct drawing *drawing, const struct fault *fault,
		unsigned int host, int64_t at_ms)
{
	struct schedule_event event = {
		.at_ms = at_ms,
		.fault = fault,
		.host = host,
	};

	event.for_ms = g_rand_int_range(drawing->random, fault->least_ms,
					(gint32)most_ms(fault, at_ms) + 1);
	if (fault->is_over)
		event.for_ms = fault->most_ms;
	/* How long a daemon takes to stop is known beforehand about. */
	*busy_until(drawing, fault, host) =
		at_ms +
		(fault->is_over ? (FLEET_GRACE_S + 1) * 1000 : event.for_ms) + 1;
	g_array_append_val(drawing->events, event);
}

GArray *schedule_create(guint32 seed, unsigned int hosts, int seconds)
{
	struct drawing drawing = {
		.random = g_rand_new_with_seed(seed),
		.events = g_array_new(FALSE, FALSE, sizeof(struct schedule_event)),
		.hosts = hosts,
		.busy_until_ms = g_new0(int64_t, PARTS * hosts),
	};
	int64_t end_ms = seconds * 1000 - QUIET_END_MS;
	double gap_ms = (double)GAP_MS * GAP_HOSTS / hosts;
	double at_ms = 0;

	while (at_ms < (double)end_ms) {
		const struct fault *fault = &faults[g_rand_int_range(
			drawing.random, 0, (gint32)fault_count)];
		unsigned int host = (unsigned int)g_rand_int_range(
			drawing.random, 0, (gint32)hosts);

		if (!is_rest((int64_t)at_ms) &&
		    may_come(&drawing, fault, host, (int64_t)at_ms)) {
			add(&drawing, fault, host, (int64_t)at_ms);
			at_ms += g_rand_double_range(drawing.random, 0,
						     2 * gap_ms);
		} else {
			at_ms += 1 + gap_ms / 50;
		}
	}
	g_rand_free(drawing.random);
	g_free(drawing.busy_until_ms);
	return drawing.events;
}
