#include <glib.h>

#include "comfreydockd/decide/health.h"

#define MS ((int64_t)1000)
#define SECOND ((int64_t)1000 * 1000)
#define UPSTREAMS 7

struct fixture {
	struct health health;
	struct health_upstream upstreams[UPSTREAMS];
};

static void set_up(struct fixture *f, const struct health_policy *policy)
{
	health_init(&f->health, policy, 3);
	for (size_t i = 0; i < UPSTREAMS; i++)
		health_add(&f->health, &f->upstreams[i], true);
}

static void call(struct fixture *f, size_t i, enum health_outcome outcome,
		 int64_t now_us)
{
	struct health_upstream *u = &f->upstreams[i];
	uint32_t epoch = health_note_sent(&f->health, u, now_us);

	health_note_ended(&f->health, u, epoch, outcome, now_us);
}

static size_t count_state(const struct fixture *f, enum health_state state)
{
	size_t count = 0;

	for (size_t i = 0; i < UPSTREAMS; i++)
		count += f->upstreams[i].available &&
			 f->upstreams[i].state == state;
	return count;
}

/*
 * A bad release on one upstream answers each call with an error within a
 * millisecond. Its slots look free, and without an ejection a share of all
 * callers gets errors until somebody notices.
 */
static void test_failing_upstream_is_ejected(void)
{
	struct fixture f;

	set_up(&f, &health_outlier);
	for (int i = 0; i < 10; i++) {
		for (size_t u = 0; u < UPSTREAMS; u++)
			call(&f, u, u == 2 ? HEALTH_ERROR : HEALTH_OK, i * MS);
	}
	g_assert_false(health_is_usable(&f.upstreams[2]));
	g_assert_cmpuint(count_state(&f, HEALTH_CLOSED), ==, 6);
	set_up(&f, &health_none);
	for (int i = 0; i < 10; i++)
		call(&f, 2, HEALTH_ERROR, i * MS);
	g_assert_true(health_is_usable(&f.upstreams[2]));
}

/*
 * A service behind all upstreams is down, and all of them answer with errors.
 * Ejecting one after the other would only overload the remaining ones.
 */
static void test_common_fault_ejects_few(void)
{
	struct fixture f;

	set_up(&f, &health_outlier);
	for (int i = 0; i < 200; i++) {
		call(&f, (size_t)i % UPSTREAMS,
		     i % 3 ? HEALTH_ERROR : HEALTH_OK, i * MS);
	}
	g_assert_cmpuint(count_state(&f, HEALTH_CLOSED), >=, 5);
}

/*
 * A host freezes: its connections stay open, and nothing comes back. Each call
 * sent there is lost, and no error counts against the upstream before the
 * deadlines expire.
 */
static void test_black_hole_is_ejected(void)
{
	struct fixture f;

	set_up(&f, &health_outlier);
	for (int i = 0; i < 3; i++)
		health_note_sent(&f.health, &f.upstreams[0], i * MS);
	health_tick(&f.health, SECOND);
	g_assert_true(health_is_usable(&f.upstreams[0]));
	health_tick(&f.health, HEALTH_SILENCE_US);
	g_assert_false(health_is_usable(&f.upstreams[0]));
}

/*
 * An upstream recovers and fails again. Each recovery lets one call through at
 * a time, and each failure ejects it for longer, so that a flapping upstream
 * fails fewer and fewer calls. A late result of an older call does not count as
 * a trial.
 */
static void test_flapping_upstream_is_ejected_for_longer(void)
{
	struct fixture f;
	struct health_upstream *u = &f.upstreams[0];
	int64_t now = 0;
	int64_t away = 0;
	uint32_t old;

	set_up(&f, &health_outlier);
	old = health_note_sent(&f.health, u, now);
	for (int i = 0; i < HEALTH_ERRORS_IN_A_ROW; i++)
		call(&f, 0, HEALTH_LOST, now);
	for (int i = 0; i < 5; i++) {
		g_assert_cmpint(u->state, ==, HEALTH_EJECTED);
		g_assert_cmpint(u->ejected_until_us - now, >, away);
		away = u->ejected_until_us - now;
		now = u->ejected_until_us;
		health_tick(&f.health, now);
		health_note_ended(&f.health, u, old, HEALTH_TIMEOUT, now);
		g_assert_true(health_is_usable(u));
		old = health_note_sent(&f.health, u, now);
		g_assert_false(health_is_usable(u));
		health_note_ended(&f.health, u, old, HEALTH_LOST, now);
	}
	now = u->ejected_until_us;
	health_tick(&f.health, now);
	for (int i = 0; i < HEALTH_TRIALS; i++)
		call(&f, 0, HEALTH_OK, now);
	g_assert_cmpint(u->state, ==, HEALTH_CLOSED);
}

static void apply_random_event(struct fixture *f, size_t i, int64_t now)
{
	struct health_upstream *u = &f->upstreams[i];

	switch (g_test_rand_int_range(0, 8)) {
	case 0:
		health_set_available(&f->health, u, g_test_rand_bit());
		break;
	case 1:
		health_note_sent(&f->health, u, now);
		break;
	case 2:
		health_tick(&f->health, now);
		break;
	case 3:
		health_remove(&f->health, u);
		health_add(&f->health, u, g_test_rand_bit());
		break;
	default:
		call(f, i, (enum health_outcome)g_test_rand_int_range(0, 4), now);
	}
}

