/*
 * NAME
 *	log - structured log events
 *
 * DESCRIPTION
 *	log_event(EV_PEER_LOST, LOG_STR("host", id), LOG_INT("port", port));
 *
 *	Each event has a number, a fixed name and typed fields. events.def lists
 *	all events and docs/EVENTS.md documents them. Each event passes through
 *	GLib's structured logging and becomes one line on standard output, as
 *	JSON or as text. Warnings of GLib itself are written the same way.
 *
 *	Lines are buffered and written by log_flush(), or when the buffer
 *	exceeds LOG_BUFFER_BYTES. A stalled reader never blocks the process:
 *	lines that it does not read are dropped and counted.
 *
 *	Lines and bytes have a budget per second. The class BELIEF (the state of
 *	other hosts as this daemon sees it, its own start and stop, its
 *	dependencies) may use all of the budget, FAILURE up to LOG_FAILURE_SHARE
 *	and ROUTINE, the normal course of requests, up to LOG_ROUTINE_SHARE. If
 *	ROUTINE would exceed its share, requests are sampled by trace id: every
 *	daemon logs all lines of a sampled request and none of the others. Each
 *	second a log.suppressed event reports, for each event, how many lines
 *	were left out.
 *
 *	GROUNDS: a line costs 1.5 to 2.0 us of CPU time, and a line left out
 *	0.1 us (bench-log), so 200 lines a second are 0.04 % of a core. On the
 *	day with the most calls of the larger installation, a daemon used 0.96
 *	and 0.78 % of a core with the log, and 0.99 and 0.74 % without it (two
 *	seeds). An on-call engineer's tools can process 200 lines a second from
 *	each of a thousand hosts.
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

/* Treats NULL as an empty string. */
static inline const char *log_text(const char *text)
{
	return text ? text : "";
}

#define LOG_STR(k, s) ((struct log_field){.key = (k), .text = log_text(s)})
#define LOG_INT(k, n) ((struct log_field){.key = (k), .number = (int64_t)(n)})

/* The field that identifies the lines of one request. Lines show the label of the id,
 * see common/trace.h. */
#define LOG_TRACE_KEY "trace"
#define LOG_TRACE(s) LOG_STR(LOG_TRACE_KEY, s)

#define log_event(id, ...)                                 \
	log_event_fields((id), (const struct log_field[]){ \
				       __VA_ARGS__ __VA_OPT__(, ){0}})

/* Sets the format and the process name, which every line shows. */
void log_init(enum log_format format, const char *process);

/* Sets the lines and bytes per second; 0 keeps the current value. */
void log_set_budget(unsigned int lines, unsigned int bytes);

/* Logs one event. The fields end with a key of NULL. */
void log_event_fields(enum event id, const struct log_field *fields);

/* Writes the buffered lines, as far as the reader accepts them. */
void log_flush(void);

/* Buffers lines until log_flush(). Before this call each line is written
 * immediately. */
void log_enable_buffering(void);

/* RETURN VALUE: the fixed name of the event, or "unknown". */
const char *log_event_name(enum event id);

enum log_class log_event_class(enum event id);

#endif
