/*
 * NAME
 *	precise_timer - one-shot timer on the event loop, finer than 1 ms
 *
 * DESCRIPTION
 *	libev rounds its timeouts up to whole milliseconds. With its timers, the
 *	service times and arrivals of a stand-in would be late by up to 1 ms,
 *	which is more than the effects that the tests and benchmarks measure.
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

/* Exits the process if the kernel can't create another timer. */
void precise_timer_init(struct precise_timer *timer, struct ev_loop *loop,
			void (*handle_due)(void *data), void *data);
void precise_timer_finish(struct precise_timer *timer);

/* due_us is monotonic time in microseconds. A time in the past expires at
 * once. */
void precise_timer_set(struct precise_timer *timer, int64_t due_us);

#endif