/*
 * Whatever the outcomes, drains, removals and returns: while an upstream is
 * available, one is in use, or all callers would be refused although it is
 * ready. No event ejects an upstream once the maximum share is reached.
 */
static void test_never_ejects_the_last(void)
{
	struct fixture f;
	int64_t now = 0;

	set_up(&f, &health_outlier);
	for (int i = 0; i < 50000; i++) {
		size_t open = count_state(&f, HEALTH_CLOSED);
		size_t u = (size_t)g_test_rand_int_range(0, UPSTREAMS);
		bool available = f.upstreams[u].available;
		size_t out, all;

		now += g_test_rand_int_range(0, 200) * MS;
		apply_random_event(&f, u, now);
		out = count_state(&f, HEALTH_EJECTED) +
		      count_state(&f, HEALTH_HALF_OPEN);
		all = out + count_state(&f, HEALTH_CLOSED);
		if (all > 0)
			g_assert_cmpuint(all - out, >, 0);
		if (all - out < open && f.upstreams[u].available && available)
			g_assert_cmpfloat(
				out, <=, MAX(1, HEALTH_EJECTED_SHARE_MAX * all));
	}
}

/*
 * Half of the hosts lose their network. A fifth of all calls goes to each of
 * them and is lost at its deadline. The maximum share, which exists for common
 * faults, would keep most of these hosts in use although the others answer.
 */
static void test_mute_are_ejected_beyond_the_ceiling(void)
{
	struct fixture f;

	set_up(&f, &health_outlier);
	for (size_t u = 0; u < UPSTREAMS; u++)
		health_note_sent(&f.health, &f.upstreams[u], 0);
	for (size_t u = 0; u < 4; u++) {
		for (int i = 0; i < HEALTH_MUTE_QUESTIONS; i++)
			health_note_mute(&f.health, &f.upstreams[u], 250 * MS);
		g_assert_true(health_is_usable(&f.upstreams[u]));
	}
	for (size_t u = 4; u < UPSTREAMS; u++)
		health_note_heard(&f.upstreams[u], 250 * MS);
	health_tick(&f.health, HEALTH_MUTE_US);
	for (size_t u = 0; u < UPSTREAMS; u++)
		g_assert_cmpint(health_is_usable(&f.upstreams[u]), ==, u >= 4);
}

/*
 * A slow upstream takes seconds for a call, and its owner says so each time it
 * is asked. The upstream must stay in use, since its answer comes.
 */
static void test_slow_is_not_mute(void)
{
	struct fixture f;

	set_up(&f, &health_outlier);
	health_note_sent(&f.health, &f.upstreams[0], 0);
	for (int i = 1; i < 20; i++) {
		health_note_mute(&f.health, &f.upstreams[0], i * 100 * MS);
		health_note_heard(&f.upstreams[0], i * 100 * MS + 20 * MS);
		health_tick(&f.health, i * 100 * MS + 50 * MS);
		g_assert_true(health_is_usable(&f.upstreams[0]));
	}
}

/*
 * This host itself is cut off. Its callers would each wait until their
 * deadlines and then get an unknown outcome, while other daemons could serve
 * them. They are refused at once instead, except for occasional trials. With
 * the first sign of life all calls go through again.
 */
static void test_all_mute_allows_trials_only(void)
{
	int64_t now = SECOND;
	struct fixture f;
	int tried = 0;

	set_up(&f, &health_outlier);
	for (size_t u = 0; u < UPSTREAMS; u++) {
		health_note_sent(&f.health, &f.upstreams[u], 0);
		g_assert_true(health_may_try(&f.health, false, now));
		for (int i = 0; i < HEALTH_MUTE_QUESTIONS; i++)
			health_note_mute(&f.health, &f.upstreams[u], now);
	}
	for (int i = 0; i < 1000; i++)
		tried += health_may_try(&f.health, true, now + i * MS);
	g_assert_cmpint(tried, ==, 10);
	tried = 0;
	for (int i = 1000; i < 4000; i++)
		tried += health_may_try(&f.health, false, now + i * MS);
	g_assert_cmpint(tried, ==, 3);
	health_note_heard(&f.upstreams[3], now + 4000 * MS);
	g_assert_true(health_may_try(&f.health, false, now + 4000 * MS));
	g_assert_true(health_may_try(&f.health, false, now + 4000 * MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/health/fail-fast", test_failing_upstream_is_ejected);
	g_test_add_func("/health/common", test_common_fault_ejects_few);
	g_test_add_func("/health/black-hole", test_black_hole_is_ejected);
	g_test_add_func("/health/flapping",
			test_flapping_upstream_is_ejected_for_longer);
	g_test_add_func("/health/mute-beyond-share",
			test_mute_are_ejected_beyond_the_ceiling);
	g_test_add_func("/health/slow", test_slow_is_not_mute);
	g_test_add_func("/health/all-mute", test_all_mute_allows_trials_only);
	g_test_add_func("/health/last", test_never_ejects_the_last);
	return g_test_run();
}
