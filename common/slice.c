#include "common/slice.h"

#include "common/clock.h"

struct job {
	void (*run)(void *data);
	GDestroyNotify free_data;
	void *data;
};

struct slice_queue {
	struct ev_loop *loop;
	ev_timer timer;
	GQueue jobs;
	int64_t began_us; /* start of the current slice */
};

/* The queue whose job runs; NULL: none. */
static struct slice_queue *running;

static void job_free(struct job *job)
{
	job->free_data(job->data);
	g_free(job);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct slice_queue *slice_queue = timer->data;
	struct job *job;

	(void)events;
	/* slice_yield() runs the loop within a job, but only one job runs at a
	 * time. The outer call of this function continues with its queue. */
	if (running)
		return;
	running = slice_queue;
	while ((job = g_queue_pop_head(&slice_queue->jobs))) {
		slice_queue->began_us = clock_mono_us();
		job->run(job->data);
		job_free(job);
	}
	running = NULL;
	ev_timer_stop(loop, timer);
}

struct slice_queue *slice_queue_create(struct ev_loop *loop)
{
	struct slice_queue *slice_queue = g_new0(struct slice_queue, 1);

	slice_queue->loop = loop;
	g_queue_init(&slice_queue->jobs);
	ev_init(&slice_queue->timer, handle_timer);
	slice_queue->timer.data = slice_queue;
	return slice_queue;
}

void slice_queue_destroy(struct slice_queue *slice_queue)
{
	struct job *job;

	if (!slice_queue)
		return;
	ev_timer_stop(slice_queue->loop, &slice_queue->timer);
	while ((job = g_queue_pop_head(&slice_queue->jobs)))
		job_free(job);
	g_free(slice_queue);
}

void slice_queue_add(struct slice_queue *slice_queue, void (*run)(void *data),
		     GDestroyNotify free_data, void *data)
{
	struct job *job;

	if (!slice_queue) {
		run(data);
		free_data(data);
		return;
	}
	job = g_new0(struct job, 1);
	job->run = run;
	job->free_data = free_data;
	job->data = data;
	g_queue_push_tail(&slice_queue->jobs, job);
	if (ev_is_active(&slice_queue->timer) || running == slice_queue)
		return;
	ev_timer_set(&slice_queue->timer, 0.0, 0.0);
	ev_timer_start(slice_queue->loop, &slice_queue->timer);
}

void slice_yield(void)
{
	if (!running || clock_mono_us() - running->began_us < SLICE_US)
		return;
	ev_run(running->loop, EVRUN_NOWAIT);
	running->began_us = clock_mono_us();
}
