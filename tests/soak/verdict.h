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

enum point {
	POINT_OWN, /* an answer is whole, the caller's own, and was run */
	POINT_NOT_RUN, /* "not run" is true */
	POINT_ONCE, /* what may not be repeated runs at most once */
	POINT_ENDS, /* each call ends by its deadline */
	POINT_KEPT, /* no connection breaks where the daemon goes on */
	POINT_CALM, /* where no harm is done, each call is served */
	POINT_LEAVES, /* a draining upstream gets no new work */
	POINT_CONFIG, /* a configuration in force everywhere stays */
	POINT_LIVES, /* no program ends by itself, and each ends well */
	POINT_RECOVERS, /* after the last fault all is well again */
	POINTS,
};

struct verdict {
	uint64_t tried[POINTS];
	uint64_t violated[POINTS];
	uint64_t refused_in_calm; /* beside planned stops of their entry */
	uint64_t outcomes_lost; /* of unknown outcome, all told */
};

/* Counts a case; a violation is printed with its reason. */
void verdict_note(struct verdict *verdict, enum point point, bool held,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);

/* The calls of one entry, as the load wrote them; is_last: after all faults. */
void verdict_take_calls(struct verdict *verdict, const struct fleet *fleet,
			const struct spans *spans, unsigned int entry,
			const char *calls_file, bool is_last);

/* RETURN VALUE: the number of violations. */
uint64_t verdict_print(const struct verdict *verdict);

#endif
