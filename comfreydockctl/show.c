#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static gboolean body;

static const GOptionEntry options[] = {
	{"body", 0, 0, G_OPTION_ARG_NONE, &body, "Also print the files", NULL},
	{NULL},
};

static void print_commits(json_object *root)
{
	json_object *array = jsonc_get_array(root, "commits");

	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *item = json_object_array_get_idx(array, i);

		printf("%s version %" G_GUINT64_FORMAT " by %s  %s\n",
		       i ? "  before:   " : "  in force: ",
		       jsonc_get_uint(item, "version"),
		       jsonc_get_text(item, "who"),
		       jsonc_get_text(item, "sha256"));
	}
}

static void print_namespaces(json_object *root)
{
	json_object *array = jsonc_get_array(root, "namespaces");

	printf("head %" G_GUINT64_FORMAT "%s\n", jsonc_get_uint(root, "head"),
	       json_object_get_boolean(json_object_object_get(root, "ready")) ?
		       "" :
		       ", not ready yet");
	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *item = json_object_array_get_idx(array, i);

		printf("%s version %" G_GUINT64_FORMAT "  %s\n",
		       jsonc_get_text(item, "name"),
		       jsonc_get_uint(item, "version"),
		       jsonc_get_text(item, "sha256"));
		if (jsonc_get_uint(item, "invalid_entries"))
			printf("  invalid entries, left out or followed in "
			       "part: "
			       "%" G_GUINT64_FORMAT
			       "; see config.entry-invalid in the log\n",
			       jsonc_get_uint(item, "invalid_entries"));
		if (body)
			puts(jsonc_get_text(item, "body"));
	}
	print_commits(root);
}

static int run(struct ctl *ctl, char **arguments)
{
	GString *path = g_string_new("/v1/config?");
	json_object *root;

	if (arguments[0]) {
		char *name = g_uri_escape_string(arguments[0], NULL, FALSE);

		g_string_append_printf(path, "namespace=%s&", name);
		g_free(name);
	}
	if (body)
		g_string_append(path, "body=1");
	root = ctl_request(ctl, "GET", path->str);
	g_string_free(path, TRUE);
	return ctl_print(ctl, root, print_namespaces);
}

const struct ctl_command ctl_show = {
	.name = "show",
	.arguments = "[NAMESPACE]",
	.summary = "show the versions in force and who applied them",
	.max_arguments = 1,
	.options = options,
	.run = run,
};
