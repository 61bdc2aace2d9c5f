#include <glib.h>

#include "table.h"

/* The judge of all tests on configuration: it must itself be right. */

static enum table_status run(struct table *table, const char *ops,
			     uint64_t *version)
{
	char *text = g_strdup_printf("{\"id\":\"t\",\"ops\":%s}", ops);
	struct json_object *transaction = json_tokener_parse(text);
	struct table_result result = {0};

	g_assert_nonnull(transaction);
	table_transact(table, transaction, &result);
	*version = result.version;
	json_object_put(result.versions);
	json_object_put(transaction);
	g_free(text);
	return result.status;
}

static uint64_t version_of(struct table *table, const char *key)
{
	const struct table_row *row = table_get(table, key);

	return row ? row->version : 0;
}

static void test_all_or_nothing(void)
{
	struct table table;
	uint64_t has;

	table_init(&table);
	g_assert_cmpint(run(&table,
			    "[{\"op\":\"put\",\"key\":\"a\",\"value\":1,"
			    "\"if_version\":0}]",
			    &has),
			==, TABLE_APPLIED);
	/* The second condition fails, so b isn't written either. */
	g_assert_cmpint(
		run(&table,
		    "[{\"op\":\"put\",\"key\":\"b\",\"value\":1},"
		    "{\"op\":\"check\",\"key\":\"a\",\"if_version\":7}]",
		    &has),
		==, TABLE_CONFLICT);
	g_assert_cmpuint(has, ==, 1);
	g_assert_null(table_get(&table, "b"));
	/* Nor is anything where one operation makes no sense. */
	g_assert_cmpint(run(&table,
			    "[{\"op\":\"put\",\"key\":\"b\",\"value\":1},"
			    "{\"op\":\"add\",\"key\":\"a\"}]",
			    &has),
			==, TABLE_MALFORMED);
	g_assert_null(table_get(&table, "b"));
	g_assert_cmpuint(json_object_array_length(table.history), ==, 1);
	table_finish(&table);
}

static void test_versions_never_restart(void)
{
	struct table table;
	uint64_t has;

	table_init(&table);
	run(&table, "[{\"op\":\"put\",\"key\":\"a\",\"value\":1}]", &has);
	run(&table, "[{\"op\":\"delete\",\"key\":\"a\",\"if_version\":1}]", &has);
	g_assert_null(table_get(&table, "a"));
	/* Whoever saw version 1 before the delete can't overwrite what is new. */
	g_assert_cmpint(run(&table,
			    "[{\"op\":\"put\",\"key\":\"a\",\"value\":2,"
			    "\"if_version\":0}]",
			    &has),
			==, TABLE_APPLIED);
	g_assert_cmpuint(version_of(&table, "a"), ==, 3);
	g_assert_cmpint(
		run(&table,
		    "[{\"op\":\"delete\",\"key\":\"a\",\"if_version\":1}]", &has),
		==, TABLE_CONFLICT);
	g_assert_cmpuint(has, ==, 3);
	table_finish(&table);
}

static void assert_page(struct table *table, const char *after, size_t limit,
			const char *first, size_t count)
{
	struct json_object *page = table_list(table, "p/", after, limit);
	struct json_object *rows = json_object_object_get(page, "rows");

	g_assert_cmpuint(json_object_array_length(rows), ==, count);
	if (first)
		g_assert_cmpstr(
			json_object_get_string(json_object_object_get(
				json_object_array_get_idx(rows, 0), "key")),
			==, first);
	json_object_put(page);
}

static void test_pages(void)
{
	struct table table;
	uint64_t has;

	table_init(&table);
	run(&table,
	    "[{\"op\":\"put\",\"key\":\"p/1\",\"value\":1},"
	    "{\"op\":\"put\",\"key\":\"p/2\",\"value\":1},"
	    "{\"op\":\"put\",\"key\":\"p/3\",\"value\":1},"
	    "{\"op\":\"put\",\"key\":\"q/1\",\"value\":1},"
	    "{\"op\":\"put\",\"key\":\"a\",\"value\":1}]",
	    &has);
	run(&table, "[{\"op\":\"delete\",\"key\":\"p/2\"}]", &has);
	assert_page(&table, "", 10, "p/1", 2);
	assert_page(&table, "", 1, "p/1", 1);
	assert_page(&table, "p/1", 10, "p/3", 1);
	assert_page(&table, "p/3", 10, NULL, 0);
	table_finish(&table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin-platform/all-or-nothing", test_all_or_nothing);
	g_test_add_func("/standin-platform/versions-never-restart",
			test_versions_never_restart);
	g_test_add_func("/standin-platform/pages", test_pages);
	return g_test_run();
}
