/*
 * NAME
 *	slice - long work in slice_queue, between which the loop goes on
 *
 * DESCRIPTION
 *	A job is run from a timer of its own, never from within somebody else's
 *	callback. Whatever takes long calls slice_yield() now and then: in a job,
 *	after SLICE_US of work, it runs the loop once without waiting, so that
 *	what became readable or due meanwhile is handled. Elsewhere it does
 *	nothing.
 *
 *	So a job's own data must belong to it alone: all else may have changed
 *	at each pause. One job runs at a time, in the order in which they were
 *	added.
 *
 * WITHOUT IT
 *	Taking over a configuration of thousands of routes stops a host that has
 *	a tenth of a core for a second, and with it all calls that it takes,
 *	and those that others send to its upstream. One notices owner.frozen
 *	behind each config.adopted, and answers that come late on all hosts.
 */
#ifndef COMMON_SLICE_H
#define COMMON_SLICE_H

#include <ev.h>
#include <glib.h>

/* Calls wait for it at most; a turn of the loop costs a hundredth of it. */
#define SLICE_US (5 * 1000)

struct slice_queue;

struct slice_queue *slice_queue_create(struct ev_loop *loop);

/* Jobs that have not begun are freed. */
void slice_queue_destroy(struct slice_queue *slice_queue);

/* Without slice_queue (NULL) the job runs at once. */
void slice_queue_add(struct slice_queue *slice_queue, void (*run)(void *data),
		     GDestroyNotify free_data, void *data);

void slice_yield(void);

#endif
