#include <glib.h>

#include "comfreydockd/decide/ahead.h"

static const struct ahead_question lookup_behind_one = {
	.unanswered = 1,
	.idempotent = true,
};

static void test_first_begins_whatever_it_is(void)
{
	struct ahead_question question = {.has_body = true,
					  .total = AHEAD_TOTAL_MAX};

	g_assert_true(ahead_may_begin(&question));
}

static void test_lookup_begins_behind_another(void)
{
	g_assert_true(ahead_may_begin(&lookup_behind_one));
}

/*
 * A booking stands behind a lookup whose answer closes the connection. Its
 * caller sends it again, as it must be taken for unread; had it been begun, the
 * franchise would be billed twice.
 */
static void test_booking_waits(void)
{
	struct ahead_question question = lookup_behind_one;

	question.idempotent = false;
	g_assert_false(ahead_may_begin(&question));
}

static void test_body_waits(void)
{
	struct ahead_question question = lookup_behind_one;

	question.has_body = true;
	g_assert_false(ahead_may_begin(&question));
}

/* One caller sends without end, and its answers pile up behind a stuck one. */
static void test_bounds(void)
{
	struct ahead_question question = lookup_behind_one;

	question.unanswered = AHEAD_CALLS_MAX - 1;
	g_assert_true(ahead_may_begin(&question));
	question.unanswered = AHEAD_CALLS_MAX;
	g_assert_false(ahead_may_begin(&question));
	question = lookup_behind_one;
	question.total = AHEAD_TOTAL_MAX;
	g_assert_false(ahead_may_begin(&question));
}

/* All answers that may wait for their turn stay within a quarter of the 64 MiB
 * that a daemon may keep. */
static void test_memory(void)
{
	g_assert_cmpuint(AHEAD_TOTAL_MAX * AHEAD_WINDOW_BYTES, <=,
			 64 * 1024 * 1024 / 4);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ahead/first", test_first_begins_whatever_it_is);
	g_test_add_func("/ahead/lookup", test_lookup_begins_behind_another);
	g_test_add_func("/ahead/booking", test_booking_waits);
	g_test_add_func("/ahead/body", test_body_waits);
	g_test_add_func("/ahead/bounds", test_bounds);
	g_test_add_func("/ahead/memory", test_memory);
	return g_test_run();
}
