#include "common/slice.h"

#include "common/clock.h"

struct job {
	void (*run)(void *data);
	GDestroyNotify free_data;
	void *data;
};

struct slices {
	struct ev_loop *loop;
	ev_timer timer;
	GQueue jobs;
	int64_t began_us; /* this slice of the job that runs */
};

/* Whose job runs; NULL: none does. */
static struct slices *running;

static void job_free(struct job *job)
{
	job->free_data(job->data);
	g_free(job);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct slices *slices = timer->data;
	struct job *job;

	(void)events;
	if (running)
		return; /* it goes on with the queue */
	running = slices;
	while ((job = g_queue_pop_head(&slices->jobs))) {
		slices->began_us = clock_mono_us();
		job->run(job->data);
		job_free(job);
	}
	running = NULL;
	ev_timer_stop(loop, timer);
}

struct slices *slices_create(struct ev_loop *loop)
{
	struct slices *slices = g_new0(struct slices, 1);

	slices->loop = loop;
	g_queue_init(&slices->jobs);
	ev_init(&slices->timer, handle_timer);
	slices->timer.data = slices;
	return slices;
}

void slices_destroy(struct slices *slices)
{
	struct job *job;

	if (!slices)
		return;
	ev_timer_stop(slices->loop, &slices->timer);
	while ((job = g_queue_pop_head(&slices->jobs)))
		job_free(job);
	g_free(slices);
}

void slices_add(struct slices *slices, void (*run)(void *data),
		GDestroyNotify free_data, void *data)
{
	struct job *job;

	if (!slices) {
		run(data);
		free_data(data);
		return;
	}
	job = g_new0(struct job, 1);
	job->run = run;
	job->free_data = free_data;
	job->data = data;
	g_queue_push_tail(&slices->jobs, job);
	if (ev_is_active(&slices->timer) || running == slices)
		return;
	ev_timer_set(&slices->timer, 0.0, 0.0);
	ev_timer_start(slices->loop, &slices->timer);
}

void slice_pause(void)
{
	if (!running || clock_mono_us() - running->began_us < SLICE_US)
		return;
	ev_run(running->loop, EVRUN_NOWAIT);
	running->began_us = clock_mono_us();
}
