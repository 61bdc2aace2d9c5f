#include "bench/decide/replay_internal.h"

/*
 * An upper bound that no distributed policy can reach: a single queue with an
 * owner's modules that always knows all slots, and that sends no call to an
 * upstream while a faster one is free.
 */

static struct queue_slots central_slots(const struct replay *r)
{
	struct queue_slots slots = {
		.limit = r->trace->slots * r->trace->upstreams,
	};

	for (uint32_t i = 0; i < r->trace->upstreams; i++)
		slots.running += r->owners[i].running;
	return slots;
}

static bool is_better(const struct replay_owner *a, const struct replay_owner *b)
{
	if (a->factor != b->factor)
		return a->factor < b->factor;
	return a->running < b->running;
}

static double least_factor(const struct replay *r)
{
	double least = r->owners[0].factor;

	for (uint32_t i = 1; i < r->trace->upstreams; i++)
		least = MIN(least, r->owners[i].factor);
	return least;
}

/* RETURN VALUE: NULL if no slot is free. In slow-spells, only the fastest hosts
 * count, since a call on a slow host takes its slot for seven times as long. */
static struct replay_owner *find_free(const struct replay *r)
{
	struct replay_owner *best = NULL;
	double least = least_factor(r);

	for (uint32_t i = 0; i < r->trace->upstreams; i++) {
		struct replay_owner *owner = &r->owners[i];

		if (owner->running >= r->trace->slots ||
		    owner->fault != TRACE_FAULT_NONE)
			continue;
		if (r->trace->tells_pace && owner->factor > least)
			continue;
		if (!best || is_better(owner, best))
			best = owner;
	}
	return best;
}

static void handle_outcome(void *replay, void *data)
{
	struct replay_attempt *attempt = data;

	if (attempt->outcome == RETRY_OUTCOME_ANSWERED)
		replay_note_answer(replay, attempt->call, attempt->error);
	else
		replay_note_not_run(replay, attempt->call);
}

static void send_outcome(struct replay *r, struct replay_attempt *attempt,
			 enum retry_outcome outcome)
{
	attempt->outcome = outcome;
	attempt->call->refused_us = r->events.now_us;
	replay_after(r, r->trace->delay_us, handle_outcome, attempt);
}

static void start_waiting(struct replay *r);

static void handle_end(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;
	int64_t now_us = r->events.now_us;

	r->owners[attempt->upstream].running--;
	queue_note_done(r->central, attempt->item.class,
			now_us - attempt->started_us);
	replay_note_run(r, attempt,
			now_us + r->trace->delay_us <= attempt->call->deadline_us);
	send_outcome(r, attempt, RETRY_OUTCOME_ANSWERED);
	start_waiting(r);
}

static void start(struct replay *r, struct replay_attempt *attempt,
		  struct replay_owner *owner)
{
	owner->running++;
	attempt->upstream = (uint32_t)(owner - r->owners);
	replay_note_start(r, attempt->upstream);
	attempt->started_us = r->events.now_us;
	replay_after(
		r,
		(int64_t)((double)attempt->call->trace->work_us * owner->factor),
		handle_end, attempt);
}

static void start_waiting(struct replay *r)
{
	enum queue_verdict verdict;
	struct replay_owner *owner;
	struct queue_item *item;

	while ((owner = find_free(r))) {
		item = queue_pop(r->central, r->events.now_us, &verdict);
		if (!item)
			return;
		if (verdict == QUEUE_ACCEPTED)
			start(r, (struct replay_attempt *)item, owner);
		else
			send_outcome(r, (struct replay_attempt *)item,
				     RETRY_OUTCOME_OVERLOAD);
	}
}

void replay_central_dispatch(struct replay *r)
{
	start_waiting(r);
}

void replay_handle_central(void *replay, void *data)
{
	struct replay *r = replay;
	struct replay_attempt *attempt = data;
	struct queue_slots slots = central_slots(r);
	uint32_t retry_after_ms;

	if (queue_offer(r->central, &attempt->item, &slots, r->events.now_us,
			&retry_after_ms) == QUEUE_ACCEPTED)
		start_waiting(r);
	else
		send_outcome(r, attempt, RETRY_OUTCOME_OVERLOAD);
}
