/* Operators' files: a file that passes the check which reports findings also
 * loads without it and has the same meaning, also if its rules are already in
 * the cache. */
#include <glib.h>
#include <string.h>

#include "comfreydockd/config/check.h"
#include "fuzz.h"

static void compare_namespaces(const struct config_namespace *a,
			       const struct config_namespace *b)
{
	g_assert(strcmp(a->name, b->name) == 0);
	g_assert(a->services->len == b->services->len);
	for (guint i = 0; i < a->services->len; i++) {
		const struct config_service *left = a->services->pdata[i];
		const struct config_service *right = b->services->pdata[i];

		g_assert(strcmp(left->name, right->name) == 0);
		g_assert(left->rules->len == right->rules->len);
		for (guint j = 0; j < left->rules->len; j++) {
			const struct config_rule *x = left->rules->pdata[j];
			const struct config_rule *y = right->rules->pdata[j];

			g_assert(strcmp(x->name, y->name) == 0);
			g_assert(strcmp(x->path_prefix, y->path_prefix) == 0);
			g_assert(x->deadline_ms == y->deadline_ms);
			g_assert(strcmp(config_rule_select_group(x, 0),
					config_rule_select_group(y, 0)) == 0);
		}
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	char *text = g_strndup((const char *)bytes, size);
	struct config_namespace *accepted;
	struct config_namespace *again;
	struct config_namespace *checked;
	struct findings findings;

	findings_init(&findings);
	checked = config_namespace_load("file", text, &findings);
	g_assert((checked == NULL) == (findings.errors > 0));
	accepted = config_namespace_load_accepted(text, "");
	again = config_namespace_load_accepted(text, "");
	g_assert(!accepted == !again);
	if (checked) {
		g_assert(accepted);
		compare_namespaces(checked, accepted);
		compare_namespaces(checked, again);
	}
	config_namespace_unref(again);
	config_namespace_unref(accepted);
	config_namespace_unref(checked);
	findings_finish(&findings);
	g_free(text);
	return 0;
}
