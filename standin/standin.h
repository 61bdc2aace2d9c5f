/*
 * NAME
 *	standin - functions shared by the stand-in programs
 *
 * DESCRIPTION
 *	Stand-ins are test doubles for the programs around the daemon. Each one
 *	listens on loopback, prints its port as one line of JSON on standard
 *	output and exits on SIGTERM or SIGINT.
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <ev.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

typedef void (*standin_stop_handler)(void *data);

/* Parses the command line. Prints a message and exits the process if it is
 * invalid. */
void standin_parse_options(int *argc, char ***argv, const GOptionEntry *entries,
			   const char *summary);

/* Prints {"program":NAME,"port":PORT}, from which a test reads the port. */
void standin_announce_port(const char *program, uint16_t port);

/* Calls the handler on each SIGTERM or SIGINT, or breaks the loop if the
 * handler is NULL. */
void standin_on_stop(struct ev_loop *loop, standin_stop_handler handler,
		     void *data);

/* Parses a request's body. RETURN VALUE: the JSON object, which the caller
 * frees with json_object_put(), or NULL if the body is not an object. */
struct json_object *standin_parse_body(const GString *body);

/* Set *out if the object has the member, and leave it unchanged otherwise. */
void standin_read_int(struct json_object *object, const char *name, int64_t *out);
void standin_read_double(struct json_object *object, const char *name,
			 double *out);
void standin_read_bool(struct json_object *object, const char *name,
		       gboolean *out);

#endif
