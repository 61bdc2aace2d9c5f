/*
 * NAME
 *	ledger - what callers were told, held against what was run
 *
 * DESCRIPTION
 *	A load of GET (idempotent) and POST (not) calls writes a line for each
 *	call, and each upstream writes the id of each run, also if it is killed
 *	later. The ledger puts both together and counts what must never be.
 *
 *	The deadline is that of LEDGER_CONFIG. A call may end LEDGER_MARGIN_MS
 *	after it: the daemons of the tests run under sanitizers, on a machine
 *	that others use.
 */
#ifndef TESTS_SYSTEM_LEDGER_H
#define TESTS_SYSTEM_LEDGER_H

#include "cluster.h"

/* Both kinds of call have attempts left, so that what keeps a POST from being
 * sent again is that it may have run, and nothing else. */
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
	/* What callers were told. */
	unsigned int calls;
	unsigned int posts; /* of them, not idempotent */
	unsigned int run; /* whole, whatever its status */
	unsigned int served; /* of them, 2xx */
	unsigned int not_run;
	unsigned int unknown;
	unsigned int broken; /* connection cut, before or in the answer */
	unsigned int unconnected;
	/* What must never be. */
	unsigned int duplicate_runs; /* POST that ran more than once */
	unsigned int false_not_run; /* said "not run", and it ran */
	unsigned int false_run; /* said "run" with a 2xx, and none ran it */
	unsigned int wrong; /* another's answer, or not the whole */
	unsigned int late; /* no end by the deadline and margin */
	unsigned int without_outcome; /* a whole answer that tells no outcome */
};

/* Calls through the daemons of the mask (bit i: daemon i), by turns. */
struct ledger_load ledger_start_load(struct cluster *cluster,
				     unsigned int daemons, const char *rate,
				     const char *seconds, const char *seed);

/* Waits for the load's end and adds its calls to the ledger. */
void ledger_collect(struct ledger *ledger, struct cluster *cluster,
		    struct ledger_load *load);

/* The same for a load that goes on for so long. */
void ledger_collect_within(struct ledger *ledger, struct cluster *cluster,
			   struct ledger_load *load, int seconds);

/* Sums what must never be. */
unsigned int ledger_violations(const struct ledger *ledger);

/* Prints the ledger as a test message, and asserts that there are none. */
void ledger_assert_no_violations(const struct ledger *ledger);

#endif
