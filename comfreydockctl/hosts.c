#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static void print_host(json_object *host)
{
	json_object *groups = jsonc_get_array(host, "groups");

	printf("%-24s %-16s %-8s %-9s %5" G_GUINT64_FORMAT " ",
	       jsonc_get_text(host, "host"), jsonc_get_text(host, "domain"),
	       jsonc_get_text(host, "state"),
	       json_object_get_boolean(
		       json_object_object_get(host, "is_evacuated")) ?
		       "evacuated" :
		       jsonc_get_text(host, "service"),
	       jsonc_get_uint(host, "slots"));
	for (size_t i = 0; groups && i < json_object_array_length(groups); i++)
		printf("%s%s", i ? "," : "",
		       json_object_get_string(
			       json_object_array_get_idx(groups, i)));
	putchar('\n');
}

static void print_hosts(json_object *root)
{
	json_object *hosts = jsonc_get_array(root, "hosts");

	printf("%-24s %-16s %-8s %-9s %5s %s\n", "HOST", "DOMAIN", "STATE",
	       "UPSTREAM", "SLOTS", "GROUPS");
	for (size_t i = 0; hosts && i < json_object_array_length(hosts); i++)
		print_host(json_object_array_get_idx(hosts, i));
}

static int run(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	return ctl_print(ctl, ctl_fetch_hosts(ctl), print_hosts);
}

const struct ctl_command ctl_hosts = {
	.name = "hosts",
	.arguments = "",
	.summary = "list all hosts as one daemon sees them",
	.run = run,
};
