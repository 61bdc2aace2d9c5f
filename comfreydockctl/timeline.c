#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static int compare_time(const void *a, const void *b)
{
	json_object *const *left = a;
	json_object *const *right = b;
	uint64_t left_time = jsonc_get_uint(*left, "time");
	uint64_t right_time = jsonc_get_uint(*right, "time");

	return (left_time > right_time) - (left_time < right_time);
}

/* A part that is missing would mislead, so it is named. */
static void complain_of_missing(json_object *missing)
{
	for (size_t i = 0; missing && i < json_object_array_length(missing); i++)
		ctl_complain("no time line from %s",
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

static json_object *ask(struct ctl *ctl, const char *trace)
{
	char *escaped = g_uri_escape_string(trace, NULL, FALSE);
	char *path = g_strconcat("/v1/timeline?trace=", escaped, NULL);
	json_object *root = ctl_ask(ctl, "GET", path);

	g_free(path);
	g_free(escaped);
	return root;
}

static int run(struct ctl *ctl, char **arguments)
{
	json_object *root = ask(ctl, arguments[0]);
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
	complain_of_missing(jsonc_get_array(root, "missing"));
	if (status != CTL_OK)
		ctl_complain("no events of %s are kept", arguments[0]);
	print_lines(events);
	json_object_put(root);
	return status;
}

const struct ctl_command ctl_timeline = {
	.name = "timeline",
	.arguments = "TRACE",
	.summary = "show one request's events over all daemons",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run,
};
