/*
 * NAME
 *	assembly - puts the parts of a daemon together, and takes them apart
 *
 * DESCRIPTION
 *	The only place that knows all parts: what one part has to tell another
 *	goes through the callbacks that are set here.
 */
#ifndef COMFREYDOCKD_ASSEMBLY_H
#define COMFREYDOCKD_ASSEMBLY_H

struct assembly;
struct settings;

/* RETURN VALUE: NULL where a port can't be bound; the error is printed. */
struct assembly *assembly_create(struct settings *settings, const char *file);

/* Returns after a stop was asked for and nothing is in flight any more. */
void assembly_run(struct assembly *assembly);
void assembly_destroy(struct assembly *assembly);

#endif
