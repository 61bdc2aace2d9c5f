#include "precise_timer.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "common/clock.h"

#define NS_PER_US 1000

static void handle_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct precise_timer *timer = io->data;
	uint64_t expirations;

	(void)loop;
	(void)events;
	if (read(io->fd, &expirations, sizeof(expirations)) > 0)
		timer->handle_due(timer->data);
}

void precise_timer_init(struct precise_timer *timer, struct ev_loop *loop,
			void (*handle_due)(void *data), void *data)
{
	int fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);

	if (fd < 0) {
		perror("timerfd_create");
		exit(1);
	}
	timer->loop = loop;
	timer->handle_due = handle_due;
	timer->data = data;
	ev_io_init(&timer->io, handle_readable, fd, EV_READ);
	timer->io.data = timer;
	ev_io_start(loop, &timer->io);
}

void precise_timer_finish(struct precise_timer *timer)
{
	ev_io_stop(timer->loop, &timer->io);
	close(timer->io.fd);
}

void precise_timer_set(struct precise_timer *timer, int64_t due_us)
{
	/* timerfd_settime() disarms the timer if the time is 0. */
	int64_t at_us = due_us > 0 ? due_us : 1;
	struct itimerspec spec = {
		.it_value.tv_sec = (time_t)(at_us / US_PER_S),
		.it_value.tv_nsec = (long)(at_us % US_PER_S) * NS_PER_US,
	};

	timerfd_settime(timer->io.fd, TFD_TIMER_ABSTIME, &spec, NULL);
}
