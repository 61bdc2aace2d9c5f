#include <math.h>
#include <string.h>

#include "bench/decide/trace.h"
#include "comfreydockd/decide/random.h"

#define CALLERS 100
#define MEAN_WORK_US 10000.0
#define SHORT_WORK_US 5000.0
#define LONG_WORK_US 1000000.0
/* Half of all work is then in long jobs. */
#define LONG_SHARE 0.005
#define SLOW_FACTOR 10.0
#define BURST_FACTOR 4.0
#define HOT_SHARE 0.5

struct generator {
	const struct trace_plan *plan;
	struct trace *trace;
	struct random_state random;
	double mean_gap_us;
	int64_t length_us; /* expected */
};

struct kind {
	const char *name;
	double mean_work_us;
	double (*work_us)(struct generator *g);
	double (*rate)(const struct generator *g, int64_t at_us);
	uint32_t (*caller)(struct generator *g);
	void (*changes)(struct generator *g);
};

static double exponential(struct random_state *random, double mean)
{
	return -mean * log(1.0 - random_unit(random));
}

static double work_exponential(struct generator *g)
{
	return exponential(&g->random, MEAN_WORK_US);
}

static double work_long_among_short(struct generator *g)
{
	if (random_unit(&g->random) < LONG_SHARE)
		return LONG_WORK_US;
	return SHORT_WORK_US;
}

static double rate_steady(const struct generator *g, int64_t at_us)
{
	(void)g;
	(void)at_us;
	return 1.0;
}

/* Quiet, but for a rush in the middle tenth. */
static double rate_burst(const struct generator *g, int64_t at_us)
{
	bool rush = at_us > g->length_us * 45 / 100 &&
		    at_us < g->length_us * 55 / 100;

	return rush ? BURST_FACTOR : 1.0;
}

static uint32_t caller_any(struct generator *g)
{
	return (uint32_t)random_below(&g->random, CALLERS);
}

static uint32_t caller_hot(struct generator *g)
{
	return random_unit(&g->random) < HOT_SHARE ? 0 : caller_any(g);
}

static void changes_none(struct generator *g)
{
	(void)g;
}

static void changes_one_slow(struct generator *g)
{
	struct trace_speed slow = {g->length_us / 5, 0, SLOW_FACTOR};
	struct trace_speed again = {g->length_us * 4 / 5, 0, 1.0};

	g_array_append_val(g->trace->speeds, slow);
	g_array_append_val(g->trace->speeds, again);
}

static void add_fault(struct generator *g, enum trace_fault_kind kind)
{
	struct trace_fault begin = {g->length_us / 5, 0, kind};
	struct trace_fault end = {g->length_us * 4 / 5, 0, TRACE_FAULT_NONE};

	g_array_append_val(g->trace->faults, begin);
	g_array_append_val(g->trace->faults, end);
}

static void changes_fail_fast(struct generator *g)
{
	add_fault(g, TRACE_FAULT_FAST);
}

static void changes_black_hole(struct generator *g)
{
	add_fault(g, TRACE_FAULT_SILENT);
}

static const struct kind kinds[] = {
	{"steady", MEAN_WORK_US, work_exponential, rate_steady, caller_any,
	 changes_none},
	{"long-jobs", SHORT_WORK_US + LONG_SHARE *LONG_WORK_US,
	 work_long_among_short, rate_steady, caller_any, changes_none},
	{"slow-upstream", MEAN_WORK_US, work_exponential, rate_steady,
	 caller_any, changes_one_slow},
	{"burst", MEAN_WORK_US, work_exponential, rate_burst, caller_any,
	 changes_none},
	{"fail-fast", MEAN_WORK_US, work_exponential, rate_steady, caller_any,
	 changes_fail_fast},
	{"black-hole", MEAN_WORK_US, work_exponential, rate_steady, caller_any,
	 changes_black_hole},
	{"hot-caller", MEAN_WORK_US, work_exponential, rate_steady, caller_hot,
	 changes_none},
};

const char *trace_kinds(void)
{
	return "steady, long-jobs, slow-upstream, burst, fail-fast, "
	       "black-hole, "
	       "hot-caller";
}

static const struct kind *find_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			return &kinds[i];
	}
	return NULL;
}

static void add_calls(struct generator *g, const struct kind *kind)
{
	double at_us = 0;

	for (uint32_t i = 0; i < g->plan->calls; i++) {
		struct trace_call call;

		at_us += exponential(&g->random, g->mean_gap_us) /
			 kind->rate(g, (int64_t)at_us);
		call.at_us = (int64_t)at_us;
		call.entry =
			(uint32_t)random_below(&g->random, g->trace->entries);
		call.caller = kind->caller(g);
		call.work_us = (int64_t)kind->work_us(g);
		g_array_append_val(g->trace->calls, call);
	}
}

enum trace_status trace_generate(struct trace *trace,
				 const struct trace_plan *plan)
{
	const struct kind *kind = find_kind(plan->kind);
	struct generator g = {
		.plan = plan,
		.trace = trace,
		.random = {plan->seed},
	};

	if (!kind)
		return TRACE_UNKNOWN_KIND;
	g.mean_gap_us = kind->mean_work_us /
			(plan->load * trace->upstreams * trace->slots);
	g.length_us = (int64_t)(g.mean_gap_us * plan->calls);
	kind->changes(&g);
	add_calls(&g, kind);
	return TRACE_OK;
}
