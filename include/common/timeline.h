/*
 * NAME
 *	timeline - records the events of requests, to be merged over all processes
 *
 * DESCRIPTION
 *	A timeline is a ring buffer of the last events that have a trace id. A
 *	hybrid logical clock gives each event its time: the time never runs
 *	backwards, follows the wall clock and is later than the time in any
 *	frame received before. Merged over all processes and sorted by this
 *	time, the events of a request appear in causal order even if the clocks
 *	of the hosts differ.
 *
 * SOURCE
 *	Kulkarni, Demirbas et al., "Logical Physical Clocks", OPODIS 2014.
 */
#ifndef COMMON_TIMELINE_H
#define COMMON_TIMELINE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "common/log.h"
#include "common/trace.h"

#define TIMELINE_NOTE_MAX 96

struct timeline_entry {
	uint64_t time; /* hybrid time: wall clock microseconds, or later */
	enum event event;
	char trace[TRACE_LABEL_SIZE]; /* the label of its id */
	char note[TIMELINE_NOTE_MAX];
};

struct timeline {
	struct timeline_entry *entries;
	size_t capacity;
	uint64_t written;
	uint64_t last_time;
};

void timeline_init(struct timeline *timeline, size_t capacity);
void timeline_finish(struct timeline *timeline);

/* Records an event under a trace id. Does nothing if the trace id is empty. */
void timeline_add(struct timeline *timeline, const char *trace, enum event id,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);

/*
 * Records an event and logs it. The log fields become the note, written as
 * "key=value".
 */
#define timeline_log(timeline, trace, id, ...)               \
	timeline_log_fields(                                 \
		(timeline), (trace), (id),                   \
		(const struct log_field[]){LOG_TRACE(trace), \
					   __VA_ARGS__ __VA_OPT__(, ){0}})

/* The first field is the trace. The fields end with a key of NULL. */
void timeline_log_fields(struct timeline *timeline, const char *trace,
			 enum event id, const struct log_field *fields);

/* RETURN VALUE: the hybrid time to send in a frame. */
uint64_t timeline_now(struct timeline *timeline);

/* Advances the hybrid clock to the time of a received frame. */
void timeline_observe(struct timeline *timeline, uint64_t time);

/*
 * Appends the entries of a trace, oldest first, as a JSON array of {time, event,
 * name, trace, note, process}, with the trace's label. trace is an id or its label;
 * if it is NULL, appends all entries.
 */
void timeline_append_json(const struct timeline *timeline, const char *trace,
			  const char *process, GString *out);

#endif
