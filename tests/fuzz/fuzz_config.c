/* Operators' files: what passes the check with places passes the one without, and
 * means the same. */
#include <glib.h>
#include <string.h>

#include "comfreydockd/config/check.h"
#include "fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	char *text = g_strndup((const char *)bytes, size);
	struct config_namespace *accepted;
	struct config_namespace *checked;
	struct findings findings;

	findings_init(&findings);
	checked = config_namespace_load("file", text, &findings);
	g_assert((checked == NULL) == (findings.errors > 0));
	accepted = config_namespace_load_accepted(text, "");
	if (checked) {
		g_assert(accepted);
		g_assert(strcmp(checked->name, accepted->name) == 0);
		g_assert(checked->services->len == accepted->services->len);
	}
	config_namespace_unref(accepted);
	config_namespace_unref(checked);
	findings_finish(&findings);
	g_free(text);
	return 0;
}
