#include <glib.h>

#include "comfreydockd/decide/pipeline.h"

static const struct pipeline_request lookup_behind_one = {
	.unanswered = 1,
	.idempotent = true,
};

static void test_first_request_always_starts(void)
{
	struct pipeline_request request = {.has_body = true,
					   .total = PIPELINE_TOTAL_MAX};

	g_assert_true(pipeline_may_start(&request));
}

static void test_lookup_starts_behind_another(void)
{
	g_assert_true(pipeline_may_start(&lookup_behind_one));
}

/*
 * Guards against a booking that runs twice. It is pipelined behind a lookup
 * whose answer closes the connection, and its caller must assume that it was
 * not read and sends it again; the franchise would be billed twice.
 */
static void test_booking_waits(void)
{
	struct pipeline_request request = lookup_behind_one;

	request.idempotent = false;
	g_assert_false(pipeline_may_start(&request));
}

static void test_body_waits(void)
{
	struct pipeline_request request = lookup_behind_one;

	request.has_body = true;
	g_assert_false(pipeline_may_start(&request));
}

/* Guards against a caller that sends without end while its answers pile up
 * behind one that does not finish. */
static void test_bounds(void)
{
	struct pipeline_request request = lookup_behind_one;

	request.unanswered = PIPELINE_CALLS_MAX - 1;
	g_assert_true(pipeline_may_start(&request));
	request.unanswered = PIPELINE_CALLS_MAX;
	g_assert_false(pipeline_may_start(&request));
	request = lookup_behind_one;
	request.total = PIPELINE_TOTAL_MAX;
	g_assert_false(pipeline_may_start(&request));
}

/* All answers that may wait for their turn fit into a quarter of the 64 MiB
 * that a daemon may use. */
static void test_memory(void)
{
	g_assert_cmpuint(PIPELINE_TOTAL_MAX * PIPELINE_WINDOW_BYTES, <=,
			 64 * 1024 * 1024 / 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pipeline/first", test_first_request_always_starts);
	g_test_add_func("/pipeline/lookup", test_lookup_starts_behind_another);
	g_test_add_func("/pipeline/booking", test_booking_waits);
	g_test_add_func("/pipeline/body", test_body_waits);
	g_test_add_func("/pipeline/bounds", test_bounds);
	g_test_add_func("/pipeline/memory", test_memory);
	return g_test_run();
}
