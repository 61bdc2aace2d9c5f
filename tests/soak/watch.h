/*
 * NAME
 *	watch - checks the running programs during the soak test
 *
 * DESCRIPTION
 *	No program may exit unless it was told to. No daemon may revert to an
 *	older configuration while it runs, nor have one that is older than a
 *	version that all daemons had at one time. A daemon that was just started
 *	may have one for a moment: if the operator's row was reverted meanwhile,
 *	it can't know the newer version until a peer sends it.
 */
#ifndef TESTS_SOAK_WATCH_H
#define TESTS_SOAK_WATCH_H

#include "verdict.h"

struct watched {
	bool is_disturbed; /* a fault kills, suspends or stops it */
	bool has_ended; /* its unexpected exit was reported */
	/* The first observation after the last fault; 0: none yet. */
	int64_t observed_since_us;
	uint64_t version; /* the highest version since then */
};

struct watch {
	struct fleet *fleet;
	struct verdict *verdict;
	uint64_t common_version; /* the highest version that all have had */
	struct watched *daemons; /* indexed by host */
	int64_t next_us;
};

void watch_init(struct watch *watch, struct fleet *fleet,
		struct verdict *verdict);
void watch_finish(struct watch *watch);

/* Reports that a fault of the daemon of host i begins or has ended. */
void watch_set_disturbed(struct watch *watch, unsigned int i, bool is_disturbed);

/* Checks the programs a few times per second. The caller calls it more
 * often. */
void watch_poll(struct watch *watch);

/* Stops all daemons and checks that each exits in time with status 0. */
void watch_stop_all(struct watch *watch);

#endif
