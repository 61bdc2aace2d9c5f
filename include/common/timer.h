/*
 * NAME
 *	timer - sets libev timers in microseconds
 */
#ifndef COMMON_TIMER_H
#define COMMON_TIMER_H

#include <ev.h>
#include <stdint.h>

/* Makes the timer fire once after us microseconds, whether or not it was active.
 * A negative value counts as 0. */
void timer_restart_us(struct ev_loop *loop, ev_timer *timer, int64_t us);

#endif
