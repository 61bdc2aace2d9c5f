/*
 * NAME
 *	freeze - where the time went while the loop stood still
 *
 * DESCRIPTION
 *	freeze_mark(&mark);			at each tick of a timer
 *	freeze_log(EV_OWNER_FROZEN, gap_us, &mark);	when one came too late
 *
 *	The line has the gap in ms and, of the calling thread since the mark:
 *
 *	cpu_ms		it ran, in user and system mode
 *	waited_ms	it was ready to run and got no processor; -1: not known
 *	major_faults	pages that had to be read from a disk
 *	voluntary	times that it gave its processor up: to wait, or stopped
 *	involuntary	times that the processor was taken from it
 *
 *	What is in neither of the first two it slept, was stopped, waited for
 *	a disk, or its virtual machine did not run. docs/OPERATIONS.md tells
 *	them apart. To be called by the process's first thread: the time spent
 *	waiting is read from /proc/self/schedstat, which is about that one.
 *
 *	Where this file can't be read, or the kernel counts nothing, waited_ms
 *	stays -1 and daemon.schedstat-unreadable says so once.
 *
 *	GROUNDS: both are read at each mark, as a figure from long before the
 *	gap would count earlier waits into it. bench-freeze measures the cost.
 */
#ifndef COMMON_FREEZE_H
#define COMMON_FREEZE_H

#include <stdint.h>

#include "common/log.h"

struct freeze_mark {
	int64_t cpu_us;
	int64_t waited_us; /* -1: not known */
	int64_t major_faults;
	int64_t voluntary;
	int64_t involuntary;
};

/* What the thread has used up to now. */
void freeze_mark(struct freeze_mark *mark);

/* What it has used since the mark. */
void freeze_since(const struct freeze_mark *mark, struct freeze_mark *used);

void freeze_log(enum event id, int64_t gap_us, const struct freeze_mark *mark);

#endif
