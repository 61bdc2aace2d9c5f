#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static gchar *cleared;

static const GOptionEntry options[] = {
	{"clear", 0, 0, G_OPTION_ARG_STRING, &cleared,
	 "Clear the request with this content on all daemons", "CONTENT"},
	{NULL},
};

static void print_request(json_object *request)
{
	printf("%-17s %-8s %7" G_GUINT64_FORMAT " %13" G_GUINT64_FORMAT
	       " %7" G_GUINT64_FORMAT "\n",
	       jsonc_get_text(request, "content"),
	       jsonc_get_text(request, "state"),
	       jsonc_get_uint(request, "crashes"),
	       jsonc_get_uint(request, "failed_trials"),
	       jsonc_get_uint(request, "age_ms") / 1000);
}

static void print_requests(json_object *root)
{
	json_object *list = jsonc_get_array(root, "requests");

	printf("%-17s %-8s %7s %13s %7s\n", "CONTENT", "STATE", "CRASHES",
	       "FAILED_TRIALS", "AGE_S");
	for (size_t i = 0; list && i < json_object_array_length(list); i++)
		print_request(json_object_array_get_idx(list, i));
}

static void print_cleared(json_object *root)
{
	printf("%s: cleared\n", jsonc_get_text(root, "content"));
}

static int clear(struct ctl *ctl)
{
	char *escaped = g_uri_escape_string(cleared, NULL, TRUE);
	char *path = g_strconcat("/v1/quarantine/clear?content=", escaped, NULL);
	int status =
		ctl_print(ctl, ctl_request(ctl, "POST", path), print_cleared);

	g_free(path);
	g_free(escaped);
	return status;
}

static int run(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	if (cleared)
		return clear(ctl);
	return ctl_print(ctl, ctl_request(ctl, "GET", "/v1/quarantine"),
			 print_requests);
}

const struct ctl_command ctl_quarantine = {
	.name = "quarantine",
	.arguments = "",
	.summary = "list requests that crash upstreams, or clear one",
	.options = options,
	.run = run,
};
