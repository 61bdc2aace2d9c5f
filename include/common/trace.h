/*
 * NAME
 *	trace - trace ids, which identify a request in all processes
 *
 * DESCRIPTION
 *	A generated id has the form "HHHHHHHH-RRRRRRRRRRRRRRRR": a hash of the
 *	host whose daemon generated it, and a random number. An id chosen by the
 *	caller is used unchanged, whatever its length and characters.
 *
 *	Log lines and timelines show an id by its label. The label of an id that
 *	is short and has only visible ASCII characters is the id itself. That of
 *	any other begins like the id, with "_" for other characters, and ends in
 *	"~" and a hash of all of the id, so ids that begin alike have different
 *	labels. The label of a label is the label itself.
 */
#ifndef COMMON_TRACE_H
#define COMMON_TRACE_H

#include <stdbool.h>

#define TRACE_LABEL_SIZE 64 /* bytes, with the 0 */

/* RETURN VALUE: a new id, which the caller frees. */
char *trace_create(const char *host);

/* True if the daemon of this host generated the id. */
bool trace_is_from(const char *trace, const char *host);

/* RETURN VALUE: label. */
const char *trace_label(const char *trace, char label[TRACE_LABEL_SIZE]);

/* True if the id has the form that trace_create() generates. */
bool trace_has_host_form(const char *trace);

#endif
