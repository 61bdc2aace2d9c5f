#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

#define DEFAULT_WAIT_S 600

static gboolean wait_until_idle;
static gint wait_s = DEFAULT_WAIT_S;

static const GOptionEntry options[] = {
	{"wait", 0, 0, G_OPTION_ARG_NONE, &wait_until_idle,
	 "Wait until no request is running", NULL},
	{"timeout", 0, 0, G_OPTION_ARG_INT, &wait_s,
	 "Longest time that --wait waits (600)", "SECONDS"},
	{NULL},
};

static int wait_for_stop(struct ctl *ctl)
{
	struct ctl_call call;
	json_object *root;
	int status = CTL_FAILED;

	ctl_call_init(&call, "POST", ctl->admin, "/v1/upstream/stop");
	call.body = "";
	call.timeout_ms = (long)wait_s * 1000;
	ctl_run_calls(ctl, &call, 1);
	root = json_tokener_parse(call.text->str);
	if (call.answered && call.status == 200) {
		status = CTL_OK;
		if (ctl->json)
			ctl_print_json(json_object_get(root));
		else
			puts("may stop: no request is running");
	} else if (call.timed_out) {
		status = CTL_WAIT_TIMED_OUT;
		ctl_print_error(
			"requests are still running after %d s; the upstream "
			"continues to drain",
			wait_s);
	} else {
		ctl_print_error("%s: %s%s", call.url,
				call.answered ? jsonc_get_text(root, "state") :
						"no answer",
				jsonc_get_text(root, "error"));
	}
	json_object_put(root);
	ctl_call_finish(&call);
	return status;
}

static void print_running(json_object *root)
{
	printf("draining, %" G_GUINT64_FORMAT " running\n",
	       jsonc_get_uint(root, "running"));
}

static int run(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	if (wait_until_idle)
		return wait_for_stop(ctl);
	return ctl_print(ctl, ctl_request(ctl, "POST", "/v1/upstream/drain"),
			 print_running);
}

const struct ctl_command ctl_drain = {
	.name = "drain",
	.arguments = "",
	.summary = "stop sending new requests to the upstream of a daemon",
	.options = options,
	.run = run,
};
