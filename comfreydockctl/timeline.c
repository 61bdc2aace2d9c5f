#include <stdio.h>
#include <stdlib.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

#define ASK_TIMEOUT_MS 2000

static int compare_time(const void *a, const void *b)
{
	json_object *const *left = a;
	json_object *const *right = b;
	uint64_t left_time = jsonc_get_uint(*left, "time");
	uint64_t right_time = jsonc_get_uint(*right, "time");

	return (left_time > right_time) - (left_time < right_time);
}

/* RETURN VALUE: false if the daemon gave no time line. */
static bool merge(json_object *all, const struct ctl_call *call)
{
	json_object *array = call->answered && call->status == 200 ?
				     json_tokener_parse(call->text->str) :
				     NULL;
	bool ok = json_object_is_type(array, json_type_array);

	for (size_t i = 0; ok && i < json_object_array_length(array); i++)
		json_object_array_add(
			all,
			json_object_get(json_object_array_get_idx(array, i)));
	json_object_put(array);
	return ok;
}

/* A part that is missing would mislead, so it is named. */
static json_object *collect(struct ctl *ctl, const GPtrArray *urls,
			    const char *path)
{
	struct ctl_call *calls = g_new0(struct ctl_call, urls->len);
	json_object *all = json_object_new_array();

	for (guint i = 0; i < urls->len; i++) {
		ctl_call_init(&calls[i], "GET", urls->pdata[i], path);
		calls[i].timeout_ms = ASK_TIMEOUT_MS;
	}
	ctl_run_calls(ctl, calls, urls->len);
	for (guint i = 0; i < urls->len; i++) {
		if (!merge(all, &calls[i]))
			ctl_complain("no time line from %s",
				     (const char *)urls->pdata[i]);
		ctl_call_finish(&calls[i]);
	}
	g_free(calls);
	json_object_array_sort(all, compare_time);
	return all;
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

static int run(struct ctl *ctl, char **arguments)
{
	GPtrArray *urls = ctl_find_daemons(ctl);
	json_object *all;
	char *trace;
	char *path;

	if (!urls)
		return CTL_FAILED;
	trace = g_uri_escape_string(arguments[0], NULL, FALSE);
	path = g_strconcat("/v1/timeline?trace=", trace, NULL);
	all = collect(ctl, urls, path);
	g_free(path);
	g_free(trace);
	g_ptr_array_free(urls, TRUE);
	if (ctl->json) {
		ctl_print_json(all);
		return CTL_OK;
	}
	print_lines(all);
	json_object_put(all);
	return CTL_OK;
}

const struct ctl_command ctl_timeline = {
	.name = "timeline",
	.arguments = "TRACE",
	.summary = "show one request's events over all daemons",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run,
};
