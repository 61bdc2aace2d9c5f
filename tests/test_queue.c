#include <glib.h>
#include <string.h>

#include "queue_owner.h"

#define FULL 512 /* bound of the queue under test */

/*
 * Twice as many lookups as can be answered arrive for a quarter of an hour. In
 * a plain queue each one reaches its slot after its caller has given up, and
 * nobody is served. Half of them can be served, and the others are refused at
 * once.
 */
static void test_overload_serves_what_it_can(void)
{
	struct owner *plain = owner_create(&queue_fifo, false);
	struct owner *owner = owner_create(&queue_by_deadline, true);

	owner_generate_calls(plain, 2, 10 * MS, 100 * MS);
	owner_simulate(plain, "overload");
	owner_generate_calls(owner, 2, 10 * MS, 100 * MS);
	owner_simulate(owner, "overload");
	g_assert_cmpint(owner_in_time(owner), >, CALLS * 45 / 100);
	g_assert_cmpint(owner_in_time(owner), >, 10 * owner_in_time(plain));
	g_assert_cmpint(owner->late[0], <, CALLS / 50);
	g_assert_cmpint(owner->latest_refusal_us, <=, 0);
	owner_destroy(plain);
	owner_destroy(owner);
}

/* RETURN VALUE: the calls answered within their target, at 1.3 times the
 * capacity of the slots for a while, then less. knows_targets: the queue knows
 * the targets. */
static int simulate_targets(bool knows_targets)
{
	struct owner *owner = owner_create(&queue_by_deadline, true);
	int in_target = 0;

	owner_generate_calls(owner, 1.3, 60 * MS, 500 * MS);
	for (int i = 0; i < CALLS; i++) {
		struct call *call = &owner->calls[i];

		call->service_us =
			(int64_t)((0.7 + 0.6 * g_test_rand_double()) * 60 * MS);
		call->item.target_us =
			knows_targets ? call->arrives_us + 200 * MS : 0;
	}
	for (int i = 0; i < CALLS; i++)
		owner_receive(owner, &owner->calls[i]);
	owner_run_until(owner, INT64_MAX - 1);
	for (int i = 0; i < CALLS; i++)
		in_target += owner->calls[i].answered_us &&
			     owner->calls[i].answered_us <=
				     owner->calls[i].arrives_us + 200 * MS;
	owner_destroy(owner);
	return in_target;
}

/*
 * Slightly more lookups arrive than can be answered. Without targets each
 * caller waits nearly until its deadline, and each answer comes too late to be
 * useful. If requests that can still meet their target go first, some are late
 * or refused and most are on time.
 */
static void test_targets_go_first(void)
{
	int without = simulate_targets(false);
	int with = simulate_targets(true);

	g_test_message("in target: %d without, %d with, of %d", without, with,
		       CALLS);
	g_assert_cmpint(with, >, 2 * without);
	g_assert_cmpint(with, >, CALLS / 2);
}

/* RETURN VALUE: the longest wait of a refused call, at twice the capacity of
 * the slots, with a target of 200 ms and a deadline of 2 s. */
static int64_t simulate_refusals(struct owner *owner)
{
	int64_t longest_us = 0;

	owner_generate_calls(owner, 2, 60 * MS, 2000 * MS);
	for (int i = 0; i < CALLS; i++) {
		struct call *call = &owner->calls[i];

		call->item.target_us = call->arrives_us + 200 * MS;
		call->item.holds_others = true;
	}
	for (int i = 0; i < CALLS; i++)
		owner_receive(owner, &owner->calls[i]);
	owner_run_until(owner, INT64_MAX - 1);
	for (int i = 0; i < CALLS; i++) {
		const struct call *call = &owner->calls[i];

		if (!call->answered_us)
			longest_us = MAX(longest_us,
					 call->refused_us - call->arrives_us);
	}
	return longest_us;
}

/*
 * Twice as many lookups as can be answered arrive, from callers that send
 * several at once and would wait for two seconds, but can use an answer only
 * within 200 ms. A request that cannot meet its target must be refused while
 * the answer could still have been on time. Otherwise, it is held for nearly
 * two seconds for nothing, and the answers to the caller's other lookups wait
 * behind it.
 */
