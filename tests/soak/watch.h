/*
 * NAME
 *	watch - looks at the programs while the soak goes on
 *
 * DESCRIPTION
 *	No program may end that was not told to. The configuration that all
 *	daemons had at one time may not be replaced by an older one at any.
 */
#ifndef TESTS_SOAK_WATCH_H
#define TESTS_SOAK_WATCH_H

#include "verdict.h"

struct watch {
	struct fleet *fleet;
	struct verdict *verdict;
	uint64_t floor; /* the version that all have had */
	bool *is_disturbed; /* by host: its daemon is being killed, ... */
	bool *has_ended; /* already told */
	int64_t next_us;
};

void watch_init(struct watch *watch, struct fleet *fleet,
		struct verdict *verdict);
void watch_finish(struct watch *watch);

/* Called often; looks a few times a second. */
void watch_look(struct watch *watch);

/* Stops all daemons: each must end well within its time. */
void watch_stop_all(struct watch *watch);

#endif
