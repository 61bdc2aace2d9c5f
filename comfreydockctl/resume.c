#include <stdio.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

static int run(struct ctl *ctl, char **arguments)
{
	json_object *root = ctl_ask(ctl, "POST", "/v1/upstream/resume");

	(void)arguments;
	if (!root)
		return CTL_FAILED;
	if (ctl->json) {
		ctl_print_json(root);
		return CTL_OK;
	}
	printf("upstream is %s\n", jsonc_get_text(root, "state"));
	json_object_put(root);
	return CTL_OK;
}

const struct ctl_command ctl_resume = {
	.name = "resume",
	.arguments = "",
	.summary = "give a drained upstream new work again",
	.run = run,
};
