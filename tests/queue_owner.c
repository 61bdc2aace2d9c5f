#include "queue_owner.h"

#include <glib.h>
#include <math.h>

struct owner *owner_create(const struct queue_policy *policy, bool fair)
{
	struct queue_options options = {.policy = policy, .fair = fair};
	struct owner *owner = g_new0(struct owner, 1);

	queue_init(&owner->queue, &options);
	owner->calls = g_new0(struct call, CALLS);
	owner->load.limit = SLOTS;
	return owner;
}

void owner_destroy(struct owner *owner)
{
	queue_finish(&owner->queue);
	g_free(owner->calls);
	g_free(owner);
}

struct call *call_of(struct queue_item *item)
{
	return heap_entry(item, struct call, item);
}

static void call_refuse(struct owner *owner, struct call *call)
{
	int64_t late_us = owner->now_us - call->item.deadline_us;

	g_assert_false(call->answered);
	call->answered = true;
	call->refused_us = owner->now_us;
	owner->refused[call->hot]++;
	owner->latest_refusal_us = MAX(owner->latest_refusal_us, late_us);
}

static void owner_start(struct owner *owner, struct call *call)
{
	int slot = 0;

	g_assert_false(call->answered);
	while (owner->slots[slot])
		slot++;
	owner->slots[slot] = call;
	owner->load.running++;
	call->ends_us = owner->now_us + call->service_us;
}

static void owner_fill_slots(struct owner *owner)
{
	while (owner->load.running < SLOTS) {
		enum queue_verdict verdict;
		struct queue_item *item =
			queue_pop(&owner->queue, owner->now_us, &verdict);

		if (!item)
			return;
		if (verdict == QUEUE_ACCEPTED)
			owner_start(owner, call_of(item));
		else
			call_refuse(owner, call_of(item));
	}
}

static void owner_end(struct owner *owner, int slot)
{
	struct call *call = owner->slots[slot];

	owner->now_us = call->ends_us;
	owner->slots[slot] = NULL;
	owner->load.running--;
	queue_note_done(&owner->queue, call->item.class, call->service_us);
	call->answered = true;
	call->answered_us = owner->now_us;
	if (owner->now_us <= call->item.deadline_us)
		owner->in_time[call->hot]++;
	else
		owner->late[call->hot]++;
}

/* Ends requests and refuses stale items up to the given time. */
void owner_run_until(struct owner *owner, int64_t until_us)
{
	for (;;) {
		int64_t next_us = queue_next_stale_us(&owner->queue);
		struct queue_item *item;
		int slot = -1;

		for (int i = 0; i < SLOTS; i++) {
			if (!owner->slots[i] || owner->slots[i]->ends_us > next_us)
				continue;
			next_us = owner->slots[i]->ends_us;
			slot = i;
		}
		if (next_us > until_us)
			break;
		owner->now_us = MAX(owner->now_us, next_us);
		if (slot >= 0)
			owner_end(owner, slot);
		while ((item = queue_pop_stale(&owner->queue, owner->now_us)))
			call_refuse(owner, call_of(item));
		owner_fill_slots(owner);
	}
}

void owner_receive(struct owner *owner, struct call *call)
{
	uint32_t retry_after_ms;

	owner_run_until(owner, call->arrives_us);
	owner->now_us = call->arrives_us;
	if (queue_offer(&owner->queue, &call->item, &owner->load, owner->now_us,
			&retry_after_ms) == QUEUE_ACCEPTED) {
		owner_fill_slots(owner);
		return;
	}
	g_assert_cmpuint(retry_after_ms, >=, 1);
	call_refuse(owner, call);
}

int64_t draw_exponential(double mean_us)
{
	return (int64_t)(-log(1 - g_test_rand_double()) * mean_us) + 1;
}

/* Generates calls for a load (1: all slots busy) with the given mean service
 * time. */
void owner_generate_calls(struct owner *owner, double load, double mean_us,
			  int64_t deadline_us)
{
	int64_t at_us = 0;

	for (int i = 0; i < CALLS; i++) {
		struct call *call = &owner->calls[i];

		at_us += draw_exponential(mean_us / SLOTS / load);
		call->arrives_us = at_us;
		call->service_us = draw_exponential(mean_us);
		call->item.class = CONFIG_CLASS_INTERACTIVE;
		call->item.deadline_us = at_us + deadline_us;
		call->item.may_queue = true;
	}
}

void owner_simulate(struct owner *owner, const char *what)
{
	for (int i = 0; i < CALLS; i++)
		owner_receive(owner, &owner->calls[i]);
	owner_run_until(owner, INT64_MAX - 1);
	for (int i = 0; i < CALLS; i++)
		g_assert_true(owner->calls[i].answered);
	g_test_message("%s, %s: in time %d+%d, late %d+%d, refused %d+%d", what,
		       owner->queue.policy->name, owner->in_time[0],
		       owner->in_time[1], owner->late[0], owner->late[1],
		       owner->refused[0], owner->refused[1]);
}

int owner_in_time(const struct owner *owner)
{
	return owner->in_time[0] + owner->in_time[1];
}
