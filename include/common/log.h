/*
 * NAME
 *	log - numbered, structured events
 *
 * DESCRIPTION
 *	log_event(EV_PEER_LOST, LOG_STR("host", id), LOG_INT("port", port));
 *
 *	Each event has a number, a fixed name and typed fields; the list is in
 *	events.def and the catalogue in docs/EVENTS.md. Events go through
 *	GLib's structured logging and leave it as one line on standard output,
 *	as JSON or as text. GLib's own warnings take the same way.
 *
 *	Lines are collected and written by log_flush(), or when LOG_BUFFER_BYTES
 *	have come together. A reader that stalls blocks nobody: what it does
 *	not take is dropped and counted.
 *
 *	There is a budget of lines and bytes for each second. Beliefs (what the
 *	daemon holds of others, its start, stop and dependencies) may use all
 *	of it, failures LOG_FAILURE_SHARE and the routine of each request
 *	LOG_ROUTINE_SHARE. Where the routine has more to tell than its share,
 *	requests are drawn by their trace: all lines of one that is drawn are
 *	written, at each daemon that it passes, and none of the others. What
 *	was left out is told each second, by event.
 *
 *	GROUNDS: a line costs 1.5 to 2.0 us of processor time, one that is left
 *	out 0.1 us (bench-log), so 200 lines a second are 0.04 % of a core. On
 *	the day with the most calls of the larger installation a daemon used
 *	0.96 and 0.78 % of a core with the log and 0.99 and 0.74 % without (two
 *	seeds). An on-call engineer's tools take 200 lines from a thousand hosts.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOG_LINES_PER_S 200
#define LOG_BYTES_PER_S (64 * 1024)
#define LOG_FAILURE_SHARE 0.8
#define LOG_ROUTINE_SHARE 0.5
#define LOG_BUFFER_BYTES (16 * 1024)

enum event {
#define EVENT(number, name, text, class) EV_##name = (number),
#include "common/events.def"
#undef EVENT
};

enum log_class {
	LOG_CLASS_BELIEF,
	LOG_CLASS_FAILURE,
	LOG_CLASS_ROUTINE,
};

enum log_format {
	LOG_FORMAT_JSON,
	LOG_FORMAT_TEXT,
	LOG_FORMAT_NONE,
};

struct log_field {
	const char *key;
	const char *text; /* NULL: the field is the number */
	int64_t number;
};

/* A missing text is an empty one. */
static inline const char *log_text(const char *text)
{
	return text ? text : "";
}

#define LOG_STR(k, s) ((struct log_field){.key = (k), .text = log_text(s)})
#define LOG_INT(k, n) ((struct log_field){.key = (k), .number = (int64_t)(n)})

/* The field by which the lines of one request are found. */
#define LOG_TRACE_KEY "trace"
#define LOG_TRACE(s) LOG_STR(LOG_TRACE_KEY, s)

#define log_event(id, ...)                                 \
	log_event_fields((id), (const struct log_field[]){ \
				       __VA_ARGS__ __VA_OPT__(, ){0}})

/* Sets the format and the process's name, shown in every line. */
void log_init(enum log_format format, const char *process);

/* Lines and bytes a second; 0 keeps what is set. */
void log_set_budget(unsigned int lines, unsigned int bytes);

/* Writes one event; fields end with a key of NULL. */
void log_event_fields(enum event id, const struct log_field *fields);

/* Writes what was collected, as far as the reader takes it. Lines that come
 * outside of a loop which calls this are written at once. */
void log_flush(void);

/* From now on lines are collected until log_flush(). */
void log_enable_buffering(void);

/* The fixed name of an event, or "unknown". */
const char *log_event_name(enum event id);

enum log_class log_event_class(enum event id);

#endif
