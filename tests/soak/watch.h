/*
 * NAME
 *	watch - looks at the programs while the soak goes on
 *
 * DESCRIPTION
 *	No program may end that was not told to. No daemon may go back to an
 *	older configuration while it runs, nor have one that is older than what
 *	all had at one time. A daemon that has just been started may, for a
 *	moment: where the operator's row was set back meanwhile it can't know
 *	better until a peer tells.
 */
#ifndef TESTS_SOAK_WATCH_H
#define TESTS_SOAK_WATCH_H

#include "verdict.h"

struct watched {
	bool is_disturbed; /* it is being killed, paused, stopped */
	bool has_ended; /* already told */
	int64_t observed_since_us; /* seen since it was last disturbed */
	uint64_t version; /* the highest since then */
};

struct watch {
	struct fleet *fleet;
	struct verdict *verdict;
	uint64_t common_version; /* the version that all have had */
	struct watched *daemons; /* by host */
	int64_t next_us;
};

void watch_init(struct watch *watch, struct fleet *fleet,
		struct verdict *verdict);
void watch_finish(struct watch *watch);

/* The daemon of host i is being disturbed, or is so no more. */
void watch_set_disturbed(struct watch *watch, unsigned int i, bool is_disturbed);

/* Called often; looks a few times a second. */
void watch_poll(struct watch *watch);

/* Stops all daemons: each must end well within its time. */
void watch_stop_all(struct watch *watch);

#endif
