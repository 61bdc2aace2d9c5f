#include "sample_config.h"

#include <glib.h>

char *sample_config_read(void)
{
	char *path = g_build_filename(g_getenv("COMFREYDOCK_SOURCE"), "docs",
				      "operators", "lookup.sample.json", NULL);
	char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}
