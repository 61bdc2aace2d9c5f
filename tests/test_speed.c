#include <glib.h>

#include "comfreydockd/decide/speed.h"

#define MS ((int64_t)1000)

static struct speed usual(void)
{
	struct speed speed = {0};

	for (int i = 0; i < 100; i++)
		speed_note_answer(&speed, 10 * MS);
	return speed;
}

/*
 * A neighbour on the host takes the disk, and each request takes ten times as
 * long. The reported value must show this after twenty answers, or the callers
 * of other daemons wait there. It must also show when the slowness is over.
 */
static void test_ten_times_slower_shows_after_twenty(void)
{
	struct speed speed = usual();

	for (int i = 0; i < 20; i++)
		speed_note_answer(&speed, 100 * MS);
	g_assert_cmpint(speed_us(&speed), >, 90 * MS);
	for (int i = 0; i < 25; i++)
		speed_note_answer(&speed, 10 * MS);
	g_assert_cmpint(speed_us(&speed), <, 12 * MS);
}

/* One job of two hundred takes a second; the upstream is as fast as ever. */
static void test_long_job_does_not_look_slow(void)
{
	struct speed speed = usual();

	speed_note_answer(&speed, 1000 * MS);
	g_assert_cmpint(speed_us(&speed), <, 12 * MS);
}

/*
 * A broken release answers each call with an error within 100 us. Reported as
 * fast, it would get the calls of all entries that have not called it yet. A
 * few errors among good answers say nothing about its speed.
 */
static void test_errors_count_as_slow(void)
{
	struct speed speed = usual();

	for (int i = 0; i < 20; i++)
		speed_note_error(&speed);
	g_assert_cmpint(speed_us(&speed), >, 50 * MS);
	for (int i = 0; i < 1000; i++)
		speed_note_error(&speed);
	g_assert_cmpint(speed_us(&speed), <=, 200 * MS);
	speed = usual();
	for (int i = 0; i < 1000; i++) {
		if (i % 3 == 0)
			speed_note_error(&speed);
		else
			speed_note_answer(&speed, 10 * MS);
		g_assert_cmpint(speed_us(&speed), <, 13 * MS);
	}
}

static void test_nothing_is_told_before_an_answer(void)
{
	struct speed speed = {0};

	speed_note_error(&speed);
	g_assert_cmpint(speed_us(&speed), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/speed/slower",
			test_ten_times_slower_shows_after_twenty);
	g_test_add_func("/speed/long-job", test_long_job_does_not_look_slow);
	g_test_add_func("/speed/errors", test_errors_count_as_slow);
	g_test_add_func("/speed/unknown", test_nothing_is_told_before_an_answer);
	return g_test_run();
}
