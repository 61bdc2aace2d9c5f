#include <glib.h>
#include <stdbool.h>

#include "comfreydockd/decide/poll.h"

#define STEP_US ((int64_t)50 * 1000)
#define SECONDS 600

struct poller {
	unsigned int position;
	bool is_cut; /* its polls get no answer, and it hears of none */
	int64_t sent_us;
	int64_t confirmed_us;
};

struct installation {
	struct poller pollers[2 * POLLERS_MAX];
	unsigned int count;
	int64_t lag_us; /* until a confirmation has reached all */
	int64_t latest_us[2]; /* the last two confirmations */
	unsigned int polls;
	int64_t max_gap_us; /* between two confirmations */
};

static void confirm(struct installation *all, int64_t now_us)
{
	if (all->latest_us[0])
		all->max_gap_us =
			MAX(all->max_gap_us, now_us - all->latest_us[0]);
	all->latest_us[1] = all->latest_us[0];
	all->latest_us[0] = now_us;
}

/* Confirmations reach the others lag_us later, of which the latest counts. */
static void hear(const struct installation *all, struct poller *poller,
		 int64_t now_us)
{
	for (unsigned int i = 0; i < G_N_ELEMENTS(all->latest_us); i++) {
		if (!poller->is_cut && all->latest_us[i] + all->lag_us <= now_us)
			poller->confirmed_us =
				MAX(poller->confirmed_us, all->latest_us[i]);
	}
}

static void step(struct installation *all, int64_t now_us)
{
	for (unsigned int i = 0; i < all->count; i++) {
		struct poller *poller = &all->pollers[i];

		hear(all, poller, now_us);
		if (poll_due_us(poller->position, poller->confirmed_us,
				poller->sent_us) > now_us)
			continue;
		all->polls++;
		poller->sent_us = now_us;
		if (poller->is_cut)
			continue;
		poller->confirmed_us = now_us;
		confirm(all, now_us);
	}
}

static struct installation create(unsigned int count, int64_t lag_us)
{
	struct installation all = {.count = count, .lag_us = lag_us};

	for (unsigned int i = 0; i < count; i++)
		all.pollers[i].position = i;
	return all;
}

static void run(struct installation *all)
{
	for (int64_t now_us = STEP_US; now_us < SECONDS * POLL_INTERVAL_US;
	     now_us += STEP_US)
		step(all, now_us);
}

/* Guards against calls to the store that grow with the installation, or with
 * the time that gossip takes. */
static void test_calls_are_bounded(void)
{
	static const int64_t lags_us[] = {0, 300000, 1000000, 8000000,
					  INT64_MAX / 2};

	for (size_t i = 0; i < G_N_ELEMENTS(lags_us); i++) {
		struct installation all = create(2 * POLLERS_MAX, lags_us[i]);

		run(&all);
		g_assert_cmpuint(all.polls, <=, SECONDS * 39 / 10);
		g_assert_cmpuint(all.polls, >=, SECONDS * 19 / 10);
	}
}

/* If gossip is quick, two daemons poll for all. */
static void test_quick_gossip_saves_calls(void)
{
	struct installation all = create(2 * POLLERS_MAX, 300 * 1000);

	run(&all);
	g_assert_cmpuint(all.polls, <=, SECONDS * 21 / 10);
}

/* Guards against a change that nobody finds because the daemon that polls is
 * cut off from the store. */
static void test_next_daemon_takes_over(void)
{
	struct installation all = create(8, 300 * 1000);

	all.pollers[0].is_cut = true;
	all.pollers[1].is_cut = true;
	run(&all);
	g_assert_cmpint(all.max_gap_us, <=, 3 * POLL_INTERVAL_US + STEP_US);
	g_assert_cmpuint(all.polls, <=, SECONDS * 34 / 10);
}

/* Guards against a change that comes an interval later than others because the
 * first daemon that polls is gone at that moment. */
static void test_first_daemon_is_gone(void)
{
	struct installation all = create(8, 300 * 1000);

	all.pollers[0].is_cut = true;
	run(&all);
	g_assert_cmpint(all.max_gap_us, <=, POLL_INTERVAL_US + STEP_US);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poll/bounded", test_calls_are_bounded);
	g_test_add_func("/poll/quick-gossip", test_quick_gossip_saves_calls);
	g_test_add_func("/poll/takes-over", test_next_daemon_takes_over);
	g_test_add_func("/poll/first-gone", test_first_daemon_is_gone);
	return g_test_run();
}
