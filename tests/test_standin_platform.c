#include <glib.h>
#include <string.h>

#include "table.h"

/* All configuration tests rely on the table of the platform stand-in, so a
 * fault in it would hide faults of the daemon. */

#define ROW(key) "{\"table\":\"t\",\"part\":\"\",\"key\":\"" key "\"}"
#define ROW_AT(key, version) \
	"{\"table\":\"t\",\"part\":\"\",\"key\":\"" key "\",\"ver\":" version "}"
#define PUT(key)                                                              \
	"{\"table\":\"t\",\"part\":\"\",\"key\":\"" key "\",\"value\":\"MQ==" \
	"\"}"

static enum table_status run_as(struct table *table, const char *expect,
				const char *set, const char *remove,
				bool is_operator, struct json_object **answer)
{
	char *text = g_strdup_printf(
		"{\"expect\":[%s],\"setKeys\":[%s],\"remove\":[%s]}", expect,
		set, remove);
	struct json_object *transaction = json_tokener_parse(text);
	enum table_status status;

	g_assert_nonnull(transaction);
	status = table_transact(table, transaction, is_operator, answer);
	json_object_put(transaction);
	g_free(text);
	return status;
}

static enum table_status run(struct table *table, const char *expect,
			     const char *set, const char *remove)
{
	struct json_object *answer = NULL;
	enum table_status status =
		run_as(table, expect, set, remove, false, &answer);

	json_object_put(answer);
	return status;
}

static uint64_t version_of(struct table *table, const char *key)
{
	const struct table_row *row = table_get(table, "t", "", key);

	return row ? row->version : 0;
}

static void test_transactions_are_atomic(void)
{
	struct json_object *answer = NULL;
	struct table table;

	table_init(&table);
	g_assert_cmpint(run(&table, ROW_AT("a", "0"), PUT("a"), ""), ==,
			TABLE_APPLIED);
	/* The second condition fails, so b isn't written either. */
	g_assert_cmpint(run_as(&table, ROW_AT("b", "0") "," ROW_AT("a", "7"),
			       PUT("b"), "", false, &answer),
			==, TABLE_CONFLICT);
	/* The answer has the current rows of the conditions. */
	g_assert_cmpuint(json_object_array_length(
				 json_object_object_get(answer, "rows")),
			 ==, 1);
	json_object_put(answer);
	g_assert_cmpuint(version_of(&table, "b"), ==, 0);
	/* Nothing is written either if one operation is malformed. */
	g_assert_cmpint(run(&table, "", PUT("b") "," ROW("a"), ""), ==,
			TABLE_MALFORMED);
	g_assert_cmpint(run(&table, "", "", ""), ==, TABLE_MALFORMED);
	g_assert_cmpuint(version_of(&table, "b"), ==, 0);
	g_assert_cmpuint(json_object_array_length(table.history), ==, 1);
	table_finish(&table);
}

static void test_versions_never_restart(void)
{
	struct table table;

	table_init(&table);
	run(&table, "", PUT("a"), "");
	run(&table, ROW_AT("a", "1"), "", ROW("a"));
	g_assert_cmpuint(version_of(&table, "a"), ==, 0);
	/* A client that read version 1 before the delete can't overwrite the
	 * new row. */
	g_assert_cmpint(run(&table, ROW_AT("a", "0"), PUT("a"), ""), ==,
			TABLE_APPLIED);
	g_assert_cmpuint(version_of(&table, "a"), ==, 3);
	g_assert_cmpint(run(&table, ROW_AT("a", "1"), "", ROW("a")), ==,
			TABLE_CONFLICT);
	g_assert_cmpuint(version_of(&table, "a"), ==, 3);
	table_finish(&table);
}

static void test_only_operators_write_their_tables(void)
{
	static const char put[] = "{\"table\":\"op\",\"part\":\"\",\"key\":"
				  "\"k\",\"value\":\"MQ==\"}";
	struct json_object *answer = NULL;
	struct table table;

	table_init(&table);
	g_assert_cmpint(run(&table, "", put, ""), ==, TABLE_FORBIDDEN);
	g_assert_cmpint(run_as(&table, "", put, "", true, &answer), ==,
			TABLE_APPLIED);
	json_object_put(answer);
	table_finish(&table);
}

static void assert_keys(struct json_object *page, const char *first, size_t count)
{
	struct json_object *rows = json_object_object_get(page, "rows");

	g_assert_cmpuint(json_object_array_length(rows), ==, count);
	if (first)
		g_assert_cmpstr(
			json_object_get_string(json_object_object_get(
				json_object_array_get_idx(rows, 0), "key")),
			==, first);
	json_object_put(page);
}

static void assert_page(struct table *table, const char *from, const char *to,
			size_t limit, const char *first, size_t count)
{
	struct table_range range = {
		.table = "t",
		.part = "",
		.from = from,
		.to = to,
		.limit = limit,
	};

	assert_keys(table_list(table, &range), first, count);
}

static void test_pages(void)
{
	struct table table;

	table_init(&table);
	run(&table, "", PUT("p1") "," PUT("p2") "," PUT("p3") "," PUT("q1"), "");
	run(&table, "", "", ROW("p2"));
	assert_page(&table, "", NULL, 10, "p1", 3);
	assert_page(&table, "", NULL, 1, "p1", 1);
	assert_page(&table, "p1", "q", 10, "p1", 2);
	assert_page(&table, "p2", "q", 10, "p3", 1);
	assert_page(&table, "q2", NULL, 10, NULL, 0);
	table_finish(&table);
}

/* The changes list each row once, at its last change, and mark deleted rows. */
static void test_changes(void)
{
	struct json_object *changes;
	struct table table;

	table_init(&table);
	run(&table, "", PUT("a"), "");
	run(&table, "", PUT("b"), "");
	run(&table, "", PUT("a"), "");
	run(&table, "", "", ROW("b"));
	assert_keys(table_changes(&table, "t", 0), "a", 2);
	changes = table_changes(&table, "t", 3);
	g_assert_nonnull(
		strstr(json_object_to_json_string(changes), "tombstone"));
	assert_keys(changes, "b", 1);
	g_assert_null(table_changes(&table, "t", 4));
	g_assert_null(table_changes(&table, "other", 0));
	table_finish(&table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/standin-platform/atomic", test_transactions_are_atomic);
	g_test_add_func("/standin-platform/versions-never-restart",
			test_versions_never_restart);
	g_test_add_func("/standin-platform/operators",
			test_only_operators_write_their_tables);
	g_test_add_func("/standin-platform/pages", test_pages);
	g_test_add_func("/standin-platform/changes", test_changes);
	return g_test_run();
}
