#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static void print_state(json_object *root)
{
	printf("upstream is %s\n", jsonc_get_text(root, "state"));
}

static int run(struct ctl *ctl, char **arguments)
{
	(void)arguments;
	return ctl_print(ctl, ctl_request(ctl, "POST", "/v1/upstream/resume"),
			 print_state);
}

const struct ctl_command ctl_resume = {
	.name = "resume",
	.arguments = "",
	.summary = "send requests to a drained upstream again",
	.run = run,
};
