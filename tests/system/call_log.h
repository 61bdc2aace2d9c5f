/*
 * NAME
 *	call_log - what the load generator wrote down of its calls
 *
 * DESCRIPTION
 *	One line a call: id, method, status, outcome, how long it took, when it
 *	began, path and, where the answer was wrong, a word on what was wrong. A
 *	line that is cut off, by a kill of the generator, is left out.
 *
 * UNITS
 *	Wall-clock microseconds.
 */
#ifndef TESTS_SYSTEM_CALL_LOG_H
#define TESTS_SYSTEM_CALL_LOG_H

#include <stdbool.h>
#include <stdint.h>

struct call_record {
	const char *id;
	const char *method;
	int status;
	const char *outcome;
	int64_t duration_us;
	int64_t begin_us;
	const char *path;
	bool is_wrong;
};

/* Hands over each line; its texts live as long as the handler runs. */
void call_log_read(const char *file,
		   void (*handle_record)(const struct call_record *line,
					 void *data),
		   void *data);

#endif
