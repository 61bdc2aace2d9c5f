/*
 * NAME
 *	freeze - accounts for the time in which the event loop was blocked
 *
 * DESCRIPTION
 *	freeze_take_mark(&mark);		at each tick of a timer
 *	freeze_log(EV_OWNER_FROZEN, gap_us, &mark);	when one came too late
 *
 *	The log line holds the gap in ms and these figures of the calling
 *	thread since the mark:
 *
 *	cpu_ms		time that it ran, in user and system mode
 *	waited_ms	time that it was runnable and had no CPU; -1: unknown
 *	major_faults	page faults that needed a read from disk
 *	voluntary	voluntary context switches: it blocked or was stopped
 *	involuntary	involuntary context switches: it was preempted
 *
 *	In the rest of the gap, beyond cpu_ms and waited_ms, the thread slept,
 *	was stopped, waited for a disk, or its virtual machine did not run.
 *	docs/OPERATIONS.md explains how to tell these cases apart. Only the
 *	main thread may call these functions, because /proc/self/schedstat,
 *	the source of waited_ms, describes that thread.
 *
 *	If /proc/self/schedstat can't be read, or the kernel does not collect
 *	these statistics, waited_ms is always -1 and the event
 *	daemon.schedstat-unreadable is logged once.
 *
 *	GROUNDS: getrusage(2) and schedstat are both read at each mark. An
 *	older reading would attribute earlier waits to the gap. bench-freeze
 *	measures the cost.
 */
#ifndef COMMON_FREEZE_H
#define COMMON_FREEZE_H

#include <stdint.h>

#include "common/log.h"

/* What the thread has used since its start or, from freeze_since(), since a mark. */
struct freeze_mark {
	int64_t cpu_us;
	int64_t waited_us; /* -1: unknown */
	int64_t major_faults;
	int64_t voluntary_switches;
	int64_t involuntary_switches;
};

/* Records what the thread has used up to now. */
void freeze_take_mark(struct freeze_mark *mark);

/* Computes what the thread has used since the mark. */
void freeze_since(const struct freeze_mark *mark, struct freeze_mark *used);

/* Logs the event with gap_us, the time between two ticks, and what the thread has
 * used since the mark. */
void freeze_log(enum event id, int64_t gap_us, const struct freeze_mark *mark);

#endif
