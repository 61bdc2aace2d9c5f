#include <glib.h>

#include "comfreydockd/decide/fair.h"

#define ITEMS 3000

struct request {
	struct fair_item fair;
	int number;
};

static struct request *request_of(const struct heap_node *node)
{
	return heap_entry(node, struct request, fair.node);
}

static bool request_is_before(const struct heap_node *a,
			      const struct heap_node *b)
{
	return request_of(a)->number < request_of(b)->number;
}

static void push(struct fair *fair, struct request *request, uint64_t key,
		 int64_t cost_us)
{
	request->fair.key_hash = key;
	request->fair.cost_us = cost_us;
	fair_push(fair, &request->fair);
}

static struct request *pop(struct fair *fair)
{
	struct fair_item *item = fair_pop(fair);

	return item ? request_of(&item->node) : NULL;
}

static struct fair *fair_create(bool enabled)
{
	struct fair *fair = g_new(struct fair, 1);

	fair_init(fair, enabled, 1, request_is_before);
	return fair;
}

/*
 * A faulty client has a thousand lookups waiting when another caller sends ten.
 * In order of arrival the ten would wait behind the thousand; with fair
 * queueing they come out alternately with the first of them.
 */
static void test_hot_caller_does_not_delay_others(void)
{
	struct request *requests = g_new0(struct request, 1010);
	struct fair *fair = fair_create(true);
	uint64_t hot = fair_hash("desk-hot");
	uint64_t light = fair_hash("desk-light");
	int light_done = 0;

	for (int i = 0; i < 1010; i++) {
		requests[i].number = i;
		push(fair, &requests[i], i < 1000 ? hot : light, 5000);
	}
	g_assert_true(fair_is_over_share(fair, hot));
	g_assert_false(fair_is_over_share(fair, light));
	g_assert_cmpint(fair_work_ahead_us(fair, light), ==, 21 * 5000);
	g_assert_cmpint(fair_work_ahead_us(fair, hot), ==, 1010 * 5000);
	for (int i = 0; i < 20; i++)
		if (pop(fair)->number >= 1000)
			light_done++;
	g_assert_cmpint(light_done, ==, 10);
	while (pop(fair))
		;
	fair_finish(fair);
	g_free(fair);
	g_free(requests);
}

/*
 * Many callers send a little while one has a thousand requests waiting. If
 * callers were hashed into a few hundred flows, some would share the flow of
 * the hot caller, and their requests would be refused for as long as it runs at
 * an upstream that serves everybody else.
 */
static void test_no_caller_shares_a_flow_with_a_hot_one(void)
{
	struct request *requests = g_new0(struct request, 1000);
	struct fair *fair = fair_create(true);
	uint64_t hot = fair_hash("desk-hot");

	for (int i = 0; i < 1000; i++)
		push(fair, &requests[i], hot, 5000);
	for (int i = 0; i < 2000; i++) {
		char *name = g_strdup_printf("desk-%d", i);
		uint64_t light = fair_hash(name);

		g_assert_cmpint(fair_work_ahead_us(fair, light), ==, 5000);
		g_assert_cmpint(fair_flow_length(fair, light), ==, 0);
		g_assert_false(fair_is_over_share(fair, light));
		g_free(name);
	}
	while (pop(fair))
		;
	fair_finish(fair);
	g_free(fair);
	g_free(requests);
}

/* With fairness disabled items come out in order of arrival, whoever sent
 * them. */
static void test_disabled_keeps_arrival_order(void)
{
	struct request *requests = g_new0(struct request, 100);
	struct fair *fair = fair_create(false);

	for (int i = 0; i < 100; i++) {
		requests[i].number = i;
		push(fair, &requests[i], i % 7, 1 + i);
	}
	for (int i = 0; i < 100; i++)
		g_assert_cmpint(pop(fair)->number, ==, i);
	g_assert_false(fair_is_over_share(fair, 3));
	fair_finish(fair);
	g_free(fair);
	g_free(requests);
}

/*
 * No caller starves: while it waits, any other caller gets at most one quantum
 * and two of the largest costs more slot time, whatever their numbers and
 * costs.
 */
static void test_waiting_callers_get_equal_shares(void)
{
	struct request *requests = g_new0(struct request, ITEMS);
	struct fair *fair = fair_create(true);
	int64_t served_us[3] = {0};
	int waiting[3] = {0};
	int64_t largest_us = 0;
	uint64_t keys[3] = {fair_hash("a"), fair_hash("b"), fair_hash("c")};

	for (int i = 0; i < ITEMS; i++) {
		int drawn = g_test_rand_int_range(0, 6);
		int key = MAX(drawn - 3, 0);

		requests[i].number = key;
		push(fair, &requests[i], keys[key],
		     g_test_rand_int_range(1, 1000) * (key + 1));
		largest_us = MAX(largest_us, requests[i].fair.cost_us);
		waiting[key]++;
	}
	while (waiting[0] && waiting[1] && waiting[2]) {
		struct request *request = pop(fair);

		served_us[request->number] += request->fair.cost_us;
		waiting[request->number]--;
		for (int i = 0; i < 3; i++)
			g_assert_cmpint(ABS(served_us[i] - served_us[(i + 1) % 3]),
					<=, fair->quantum_us + 2 * largest_us);
	}
	fair_finish(fair);
	g_free(fair);
	g_free(requests);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fair/hot", test_hot_caller_does_not_delay_others);
	g_test_add_func("/fair/no-sharing",
			test_no_caller_shares_a_flow_with_a_hot_one);
	g_test_add_func("/fair/disabled", test_disabled_keeps_arrival_order);
	g_test_add_func("/fair/shares", test_waiting_callers_get_equal_shares);
	return g_test_run();
}
