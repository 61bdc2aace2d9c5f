/*
 * NAME
 *	logs - reads what daemons wrote to their standard output
 *
 * DESCRIPTION
 *	Each line of comfreydockd is a JSON object; log collectors put text of
 *	their own before it, so a line is read from its first brace on. Lines
 *	that hold no object are passed over and counted.
 */
#ifndef COMFREYDOCKCTL_LOGS_H
#define COMFREYDOCKCTL_LOGS_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef void (*logs_handler)(json_object *line, void *data);

/*
 * files: names, "-" for standard input, ended by NULL. *unreadable counts the
 * lines that held no object.
 * RETURN VALUE: false after printing which file could not be read and why.
 */
bool logs_read(char **files, logs_handler handler, void *data,
	       size_t *unreadable);

/* RETURN VALUE: the line's wall time in microseconds, 0 if it has none. */
uint64_t logs_time_us(json_object *line);

/* RETURN VALUE: of a time as the logs write it, or 0. */
uint64_t logs_parse_time_us(const char *text);

#endif
