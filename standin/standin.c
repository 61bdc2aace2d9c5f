#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

static struct {
	ev_signal term;
	ev_signal interrupt;
	standin_stop_handler handler;
	void *data;
} stop;

void standin_parse_options(int *argc, char ***argv, const GOptionEntry *entries,
			   const char *summary)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		exit(2);
	}
	g_option_context_free(context);
}

void standin_announce_port(const char *program, uint16_t port)
{
	printf("{\"program\":\"%s\",\"port\":%u}\n", program, port);
	fflush(stdout);
}

static void handle_signal(struct ev_loop *loop, ev_signal *signal, int events)
{
	(void)signal;
	(void)events;
	if (stop.handler)
		stop.handler(stop.data);
	else
		ev_break(loop, EVBREAK_ALL);
}

void standin_on_stop(struct ev_loop *loop, standin_stop_handler handler,
		     void *data)
{
	stop.handler = handler;
	stop.data = data;
	ev_signal_init(&stop.term, handle_signal, SIGTERM);
	ev_signal_init(&stop.interrupt, handle_signal, SIGINT);
	ev_signal_start(loop, &stop.term);
	ev_signal_start(loop, &stop.interrupt);
	signal(SIGPIPE, SIG_IGN);
}

struct json_object *standin_parse_body(const GString *body)
{
	struct json_object *object = json_tokener_parse(body->str);

	if (object && !json_object_is_type(object, json_type_object)) {
		json_object_put(object);
		return NULL;
	}
	return object;
}

void standin_read_int(struct json_object *object, const char *name, int64_t *out)
{
	struct json_object *member;

	if (json_object_object_get_ex(object, name, &member))
		*out = json_object_get_int64(member);
}

void standin_read_double(struct json_object *object, const char *name, double *out)
{
	struct json_object *member;

	if (json_object_object_get_ex(object, name, &member))
		*out = json_object_get_double(member);
}

void standin_read_bool(struct json_object *object, const char *name, gboolean *out)
{
	struct json_object *member;

	if (json_object_object_get_ex(object, name, &member))
		*out = json_object_get_boolean(member);
}