static void test_unreachable_target_is_refused_early(void)
{
	struct owner *owner = owner_create(&queue_by_deadline, true);
	int64_t longest_us = simulate_refusals(owner);

	g_test_message("refused after %d ms at most, %d answered",
		       (int)(longest_us / MS), owner_in_time(owner));
	g_assert_cmpint(longest_us, <, 200 * MS);
	g_assert_cmpint(owner_in_time(owner), >, CALLS * 45 / 100);
	owner_destroy(owner);
}

/*
 * A thousand requests arrive in the same millisecond, each with a deadline of
 * one second. All can be served in time if none is refused because the queue
 * looks long.
 */
static void test_burst_is_absorbed(void)
{
	struct owner *owner = owner_create(&queue_by_deadline, true);

	owner_generate_calls(owner, 0.5, 10 * MS, 1000 * MS);
	for (int i = 10000; i < 11000; i++) {
		owner->calls[i].arrives_us = owner->calls[10000].arrives_us;
		owner->calls[i].item.deadline_us =
			owner->calls[10000].item.deadline_us;
	}
	owner_simulate(owner, "burst");
	g_assert_cmpint(owner_in_time(owner), >, CALLS * 99 / 100);
	owner_destroy(owner);
}

static int64_t wait_any(const struct queue *queue G_GNUC_UNUSED,
			const struct queue_item *item G_GNUC_UNUSED,
			int64_t now_us G_GNUC_UNUSED)
{
	return INT64_MAX;
}

static void simulate_long_among_short(int in_time[2])
{
	struct queue_policy all = queue_by_deadline;
	struct owner *owner = owner_create(&queue_by_deadline, true);
	struct owner *accepting;

	owner_generate_calls(owner, 0.8, 30 * MS, 300 * MS);
	for (int i = 0; i < CALLS; i++) {
		struct call *call = &owner->calls[i];

		call->hot = g_test_rand_int_range(0, 40) == 0;
		call->service_us = call->hot ? 1000 * MS : 5 * MS;
		if (call->hot)
			call->item.deadline_us = call->arrives_us + 10000 * MS;
	}
	all.name = "accept all";
	all.allowed_wait_us = wait_any;
	accepting = owner_create(&all, true);
	memcpy(accepting->calls, owner->calls, CALLS * sizeof(struct call));
	owner_simulate(owner, "long jobs among short ones (+long)");
	owner_simulate(accepting, "long jobs among short ones (+long)");
	in_time[0] += owner->in_time[0];
	in_time[1] += accepting->in_time[0];
	owner_destroy(accepting);
	owner_destroy(owner);
}

/*
 * Nightly bundles take 1 s each and mix with lookups of 5 ms. The short ones
 * must not be refused because the mean looks long: nearly as many are answered
 * in time as if all were accepted and only stale ones dropped. The latter is no
 * usable policy, since under overload half of its answers are late.
 */
static void test_short_jobs_among_long_ones(void)
{
	int in_time[2] = {0};

	for (int round = 0; round < 4; round++)
		simulate_long_among_short(in_time);
	g_assert_cmpint(in_time[0], >, in_time[1] * 97 / 100);
}

/*
 * One caller in a loop sends twice the capacity of the upstream, while others
 * send a fifth of it. The others' calls are answered as if that caller did not
 * exist.
 */
static void test_refusals_hit_the_hot_caller(void)
{
	struct owner *owner = owner_create(&queue_by_deadline, true);
	int others = 0;

	owner_generate_calls(owner, 2.2, 10 * MS, 200 * MS);
	for (int i = 0; i < CALLS; i++) {
		struct call *call = &owner->calls[i];

		call->hot = g_test_rand_int_range(0, 11) > 0;
		call->item.key_hash = call->hot ? 0 : i % 10 + 1;
		others += !call->hot;
	}
	owner_simulate(owner, "hot caller (+hot)");
	g_assert_cmpint(owner->in_time[0], >, others * 98 / 100);
	owner_destroy(owner);
}

