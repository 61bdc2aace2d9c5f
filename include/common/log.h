/*
 * NAME
 *	log - numbered, structured events
 *
 * DESCRIPTION
 *	log_event(EV_PEER_LOST, LOG_STR("host", id), LOG_INT("port", port));
 *
 *	Each event has a number, a fixed name and typed fields; the list is in
 *	events.def and the catalogue in docs/EVENTS.md. Events go through
 *	GLib's structured logging and leave it as one line on standard error,
 *	as JSON or as text. GLib's own warnings take the same way.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdbool.h>
#include <stdint.h>

enum event {
#define EVENT(number, name, text) EV_##name = (number),
#include "common/events.def"
#undef EVENT
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

#define log_event(id, ...)                                 \
	log_event_fields((id), (const struct log_field[]){ \
				       __VA_ARGS__ __VA_OPT__(, ){0}})

/* Sets the format and the process's name, shown in every line. */
void log_init(enum log_format format, const char *process);

/* Writes one event; fields end with a key of NULL. */
void log_event_fields(enum event id, const struct log_field *fields);

/* The fixed name of an event, or "unknown". */
const char *log_event_name(enum event id);

#endif
