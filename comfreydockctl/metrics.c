#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

/* Converts the lines "NAME VALUE" to one object. */
static json_object *metrics_to_json(const char *text)
{
	json_object *root = json_object_new_object();
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		char **words = g_strsplit(*line, " ", 2);

		if (**line && **line != '#' && words[0] && words[1])
			jsonc_add_uint(root, words[0],
				       g_ascii_strtoull(words[1], NULL, 10));
		g_strfreev(words);
	}
	g_strfreev(lines);
	return root;
}

static int run(struct ctl *ctl, char **arguments)
{
	struct ctl_call call;
	int status = CTL_OK;

	(void)arguments;
	ctl_call_init(&call, "GET", ctl->admin, "/metrics");
	ctl_run_calls(ctl, &call, 1);
	if (!call.answered || call.status != 200) {
		ctl_print_error("no metrics from %s", call.url);
		status = CTL_FAILED;
	} else if (ctl->json) {
		ctl_print_json(metrics_to_json(call.text->str));
	} else {
		fputs(call.text->str, stdout);
	}
	ctl_call_finish(&call);
	return status;
}

const struct ctl_command ctl_metrics = {
	.name = "metrics",
	.arguments = "",
	.summary = "print the metrics of a daemon",
	.run = run,
};
