/*
 * NAME
 *	precise_timer - a one-shot timer on the loop, finer than a millisecond
 *
 * DESCRIPTION
 *	libev waits in whole milliseconds, rounded up. Service times and
 *	arrivals of a stand-in would be that much late, which is more than
 *	what is to be measured.
 */
#ifndef STANDIN_PRECISE_TIMER_H
#define STANDIN_PRECISE_TIMER_H

#include <ev.h>
#include <stdint.h>

struct precise_timer {
	struct ev_loop *loop;
	ev_io io;
	void (*handle_due)(void *data);
	void *data;
};

/* Ends the process where the kernel has no timer left. */
void precise_timer_init(struct precise_timer *timer, struct ev_loop *loop,
			void (*handle_due)(void *data), void *data);
void precise_timer_finish(struct precise_timer *timer);

/* Monotonic time in microseconds; one that has passed is due at once. */
void precise_timer_set(struct precise_timer *timer, int64_t due_us);

#endif
