/*
 * NAME
 *	logs - reads log files of daemons
 *
 * DESCRIPTION
 *	comfreydockd writes each log line as a JSON object. Log collectors may
 *	prefix lines, so a line is parsed from its first brace on. Lines that
 *	hold no JSON object are skipped and counted.
 */
#ifndef COMFREYDOCKCTL_LOGS_H
#define COMFREYDOCKCTL_LOGS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef void (*logs_handler)(json_object *line, void *data);

/*
 * files is a NULL-terminated array of names, where "-" is standard input.
 * *unreadable gets the number of lines that hold no JSON object.
 * RETURN VALUE: false after printing which file could not be read and why.
 */
bool logs_read(char **files, logs_handler handler, void *data,
	       size_t *unreadable);

/* RETURN VALUE: the wall time of the line in microseconds, or 0 if it has none. */
uint64_t logs_time_us(json_object *line);

/* RETURN VALUE: the microseconds of an ISO 8601 time, or 0 if it is invalid. */
uint64_t logs_parse_time_us(const char *text);

#endif
