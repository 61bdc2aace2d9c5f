#include <glib.h>

#include "comfreydockd/decide/breaker.h"
#include "comfreydockd/decide/random.h"

#define MS ((int64_t)1000)

/* A simulated owner, and how many requests its upstream failed. One request in
 * three must not run twice. */
struct simulation {
	struct breaker breaker;
	unsigned int begun;
	unsigned int lost; /* of those that must not run twice */
	unsigned int turned_back;
};

static void offer(struct simulation *simulation, bool idempotent,
		  bool may_turn_back, bool is_answer, int64_t now_us)
{
	if (breaker_turns_back(&simulation->breaker, may_turn_back, idempotent,
			       now_us)) {
		simulation->turned_back++;
		return;
	}
	simulation->begun++;
	simulation->lost += !is_answer && !idempotent;
	breaker_note_result(&simulation->breaker, is_answer);
}

/*
 * The health check of an upstream succeeds, but it resets every request. A
 * request that must not run twice then ends with an unknown outcome: the caller
 * does not learn whether the booking was made. At 30 requests a second for six
 * seconds 60 callers would be affected.
 */
static void test_reset_upstream_loses_few(void)
{
	struct simulation simulation = {.lost = 0};

	for (int i = 0; i < 180; i++)
		offer(&simulation, i % 3 != 0, true, false, i * 33 * MS);
	g_assert_cmpuint(simulation.lost, <=, BREAKER_FAILURES);
	g_assert_cmpuint(simulation.turned_back, >, 100);
}

/* Guards against a recovered upstream that gets no requests: its breaker closes
 * within about a fifth of a second. */
static void test_closes_after_good_answers(void)
{
	struct simulation simulation = {.lost = 0};
	int64_t now = 0;

	for (int i = 0; i < BREAKER_FAILURES; i++)
		offer(&simulation, true, true, false, now += 33 * MS);
	g_assert_true(simulation.breaker.is_open);
	for (int i = 0; i < 10; i++)
		offer(&simulation, true, true, true, now += 33 * MS);
	g_assert_false(simulation.breaker.is_open);
}

/*
 * Guards against a breaker that opens on a network that loses one answer in
 * twenty. If it took such an upstream and others like it out of use, the
 * remaining ones would be overloaded for little gain.
 */
static void test_few_losses_keep_breaker_closed(void)
{
	struct random_state random = {.state = 5};
	struct simulation simulation = {.lost = 0};

	for (int i = 0; i < 100000; i++)
		offer(&simulation, true, true, random_unit(&random) >= 0.05,
		      i * MS);
	g_assert_cmpuint(simulation.turned_back, ==, 0);
}

/*
 * All upstreams of the group reset every request. A request that all others
 * have turned back is started where it returns to: a small chance is better
 * than none, and its caller decides about another try.
 */
static void test_last_resort_is_started(void)
{
	struct simulation simulation = {.lost = 0};

	for (int i = 0; i < 20; i++)
		offer(&simulation, true, false, false, i * MS);
	g_assert_true(simulation.breaker.is_open);
	g_assert_cmpuint(simulation.begun, ==, 20);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/breaker/reset", test_reset_upstream_loses_few);
	g_test_add_func("/breaker/closes", test_closes_after_good_answers);
	g_test_add_func("/breaker/some-losses",
			test_few_losses_keep_breaker_closed);
	g_test_add_func("/breaker/last-resort", test_last_resort_is_started);
	return g_test_run();
}
