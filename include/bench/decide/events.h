/*
 * NAME
 *	events - event queue of a discrete-event simulation
 *
 * DESCRIPTION
 *	Events run in order of time, and those of the same time in the order in
 *	which they were added. now_us does not change while a handler runs.
 */
#ifndef BENCH_DECIDE_EVENTS_H
#define BENCH_DECIDE_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct event_item {
	int64_t at_us;
	uint64_t order;
	void (*handle)(void *context, void *data);
	void *data;
};

struct events {
	int64_t now_us;
	uint64_t added;
	void *context; /* passed to each handler */
	GArray *heap; /* of struct event_item */
};

void events_init(struct events *events, void *context);
void events_finish(struct events *events);
void events_add(struct events *events, int64_t at_us,
		void (*handle)(void *context, void *data), void *data);

/* Runs until no event is left. */
void events_run(struct events *events);

#endif
