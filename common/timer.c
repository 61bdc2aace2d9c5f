#include "common/timer.h"

#include <glib.h>

#include "common/clock.h"

void timer_restart_us(struct ev_loop *loop, ev_timer *timer, int64_t us)
{
	ev_timer_stop(loop, timer);
	ev_timer_set(timer, (double)MAX(us, 0) / US_PER_S, 0.0);
	ev_timer_start(loop, timer);
}
