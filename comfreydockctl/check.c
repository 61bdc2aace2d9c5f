#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "comfreydockd/config/check.h"
#include "common/jsonc.h"

static gboolean offline;

static const GOptionEntry options[] = {
	{"offline", 0, 0, G_OPTION_ARG_NONE, &offline,
	 "Ask no daemon; overlaps with other namespaces are not detected", NULL},
	{NULL},
};

static int report(struct ctl *ctl, const char *file, json_object *findings,
		  bool passes)
{
	if (ctl->json) {
		json_object *root = json_object_new_object();

		jsonc_add_text(root, "result", passes ? "passes" : "refused");
		json_object_object_add(root, "findings",
				       json_object_get(findings));
		ctl_print_json(root);
	} else {
		ctl_print_findings(findings);
		printf("%s: %s\n", file, passes ? "passes" : "refused");
	}
	json_object_put(findings);
	return passes ? CTL_OK : CTL_REFUSED;
}

static int check_offline(struct ctl *ctl, const char *file, const char *text)
{
	struct config_namespace *ns;
	struct findings findings;
	int status;

	findings_init(&findings);
	ns = config_namespace_load(file, text, &findings);
	status = report(ctl, file, jsonc_from_findings(&findings), ns);
	config_namespace_unref(ns);
	findings_finish(&findings);
	return status;
}

static int check_with_daemon(struct ctl *ctl, const char *file, const char *text)
{
	char *name = g_uri_escape_string(file, NULL, FALSE);
	char *path = g_strconcat("/v1/config/check?file=", name, NULL);
	struct ctl_call call;
	json_object *root;
	json_object *findings;
	int status = CTL_FAILED;

	ctl_call_init(&call, "POST", ctl->admin, path);
	call.body = text;
	ctl_run_calls(ctl, &call, 1);
	root = json_tokener_parse(call.text->str);
	findings = jsonc_get_array(root, "findings");
	if (call.answered && findings)
		status = report(ctl, file, json_object_get(findings),
				call.status == 200);
	else
		ctl_print_error("no answer from %s; use --offline to check "
				"without a daemon",
				call.url);
	json_object_put(root);
	ctl_call_finish(&call);
	g_free(path);
	g_free(name);
	return status;
}

static int run(struct ctl *ctl, char **arguments)
{
	char *text = ctl_read_file(arguments[0]);
	int status;

	if (!text)
		return CTL_USAGE;
	status = offline ? check_offline(ctl, arguments[0], text) :
			   check_with_daemon(ctl, arguments[0], text);
	g_free(text);
	return status;
}

const struct ctl_command ctl_check = {
	.name = "check",
	.arguments = "FILE",
	.summary = "check whether a file can be applied",
	.min_arguments = 1,
	.max_arguments = 1,
	.options = options,
	.run = run,
};
