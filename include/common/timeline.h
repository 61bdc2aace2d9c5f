/*
 * NAME
 *	timeline - events of one request over all processes
 *
 * DESCRIPTION
 *	A ring of the last events that carry a trace id, with hybrid time: a
 *	count that never runs backwards, follows the wall clock and moves past
 *	every time seen in a frame. Merged over all processes and sorted by
 *	that time, a request's events read from top to bottom even where the
 *	hosts' clocks differ.
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

#define TIMELINE_TRACE_MAX 40
#define TIMELINE_NOTE_MAX 96

struct timeline_entry {
	uint64_t time; /* microseconds of wall clock, or later */
	enum event event;
	char trace[TIMELINE_TRACE_MAX];
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

/* Records an event under a trace id; an empty trace records nothing. */
void timeline_add(struct timeline *timeline, const char *trace, enum event id,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);

/*
 * The same, and a line in the log: the fields become the note, "key=value".
 * They end with a key of NULL.
 */
#define timeline_log(timeline, trace, id, ...)               \
	timeline_log_fields(                                 \
		(timeline), (trace), (id),                   \
		(const struct log_field[]){LOG_TRACE(trace), \
					   __VA_ARGS__ __VA_OPT__(, ){0}})

/* The first field is the trace. */
void timeline_log_fields(struct timeline *timeline, const char *trace,
			 enum event id, const struct log_field *fields);

/* The time to put on a frame that leaves. */
uint64_t timeline_now(struct timeline *timeline);

/* Takes note of the time on a frame that came in. */
void timeline_observe(struct timeline *timeline, uint64_t time);

/*
 * Appends the entries of a trace, or of all where trace is NULL, oldest first,
 * as a JSON array of {time, event, name, trace, note, process}.
 */
void timeline_append_json(const struct timeline *timeline, const char *trace,
			  const char *process, GString *out);

#endif
