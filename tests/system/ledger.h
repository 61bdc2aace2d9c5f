/*
 * NAME
 *	ledger - compares the outcomes that callers got with what ran
 *
 * DESCRIPTION
 *	The load generator makes GET calls (idempotent) and POST calls (not
 *	idempotent) and logs each of them. Each upstream records the id of each
 *	request before it runs it, so that the record survives a SIGKILL. The
 *	ledger joins both by the id and counts violations.
 *
 *	The deadline is that of LEDGER_CONFIG. A call may end LEDGER_MARGIN_MS
 *	later, because the daemons of the tests run under sanitizers on a
 *	machine that other processes use as well.
 */
#ifndef TESTS_SYSTEM_LEDGER_H
#define TESTS_SYSTEM_LEDGER_H

#include "cluster.h"

/* Both rules allow retries, so that only the fact that a POST may have run
 * keeps the entry from retrying it. */
#define LEDGER_CONFIG                                                      \
	"{\"namespace\": \"t\", \"services\": {\"s\": {\n"                 \
	"  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"                \
	"  \"rules\": [\n"                                                 \
	"   {\"name\": \"get\", \"methods\": [\"GET\", \"HEAD\"],\n"       \
	"    \"idempotent\": true, \"deadline_ms\": 2000,\n"               \
	"    \"retry\": {\"max_attempts\": 3, \"budget_percent\": 20}},\n" \
	"   {\"name\": \"post\", \"deadline_ms\": 2000,\n"                 \
	"    \"retry\": {\"max_attempts\": 3, \"budget_percent\": 20}}\n"  \
	"  ]}}}\n"

#define LEDGER_DEADLINE_MS 2000
#define LEDGER_MARGIN_MS 1000

struct ledger_load {
	struct rig_process *process;
	const char *calls_file;
};

struct ledger {
	/* Outcomes that callers got. */
	unsigned int calls;
	unsigned int posts; /* calls that are not idempotent */
	unsigned int run; /* complete answers, whatever their status */
	unsigned int served; /* complete answers with a 2xx status */
	unsigned int not_run;
	unsigned int unknown;
	unsigned int broken; /* connection lost before or during the answer */
	unsigned int unconnected; /* no connection to the daemon */
	/* Violations. */
	unsigned int duplicate_runs; /* POST that ran more than once */
	unsigned int false_not_run; /* "not run", but an upstream ran it */
	unsigned int false_run; /* "run" with a 2xx, but no upstream ran it */
	unsigned int wrong; /* answer of another request, or incomplete */
	unsigned int late; /* not over at the deadline plus the margin */
	unsigned int without_outcome; /* complete answer with no outcome field */
};

/* Starts a load that uses the daemons of the mask (bit i: daemon i) in turn. */
struct ledger_load ledger_start_load(struct cluster *cluster,
				     unsigned int daemons, const char *rate,
				     const char *seconds, const char *seed);

/* Waits until the load has ended and adds its calls to the ledger. */
void ledger_collect(struct ledger *ledger, struct cluster *cluster,
		    struct ledger_load *load);

/* Same as ledger_collect(), for a load that lasts the given seconds longer. */
void ledger_collect_within(struct ledger *ledger, struct cluster *cluster,
			   struct ledger_load *load, int seconds);

/* RETURN VALUE: the number of violations. */
unsigned int ledger_violations(const struct ledger *ledger);

/* Prints the ledger as a test message and asserts that it has no violations. */
void ledger_assert_no_violations(const struct ledger *ledger);

#endif
