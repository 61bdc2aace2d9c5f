#include <glib.h>

#include "platform/store_era.h"

static void test_versions_carry_their_era(void)
{
	uint64_t version = store_era_combine(33, 2);

	g_assert_cmpuint(store_era_of(version), ==, 2);
	g_assert_cmpuint(version & PLATFORM_VERSION_MASK, ==, 33);
	g_assert_cmpuint(version, >, store_era_combine(34, 1));
	g_assert_cmpuint(store_era_combine(33, 0), ==, 33);
}

/* Guards against a version from before a restore that is sent as a current one. */
static void test_versions_of_other_eras_never_match(void)
{
	struct store_era era = {0};

	g_assert_cmpuint(store_era_strip(&era, 33), ==, 33);
	store_era_update(&era, 2);
	g_assert_cmpuint(store_era_strip(&era, store_era_combine(33, 2)), ==, 33);
	g_assert_cmpuint(store_era_strip(&era, store_era_combine(33, 1)), ==,
			 PLATFORM_VERSION_MASK);
	g_assert_cmpuint(store_era_strip(&era, 0), ==, 0);
}

/* Guards against a delayed answer that sets the era back to an older one. */
static void test_an_era_only_rises(void)
{
	struct store_era era = {0};

	g_assert_false(store_era_update(&era, 5));
	g_assert_false(store_era_update(&era, 5));
	g_assert_true(store_era_update(&era, 6));
	g_assert_false(store_era_update(&era, 5));
	g_assert_cmpuint(era.current, ==, 6);
}

/* Guards against a store whose eras start with a large number, such as a time. */
static void test_a_large_era(void)
{
	struct store_era era = {0};
	uint64_t told = store_era_parse("1764700000");
	uint64_t last = ((uint64_t)1 << STORE_ERA_BITS) - 1;

	store_era_update(&era, told);
	g_assert_cmpuint(store_era_of(store_era_combine(33, told)), ==, told);
	g_assert_cmpuint(store_era_strip(&era, store_era_combine(33, told)), ==,
			 33);
	g_assert_true(store_era_update(&era, store_era_parse("1764700001")));
	era.current = last;
	g_assert_true(store_era_update(&era, 0));
	g_assert_cmpint((int64_t)store_era_combine(33, last), >, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-era/carried", test_versions_carry_their_era);
	g_test_add_func("/store-era/other-era",
			test_versions_of_other_eras_never_match);
	g_test_add_func("/store-era/rises", test_an_era_only_rises);
	g_test_add_func("/store-era/large", test_a_large_era);
	return g_test_run();
}
