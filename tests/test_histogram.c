#include <glib.h>

#include "histogram.h"

static void test_small_values_are_exact(void)
{
	struct histogram *histogram = g_new0(struct histogram, 1);

	g_assert_cmpuint(histogram_quantile(histogram, 0.99), ==, 0);
	for (uint64_t i = 1; i <= 100; i++)
		histogram_record(histogram, i);
	g_assert_cmpuint(histogram_quantile(histogram, 0.5), ==, 50);
	g_assert_cmpuint(histogram_quantile(histogram, 0.99), ==, 99);
	g_assert_cmpuint(histogram_quantile(histogram, 1.0), ==, 100);
	g_assert_cmpfloat(histogram_mean(histogram), ==, 50.5);
	g_free(histogram);
}

/* A value below the largest bucket is read back as itself or as at most 1/128
 * more, and never as less. */
static void test_error_is_bounded(void)
{
	for (int round = 0; round < 1000; round++) {
		struct histogram *histogram = g_new0(struct histogram, 1);
		int bits = g_test_rand_int_range(1, HISTOGRAM_MAX_BITS);
		uint64_t value = ((uint64_t)g_test_rand_int() << 20) &
				 ((1ULL << bits) - 1);
		uint64_t read;

		histogram_record(histogram, value);
		histogram_record(histogram, 1ULL << 60);
		read = histogram_quantile(histogram, 0.5);
		g_assert_cmpuint(read, >=, value);
		g_assert_cmpuint(read, <=, value + value / HISTOGRAM_SUB_BUCKETS);
		g_assert_cmpuint(histogram_quantile(histogram, 1.0), >, value);
		g_free(histogram);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/histogram/small", test_small_values_are_exact);
	g_test_add_func("/histogram/error", test_error_is_bounded);
	return g_test_run();
}
