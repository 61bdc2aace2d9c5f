/*
 * NAME
 *	slice - runs long jobs in time slices, between which the loop runs
 *
 * DESCRIPTION
 *	A queue runs its jobs after the events of an iteration of the loop, each
 *	on a stack of its own. Code that takes long calls slice_yield()
 *	regularly. Inside a job that has worked for SLICE_US, slice_yield()
 *	returns to the loop, which continues the job after the events of its next
 *	iteration. Outside of a job it does nothing, so a handler of an event is
 *	never interrupted, and no handler runs within another one.
 *
 *	A job must own the data that it works on, because anything else may
 *	change at each slice_yield(). Jobs run one at a time, in the order in
 *	which they were added.
 *
 * WITHOUT IT
 *	Adopting a configuration of thousands of routes blocks the loop of a
 *	host that has a tenth of a core for a second. The calls that this host
 *	accepts and those that other hosts send to its upstream wait meanwhile.
 *	The symptoms are an owner.frozen event after each config.adopted and
 *	late answers on all hosts.
 */
#ifndef COMMON_SLICE_H
#define COMMON_SLICE_H

#include <ev.h>
#include <glib.h>

/* The longest delay that a job adds to a call. One iteration of the loop costs a
 * hundredth of it. */
#define SLICE_US (5 * 1000)

struct slice_queue;

struct slice_queue *slice_queue_create(struct ev_loop *loop);

/* Runs the job that has begun to its end. */
void slice_queue_finish_job(struct slice_queue *slice_queue);

/* Finishes the job that has begun and frees the others without running them. */
void slice_queue_destroy(struct slice_queue *slice_queue);

/* Runs the job immediately if the queue is NULL. */
void slice_queue_add(struct slice_queue *slice_queue, void (*run)(void *data),
		     GDestroyNotify free_data, void *data);

void slice_yield(void);

#endif
