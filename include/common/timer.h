/*
 * NAME
 *	timer - libev's timers in the units of clock
 */
#ifndef COMMON_TIMER_H
#define COMMON_TIMER_H

#include <ev.h>
#include <stdint.h>

/* Lets the timer fire once, so long from now, whether it was running or not; less
 * than 0 counts as 0. */
void timer_restart_us(struct ev_loop *loop, ev_timer *timer, int64_t us);

#endif
