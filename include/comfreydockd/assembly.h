/*
 * NAME
 *	assembly - creates, connects and destroys the components of a daemon
 *
 * DESCRIPTION
 *	The only module that knows all components. Components notify each other
 *	through callbacks that are set here.
 */
#ifndef COMFREYDOCKD_ASSEMBLY_H
#define COMFREYDOCKD_ASSEMBLY_H

struct assembly;
struct settings;

/* RETURN VALUE: NULL if the start fails, for example because a port can't be
 * bound; the error was printed. */
struct assembly *assembly_create(struct settings *settings, const char *file);

/* Runs the event loop until a stop is complete. */
void assembly_run(struct assembly *assembly);
void assembly_destroy(struct assembly *assembly);

#endif
