/*
 * NAME
 *	verdict - holds what callers were told against what was run
 *
 * DESCRIPTION
 *	Each promise is a point with a count of cases and of violations. What a
 *	caller may be told depends on the faults of its time: nobody can serve a
 *	caller whose own daemon was killed, but nobody else may notice that.
 */
#ifndef TESTS_SOAK_VERDICT_H
#define TESTS_SOAK_VERDICT_H

#include "span.h"

enum invariant {
	INVARIANT_OWN_ANSWER, /* an answer is whole, the caller's own, and was run */
	INVARIANT_NOT_RUN, /* "not run" is true */
	INVARIANT_AT_MOST_ONCE, /* what may not be repeated runs at most once */
	INVARIANT_DEADLINE, /* each call ends by its deadline */
	INVARIANT_CONNECTION_KEPT, /* no connection breaks where the daemon goes on */
	INVARIANT_SERVED, /* where no harm is done, each call is served */
	INVARIANT_DRAINED, /* a draining upstream gets no new work */
	INVARIANT_CONFIG, /* a configuration in force everywhere stays */
	INVARIANT_CLEAN_EXIT, /* no program ends by itself, and each ends well */
	INVARIANT_RECOVERY, /* after the last fault all is well again */
	INVARIANTS,
};

struct verdict {
	uint64_t checked[INVARIANTS];
	uint64_t violated[INVARIANTS];
	uint64_t refused_by_stopping_entry; /* beside planned stops of their entry */
	uint64_t unknown_outcomes; /* of unknown outcome, all told */
};

/* Counts a case; a violation is printed with its reason. */
void verdict_check(struct verdict *verdict, enum invariant invariant, bool held,
		   const char *format, ...) G_GNUC_PRINTF(4, 5);

/* The calls of one entry, as the load wrote them; is_last: after all faults. */
void verdict_check_calls(struct verdict *verdict, const struct fleet *fleet,
			 const struct spans *spans, unsigned int entry,
			 const char *calls_file, bool is_last);

/* RETURN VALUE: the number of violations. */
uint64_t verdict_print(const struct verdict *verdict);

#endif