/*
 * After a slow spell the estimate says that every request takes 10 s. If the
 * queue trusted it, all requests with a deadline of 1 s would be refused, none
 * would run, and the estimate would never change. The same holds while one
 * bundle takes an hour.
 */
static void test_estimate_recovers_after_slow_spell(void)
{
	for (int bundles = 0; bundles < 2; bundles++) {
		struct owner *owner = owner_create(&queue_by_deadline, true);

		for (int i = 0; i < 2000; i++)
			queue_note_done(&owner->queue, CONFIG_CLASS_INTERACTIVE,
					10 * US_PER_S);
		owner_generate_calls(owner, 0.5, 10 * MS, 1000 * MS);
		if (bundles > 0) {
			owner->calls[0].service_us = 3600 * US_PER_S;
			owner->calls[0].item.deadline_us = INT64_MAX;
		}
		owner_simulate(owner, "after a slow spell");
		g_assert_cmpint(owner_in_time(owner), >, CALLS * 95 / 100);
		owner_destroy(owner);
	}
}

/*
 * The same at low load: a few calls arrive per second, and the host's pause of
 * some seconds has just ended. If the estimate falls only a little with each
 * accepted call, most calls are refused although all slots are free, and
 * callers get "not run" from an idle service.
 */
static void test_estimate_recovers_at_low_load(void)
{
	struct owner *owner = owner_create(&queue_by_deadline, true);

	for (int i = 0; i < 50; i++)
		queue_note_done(&owner->queue, CONFIG_CLASS_INTERACTIVE,
				10 * US_PER_S);
	owner_generate_calls(owner, 0.1, 10 * MS, 1000 * MS);
	owner_simulate(owner, "low load after a slow spell");
	g_assert_cmpint(CALLS - owner_in_time(owner), <=, 10);
	owner_destroy(owner);
}

/*
 * Lookups alone could fill the upstream. With strict priority the archive's
 * checks would never run; one turn in seventeen is theirs.
 */
static void test_no_class_starves(void)
{
	struct owner *owner = owner_create(&queue_by_deadline, true);
	struct queue_slots free_slots = {.running = 0, .limit = SLOTS};
	int bulk = 0;

	for (int i = 0; i < 200; i++) {
		enum queue_verdict verdict;
		struct call *call = &owner->calls[i];
		uint32_t retry_after_ms;

		call->item.class =
			i < 100 ? CONFIG_CLASS_BULK : CONFIG_CLASS_INTERACTIVE;
		call->item.deadline_us = 100 * US_PER_S;
		call->item.may_queue = true;
		queue_offer(&owner->queue, &call->item, &free_slots, 0,
			    &retry_after_ms);
		if (i < 100)
			continue;
		call = call_of(queue_pop(&owner->queue, 0, &verdict));
		bulk += call->item.class == CONFIG_CLASS_BULK;
	}
	g_assert_cmpint(bulk, ==, 5);
	owner_destroy(owner);
}

/*
 * For any waiting items, with fairness disabled: no item comes out before
 * another one of its class with an earlier deadline, however many were
 * cancelled in between.
 */
static void test_earliest_deadline_comes_first(void)
{
	struct owner *owner = owner_create(&queue_by_deadline, false);
	struct queue_slots slots = {.running = 0, .limit = CALLS};

	for (int i = 0; i < 4000; i++) {
		struct call *call = &owner->calls[i];
		enum queue_verdict verdict;
		uint32_t retry_after_ms;

		call->item.class = g_test_rand_int_range(0, QUEUE_CLASSES);
		call->item.may_queue = true;
		call->item.deadline_us =
			US_PER_S + g_test_rand_int_range(0, 10 * US_PER_S);
		queue_offer(&owner->queue, &call->item, &slots, 0,
			    &retry_after_ms);
		queue_remove(&owner->queue,
			     &owner->calls[g_test_rand_int_range(0, 4000)].item);
		if (i % 3)
			continue;
		call = call_of(queue_pop(&owner->queue, 0, &verdict));
		for (int j = 0; j < i; j++) {
			struct queue_item *other = &owner->calls[j].item;

			if (other->is_queued && other->class == call->item.class)
				g_assert_cmpint(other->deadline_us, >=,
						call->item.deadline_us);
			if (other->is_queued)
				g_assert_cmpint(
					other->latest_start_us, >=,
					queue_next_stale_us(&owner->queue) - 1);
		}
	}
	owner_destroy(owner);
}

