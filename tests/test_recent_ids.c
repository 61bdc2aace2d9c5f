#include <glib.h>

#include "comfreydockd/upstream/recent_ids.h"

#define START_US INT64_C(1000000)

/* RETURN VALUE: whether the id was known before. */
static bool add(struct recent_ids *ids, unsigned int number, int64_t now_us)
{
	char id[24];

	bool was_known;

	g_snprintf(id, sizeof(id), "request-%u", number);
	was_known = recent_ids_has(ids, id);
	recent_ids_add(ids, id, now_us);
	return was_known;
}

/* Guards against a repeat that is taken for a first time within a minute. */
static void test_a_minute(void)
{
	struct recent_ids ids;

	recent_ids_init(&ids);
	g_assert_false(add(&ids, 1, START_US));
	g_assert_false(add(&ids, 2, START_US + RECENT_IDS_KEEP_US - 1));
	g_assert_false(add(&ids, 3, START_US + RECENT_IDS_KEEP_US + 1));
	g_assert_true(add(&ids, 2, START_US + 2 * RECENT_IDS_KEEP_US - 1));
	g_assert_true(add(&ids, 3, START_US + 2 * RECENT_IDS_KEEP_US));
	recent_ids_finish(&ids);
}

/* Guards against memory that grows with the rate, and against an id lost before
 * RECENT_IDS_MAX others came. */
static void test_many(void)
{
	struct recent_ids ids;

	recent_ids_init(&ids);
	for (unsigned int i = 0; i < 4 * RECENT_IDS_MAX; i++)
		g_assert_false(add(&ids, i, START_US));
	g_assert_cmpuint(g_hash_table_size(ids.current) +
				 g_hash_table_size(ids.previous),
			 <=, 2 * RECENT_IDS_MAX);
	g_assert_true(add(&ids, 3 * RECENT_IDS_MAX, START_US));
	recent_ids_finish(&ids);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/recent-ids/minute", test_a_minute);
	g_test_add_func("/recent-ids/many", test_many);
	return g_test_run();
}
