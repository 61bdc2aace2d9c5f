/*
 * NAME
 *	standin - what the stand-in programs share
 *
 * DESCRIPTION
 *	Each stand-in listens on loopback, tells its port as one line of JSON
 *	on standard output and ends on SIGTERM or SIGINT.
 */
#ifndef STANDIN_STANDIN_H
#define STANDIN_STANDIN_H

#include <ev.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

typedef void (*standin_stop_handler)(void *data);

/* Parses the command line; ends the process with a message where it is wrong. */
void standin_parse_options(int *argc, char ***argv, const GOptionEntry *entries,
			   const char *summary);

/* Prints {"program":NAME,"port":PORT}, the line by which a test finds it. */
void standin_announce_port(const char *program, uint16_t port);

/* Calls the handler once per SIGTERM or SIGINT; NULL ends the loop. */
void standin_on_stop(struct ev_loop *loop, standin_stop_handler handler,
		     void *data);

/* RETURN VALUE: the object in a request's body, or NULL; free with
 * json_object_put(). */
struct json_object *standin_parse_body(const GString *body);

/* Sets *out where the object has the member. */
void standin_read_int(struct json_object *object, const char *name, int64_t *out);
void standin_read_double(struct json_object *object, const char *name,
			 double *out);
void standin_read_bool(struct json_object *object, const char *name,
		       gboolean *out);

#endif