/*
 * An attempt that another upstream may take meets a full upstream. If it were
 * queued, its caller would wait while a slot is free elsewhere.
 */
static void test_refuses_busy_at_once(void)
{
	struct owner *owner = owner_create(&queue_by_deadline, true);
	struct queue_item item = {.deadline_us = US_PER_S};
	struct queue_slots slots = {.running = SLOTS, .limit = SLOTS};
	uint32_t retry_after_ms;

	g_assert_cmpint(
		queue_offer(&owner->queue, &item, &slots, 0, &retry_after_ms),
		==, QUEUE_REFUSED_BUSY);
	g_assert_false(queue_remove(&owner->queue, &item));
	slots.running--;
	g_assert_cmpint(
		queue_offer(&owner->queue, &item, &slots, 0, &retry_after_ms),
		==, QUEUE_ACCEPTED);
	owner_destroy(owner);
}

/* Marks an item that left the queue; it must not have left before. */
static void take_out(struct queue_item *item, uint32_t *in)
{
	g_assert_false(call_of(item)->answered);
	call_of(item)->answered = true;
	(*in)--;
}

static void offer_any(struct owner *owner, struct call *call, uint32_t *in)
{
	uint32_t retry_after_ms;

	owner->now_us += g_test_rand_int_range(0, 4000);
	owner->load.running = g_test_rand_int_range(0, SLOTS + 4);
	call->item.class = g_test_rand_int_range(0, QUEUE_CLASSES);
	call->item.key_hash = g_test_rand_int_range(0, 50);
	call->item.may_queue = g_test_rand_int_range(0, 5);
	call->item.deadline_us =
		owner->now_us + g_test_rand_int_range(-10, US_PER_S);
	*in += queue_offer(&owner->queue, &call->item, &owner->load,
			   owner->now_us, &retry_after_ms) == QUEUE_ACCEPTED;
}

/*
 * For any arrivals, cancels and stale items, under both policies: each accepted
 * item comes out exactly once, no cancelled one does, and by deadline no
 * expired item is to be run.
 */
static void test_each_item_comes_out_once(gconstpointer policy)
{
	struct owner *owner = owner_create(policy, g_test_rand_int_range(0, 2));
	struct queue *queue = &owner->queue;
	struct queue_slots one = {.limit = 1};
	struct queue_item *item;
	uint32_t in = 0;

	for (int i = 0; i < CALLS; i++) {
		enum queue_verdict verdict;

		offer_any(owner, &owner->calls[i], &in);
		item = &owner->calls[g_test_rand_int_range(0, i + 1)].item;
		if (g_test_rand_int_range(0, 4) == 0 && queue_remove(queue, item))
			take_out(item, &in);
		if (g_test_rand_int_range(0, 2) == 0 &&
		    (item = queue_pop(queue, owner->now_us, &verdict))) {
			take_out(item, &in);
			if (policy != &queue_fifo && verdict == QUEUE_ACCEPTED)
				g_assert_cmpint(item->deadline_us, >=,
						owner->now_us);
		}
		g_assert_cmpuint(queue_length(queue), ==, in);
		queue_note_done(queue, owner->calls[i].item.class,
				g_test_rand_int_range(1, 50000));
	}
	while ((item = queue_take_any(queue)))
		take_out(item, &in);
	g_assert_cmpuint(in, ==, 0);
	g_assert_cmpint(queue_expected_wait_us(queue, &one), ==, 0);
	owner_destroy(owner);
}

static enum queue_verdict offer_of(struct queue *queue, struct call *call,
				   const char *caller)
{
	struct queue_slots slots = {.limit = CALLS};
	uint32_t retry_after_ms;

	call->item.class = CONFIG_CLASS_NORMAL;
	call->item.may_queue = true;
	call->item.deadline_us = 3600 * US_PER_S;
	call->item.key_hash = fair_hash(caller);
	return queue_offer(queue, &call->item, &slots, 0, &retry_after_ms);
}

