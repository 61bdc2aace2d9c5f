#include <glib.h>

#include "comfreydockd/caller/arrivals.h"

/* Guards against a request that gets the time of another one in the buffer. */
static void test_each_part_has_its_time(void)
{
	struct arrivals arrivals = {0};

	arrivals_add(&arrivals, 10, 100);
	arrivals_add(&arrivals, 5, 200);
	g_assert_cmpint(arrivals_take(&arrivals, 4), ==, 100);
	g_assert_cmpint(arrivals_take(&arrivals, 6), ==, 100);
	g_assert_cmpint(arrivals_take(&arrivals, 1), ==, 200);
	arrivals_add(&arrivals, 5, 300);
	g_assert_cmpint(arrivals_take(&arrivals, 5), ==, 300);
	g_assert_cmpint(arrivals_take(&arrivals, 4), ==, 300);
	g_assert_cmpint(arrivals_take(&arrivals, 1), ==, 0);
}

/* Guards against a request that is charged for time before it arrived, where
 * its caller sends byte by byte. */
static void test_many_reads(void)
{
	struct arrivals arrivals = {0};
	int64_t latest_us = 10 * ARRIVALS_MAX;

	for (int64_t us = 1; us <= latest_us; us++)
		arrivals_add(&arrivals, 1, us);
	for (int64_t us = 1; us <= latest_us; us++)
		g_assert_cmpint(arrivals_take(&arrivals, 1), >=, us);
	g_assert_cmpuint(arrivals.count, ==, 0);
}

static void test_clear(void)
{
	struct arrivals arrivals = {0};

	arrivals_add(&arrivals, 10, 100);
	arrivals_clear(&arrivals);
	arrivals_add(&arrivals, 1, 200);
	g_assert_cmpint(arrivals_take(&arrivals, 1), ==, 200);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/arrivals/parts", test_each_part_has_its_time);
	g_test_add_func("/arrivals/many", test_many_reads);
	g_test_add_func("/arrivals/clear", test_clear);
	return g_test_run();
}
