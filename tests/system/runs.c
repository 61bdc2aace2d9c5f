#include "runs.h"

static char **read_ids(const char *path)
{
	char *text = NULL;
	char **ids;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	ids = g_strsplit(text, "\n", -1);
	g_free(text);
	return ids;
}

GHashTable *runs_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void runs_read_file(GHashTable *runs, const char *path)
{
	char **ids = read_ids(path);

	for (char **id = ids; *id; id++) {
		guint count = runs_count_id(runs, *id);

		g_hash_table_replace(runs, g_strdup(*id),
				     GUINT_TO_POINTER(count + 1));
	}
	g_strfreev(ids);
}

unsigned int runs_count_id(GHashTable *runs, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(runs, id));
}

unsigned int runs_count_prefix(const char *path, const char *prefix)
{
	char **ids = read_ids(path);
	unsigned int count = 0;

	for (char **id = ids; *id; id++)
		count += **id && g_str_has_prefix(*id, prefix);
	g_strfreev(ids);
	return count;
}
