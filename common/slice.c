#include "common/slice.h"

#include "common/clock.h"
#include "common/fiber.h"

struct job {
	void (*run)(void *data);
	GDestroyNotify free_data;
	void *data;
};

struct slice_queue {
	struct ev_loop *loop;
	ev_check check; /* runs a slice after the events of an iteration */
	ev_idle idle; /* keeps the loop from blocking while there are jobs */
	GQueue jobs;
	struct job *job; /* begun; NULL: none */
	struct fiber *fiber; /* runs job */
	int64_t began_us; /* start of the current slice */
	bool is_finishing; /* the job runs on to its end */
};

/* The queue on whose fiber the program runs now; NULL: none. */
static struct slice_queue *running;

static void job_free(struct job *job)
{
	job->free_data(job->data);
	g_free(job);
}

static void run_job(void *data)
{
	struct job *job = data;

	job->run(job->data);
}

/* Runs the job that has begun until its next yield or its end. */
static void run_slice(struct slice_queue *slice_queue)
{
	bool has_returned;

	slice_queue->began_us = clock_mono_us();
	running = slice_queue;
	has_returned = fiber_resume(slice_queue->fiber);
	running = NULL;
	if (!has_returned)
		return;
	g_clear_pointer(&slice_queue->fiber, fiber_destroy);
	g_clear_pointer(&slice_queue->job, job_free);
}

static void begin_next_job(struct slice_queue *slice_queue)
{
	slice_queue->job = g_queue_pop_head(&slice_queue->jobs);
	if (slice_queue->job)
		slice_queue->fiber = fiber_create(run_job, slice_queue->job);
}

static void handle_check(struct ev_loop *loop, ev_check *check, int events)
{
	struct slice_queue *slice_queue = check->data;

	(void)events;
	if (!slice_queue->job)
		begin_next_job(slice_queue);
	if (slice_queue->job)
		run_slice(slice_queue);
	if (slice_queue->job || !g_queue_is_empty(&slice_queue->jobs))
		return;
	ev_check_stop(loop, &slice_queue->check);
	ev_idle_stop(loop, &slice_queue->idle);
}

static void handle_idle(struct ev_loop *loop, ev_idle *idle, int events)
{
	(void)loop;
	(void)idle;
	(void)events;
}

struct slice_queue *slice_queue_create(struct ev_loop *loop)
{
	struct slice_queue *slice_queue = g_new0(struct slice_queue, 1);

	slice_queue->loop = loop;
	g_queue_init(&slice_queue->jobs);
	ev_check_init(&slice_queue->check, handle_check);
	ev_idle_init(&slice_queue->idle, handle_idle);
	/* Events that have arrived are handled before the next slice. */
	ev_set_priority(&slice_queue->check, EV_MINPRI);
	ev_set_priority(&slice_queue->idle, EV_MINPRI);
	slice_queue->check.data = slice_queue;
	return slice_queue;
}

void slice_queue_finish_job(struct slice_queue *slice_queue)
{
	if (!slice_queue->job)
		return;
	slice_queue->is_finishing = true;
	run_slice(slice_queue);
	slice_queue->is_finishing = false;
}

void slice_queue_destroy(struct slice_queue *slice_queue)
{
	struct job *job;

	if (!slice_queue)
		return;
	slice_queue_finish_job(slice_queue);
	ev_check_stop(slice_queue->loop, &slice_queue->check);
	ev_idle_stop(slice_queue->loop, &slice_queue->idle);
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
	ev_check_start(slice_queue->loop, &slice_queue->check);
	ev_idle_start(slice_queue->loop, &slice_queue->idle);
}

void slice_yield(void)
{
	struct slice_queue *slice_queue = running;

	if (!slice_queue || slice_queue->is_finishing ||
	    clock_mono_us() - slice_queue->began_us < SLICE_US)
		return;
	fiber_suspend(slice_queue->fiber);
}
