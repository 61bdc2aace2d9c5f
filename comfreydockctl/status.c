#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static void print_status(json_object *root)
{
	json_object *config = json_object_object_get(root, "config");
	json_object *upstream = json_object_object_get(root, "upstream");

	printf("host      %s in %s, %s\n", jsonc_get_text(root, "host"),
	       jsonc_get_text(root, "domain"), jsonc_get_text(root, "region"));
	printf("release   %s\n", jsonc_get_text(root, "release"));
	printf("hosts     %" G_GUINT64_FORMAT "\n",
	       jsonc_get_uint(root, "hosts"));
	printf("config    head %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT "\n",
	       jsonc_get_uint(config, "head"),
	       jsonc_get_uint(config, "known_head"));
	printf("evacuated %" G_GUINT64_FORMAT " failure domains%s\n",
	       jsonc_get_uint(root, "evacuated_domains"),
	       json_object_get_boolean(
		       json_object_object_get(root, "is_evacuated")) ?
		       ", this one too" :
		       "");
	printf("upstream  %s, %" G_GUINT64_FORMAT " running, %" G_GUINT64_FORMAT
	       " queued, limit %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
	       " slots\n",
	       jsonc_get_text(upstream, "state"),
	       jsonc_get_uint(upstream, "running"),
	       jsonc_get_uint(upstream, "queued"),
	       jsonc_get_uint(upstream, "limit"),
	       jsonc_get_uint(upstream, "slots"));
}

static int run(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	return ctl_print(ctl, ctl_request(ctl, "GET", "/v1/status"),
			 print_status);
}

const struct ctl_command ctl_status = {
	.name = "status",
	.arguments = "",
	.summary = "show the status of a daemon and its upstream",
	.run = run,
};
