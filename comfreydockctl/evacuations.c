#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

#define MS_PER_S 1000

static gchar *by;

static const GOptionEntry evacuate_options[] = {
	{"by", 0, 0, G_OPTION_ARG_STRING, &by,
	 "Who evacuates it; your login name if absent", "NAME"},
	{NULL},
};

static bool is_set(json_object *object, const char *key)
{
	return json_object_get_boolean(json_object_object_get(object, key));
}

static void print_domain(json_object *domain)
{
	int64_t asked_s = (int64_t)jsonc_get_uint(domain, "asked_ms") / MS_PER_S;
	GDateTime *asked = g_date_time_new_from_unix_utc(asked_s);
	char *text = asked_s ? g_date_time_format_iso8601(asked) : g_strdup("-");
	const char *asked_by = jsonc_get_text(domain, "by");

	printf("%-24s %-9s %-21s %s\n", jsonc_get_text(domain, "domain"),
	       is_set(domain, "in_force") ? "in force" : "not yet", text,
	       *asked_by ? asked_by : "-");
	g_free(text);
	g_date_time_unref(asked);
}

static void print_domains(json_object *root)
{
	json_object *list = jsonc_get_array(root, "domains");

	if (!is_set(root, "platform_answered"))
		puts("the platform does not answer; as this daemon holds it:");
	printf("%-24s %-9s %-21s %s\n", "DOMAIN", "STATE", "SINCE", "BY");
	for (size_t i = 0; list && i < json_object_array_length(list); i++)
		print_domain(json_object_array_get_idx(list, i));
}

static int run_list(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	return ctl_print(ctl, ctl_request(ctl, "GET", "/v1/evacuations"),
			 print_domains);
}

static void print_changed(json_object *root)
{
	printf("%s: %s\n", jsonc_get_text(root, "domain"),
	       jsonc_get_text(root, "state"));
}

static int change(struct ctl *ctl, const char *call, const char *domain,
		  const char *name)
{
	char *escaped = g_uri_escape_string(domain, NULL, TRUE);
	char *escaped_name = g_uri_escape_string(name, NULL, TRUE);
	char *path = g_strdup_printf("/v1/evacuations/%s?domain=%s&by=%s", call,
				     escaped, escaped_name);
	int status =
		ctl_print(ctl, ctl_request(ctl, "POST", path), print_changed);

	g_free(path);
	g_free(escaped_name);
	g_free(escaped);
	return status;
}

static int run_evacuate(struct ctl *ctl, char **arguments)
{
	return change(ctl, "evacuate", arguments[0], by ? by : g_get_user_name());
}

static int run_restore(struct ctl *ctl, char **arguments)
{
	return change(ctl, "restore", arguments[0], "");
}

const struct ctl_command ctl_evacuate = {
	.name = "evacuate",
	.arguments = "DOMAIN",
	.summary = "send no requests to the upstreams of a failure domain",
	.min_arguments = 1,
	.max_arguments = 1,
	.options = evacuate_options,
	.run = run_evacuate,
};

const struct ctl_command ctl_evacuations = {
	.name = "evacuations",
	.arguments = "",
	.summary = "list the evacuated failure domains",
	.run = run_list,
};

const struct ctl_command ctl_restore = {
	.name = "restore",
	.arguments = "DOMAIN",
	.summary = "use an evacuated failure domain again",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_restore,
};