/*
 * Callers send several lookups at once, which all arrive at an idle upstream in
 * one iteration of the daemon's event loop. Accepted items start at the end of
 * the iteration, so they are still in the queue when the next one is offered.
 * If they counted as waiting, all but the first would be refused as busy
 * although slots are free.
 */
static void test_rush_uses_the_free_slots(void)
{
	const struct queue_options options = {.policy = &queue_by_deadline,
					      .fair = true};
	struct owner *owner = owner_create(&queue_by_deadline, true);
	struct queue_slots slots = {.running = 2, .limit = 6};
	uint32_t retry_after_ms;
	struct queue queue;

	queue_init(&queue, &options);
	for (int i = 0; i < 6; i++) {
		struct queue_item *item = &owner->calls[i].item;
		enum queue_verdict verdict;

		item->class = CONFIG_CLASS_NORMAL;
		item->may_queue = false;
		item->deadline_us = 3600 * US_PER_S;
		verdict = queue_offer(&queue, item, &slots, 0, &retry_after_ms);
		g_assert_cmpint(verdict, ==,
				i < 4 ? QUEUE_ACCEPTED : QUEUE_REFUSED_BUSY);
	}
	while (queue_take_any(&queue))
		;
	queue_finish(&queue);
	owner_destroy(owner);
}

/*
 * One caller fills the queue of an upstream to its bound. The others still get
 * a few places each, or they would all be refused because of it. A caller that
 * sends each request under a new name must not make the queue grow without
 * bound: the daemon would run out of memory, and all requests on its host would
 * fail.
 */
static void test_full_queue_is_bounded(void)
{
	const struct queue_options options = {
		.policy = &queue_by_deadline, .fair = true, .max_items = FULL};
	struct owner *owner = owner_create(&queue_by_deadline, true);
	struct call *calls = owner->calls;
	struct queue queue;
	int in = 0;

	queue_init(&queue, &options);
	while (offer_of(&queue, &calls[in], "hot") == QUEUE_ACCEPTED)
		in++;
	g_assert_cmpint(in, ==, FULL);
	for (int i = 0; i < 3; i++)
		in += offer_of(&queue, &calls[in], "light") == QUEUE_ACCEPTED;
	g_assert_cmpint(in, ==, FULL + FULL / 256);
	for (int i = 0; i < 8 * FULL; i++) {
		char *name = g_strdup_printf("name-%d", i);

		in += offer_of(&queue, &calls[in], name) == QUEUE_ACCEPTED;
		g_free(name);
	}
	g_assert_cmpint(in, ==, 4 * FULL);
	while (queue_take_any(&queue))
		;
	queue_finish(&queue);
	owner_destroy(owner);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/queue/overload", test_overload_serves_what_it_can);
	g_test_add_func("/queue/targets", test_targets_go_first);
	g_test_add_func("/queue/unreachable-target",
			test_unreachable_target_is_refused_early);
	g_test_add_func("/queue/burst", test_burst_is_absorbed);
	g_test_add_func("/queue/long-jobs", test_short_jobs_among_long_ones);
	g_test_add_func("/queue/hot", test_refusals_hit_the_hot_caller);
	g_test_add_func("/queue/slow-spell",
			test_estimate_recovers_after_slow_spell);
	g_test_add_func("/queue/low-load", test_estimate_recovers_at_low_load);
	g_test_add_func("/queue/full", test_full_queue_is_bounded);
	g_test_add_func("/queue/classes", test_no_class_starves);
	g_test_add_func("/queue/order", test_earliest_deadline_comes_first);
	g_test_add_func("/queue/rush", test_rush_uses_the_free_slots);
	g_test_add_func("/queue/busy", test_refuses_busy_at_once);
	g_test_add_data_func("/queue/once/fifo", &queue_fifo,
			     test_each_item_comes_out_once);
	g_test_add_data_func("/queue/once/deadline", &queue_by_deadline,
			     test_each_item_comes_out_once);
	return g_test_run();
}
