#include <stdio.h>
#include <string.h>

#include "comfreydockctl/ctl.h"
#include "comfreydockctl/logs.h"
#include "common/jsonc.h"
#include "common/trace.h"

static int compare_time(const void *a, const void *b)
{
	json_object *const *left = a;
	json_object *const *right = b;
	uint64_t left_time = jsonc_get_uint(*left, "time");
	uint64_t right_time = jsonc_get_uint(*right, "time");

	return (left_time > right_time) - (left_time < right_time);
}

/* Names the daemons that gave no events, because an incomplete timeline would
 * mislead its reader. */
static void print_missing_daemons(json_object *missing)
{
	for (size_t i = 0; missing && i < json_object_array_length(missing); i++)
		ctl_print_error("no timeline from %s",
				json_object_get_string(
					json_object_array_get_idx(missing, i)));
}

static void print_lines(json_object *all)
{
	uint64_t first = 0;

	for (size_t i = 0; i < json_object_array_length(all); i++) {
		json_object *item = json_object_array_get_idx(all, i);
		uint64_t time = jsonc_get_uint(item, "time");

		first = i ? first : time;
		printf("%+10.3f ms  %-16s %-28s %s\n",
		       (double)(time - first) / 1000.0,
		       jsonc_get_text(item, "process"),
		       jsonc_get_text(item, "name"),
		       jsonc_get_text(item, "note"));
	}
}

struct search {
	char trace[TRACE_LABEL_SIZE];
	json_object *events;
};

static char **files;

/* RETURN VALUE: the fields of an event except for those that every line has. */
static char *fields_to_note(json_object *line)
{
	static const char *const known[] = {"time", "event", "name", "process",
					    "trace"};
	GString *note = g_string_new(NULL);

	json_object_object_foreach(line, key, value)
	{
		bool is_known = false;

		for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
			is_known |= strcmp(key, known[i]) == 0;
		if (!is_known)
			g_string_append_printf(note, "%s%s=%s",
					       note->len ? " " : "", key,
					       json_object_get_string(value));
	}
	return g_string_free(note, FALSE);
}

static void handle_line(json_object *line, void *data)
{
	struct search *search = data;
	json_object *event;
	char *note;

	if (strcmp(jsonc_get_text(line, "trace"), search->trace) != 0)
		return;
	event = json_object_new_object();
	note = fields_to_note(line);
	jsonc_add_uint(event, "time", logs_time_us(line));
	jsonc_add_text(event, "process", jsonc_get_text(line, "process"));
	jsonc_add_text(event, "name", jsonc_get_text(line, "name"));
	jsonc_add_text(event, "note", note);
	json_object_array_add(search->events, event);
	g_free(note);
}

/* RETURN VALUE: events in the form of a daemon's answer, or NULL after printing
 * the error. */
static json_object *search_logs(const char *trace)
{
	json_object *root = json_object_new_object();
	struct search search = {.events = json_object_new_array()};
	size_t unreadable;

	trace_label(trace, search.trace);
	json_object_object_add(root, "events", search.events);
	if (logs_read(files, handle_line, &search, &unreadable))
		return root;
	json_object_put(root);
	return NULL;
}

static json_object *ask(struct ctl *ctl, const char *trace)
{
	char *escaped = g_uri_escape_string(trace, NULL, FALSE);
	char *path = g_strconcat("/v1/timeline?trace=", escaped, NULL);
	json_object *root = ctl_request(ctl, "GET", path);

	g_free(path);
	g_free(escaped);
	return root;
}

static int run(struct ctl *ctl, char **arguments)
{
	json_object *root =
		files ? search_logs(arguments[0]) : ask(ctl, arguments[0]);
	json_object *events = jsonc_get_array(root, "events");
	int status = CTL_OK;

	if (!events) {
		json_object_put(root);
		return CTL_FAILED;
	}
	json_object_array_sort(events, compare_time);
	if (json_object_array_length(events) == 0)
		status = CTL_FAILED;
	if (ctl->json) {
		ctl_print_json(root);
		return status;
	}
	print_missing_daemons(jsonc_get_array(root, "missing"));
	if (status != CTL_OK)
		ctl_print_error("no events found for %s", arguments[0]);
	print_lines(events);
	json_object_put(root);
	return status;
}

static const GOptionEntry options[] = {
	{"log", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &files,
	 "Read this log instead of asking the daemons, - for standard input; "
	 "may "
	 "be given several times",
	 "FILE"},
	{NULL},
};

const struct ctl_command ctl_timeline = {
	.name = "timeline",
	.arguments = "TRACE",
	.summary = "show the events of one request on all daemons",
	.min_arguments = 1,
	.max_arguments = 1,
	.options = options,
	.run = run,
};
