#include <glib.h>

#include "comfreydockd/peer/attempt.h"

#define ROUNDS 20000
#define STEPS 60
#define ATTEMPTS 4
#define QUEUE 16

enum message {
	MSG_ATTEMPT,
	MSG_CANCEL,
	MSG_NOT_RUN,
	MSG_ANSWER,
	MSG_END,
	MSG_FAILED,
};

struct pipe {
	enum message items[QUEUE];
	unsigned int count;
};

/* Simulates one attempt: the state machines of entry and owner, and the
 * connection between them. */
struct sim {
	enum attempt_entry_state entry;
	enum attempt_owner_state owner;
	bool owner_received;
	bool was_sent; /* bytes were handed to the kernel */
	bool disconnected;
	struct pipe to_owner;
	struct pipe to_entry;
	unsigned int runs;
};

struct caller {
	bool idempotent;
	struct sim sims[ATTEMPTS];
	unsigned int count;
	bool gave_up;
};

static void pipe_put(struct pipe *pipe, enum message message)
{
	if (pipe->count < QUEUE)
		pipe->items[pipe->count++] = message;
}

static enum message pipe_take(struct pipe *pipe)
{
	enum message first = pipe->items[0];

	for (unsigned int i = 1; i < pipe->count; i++)
		pipe->items[i - 1] = pipe->items[i];
	pipe->count--;
	return first;
}

static void owner_apply(struct sim *sim, enum attempt_owner_event event)
{
	if (!attempt_owner_step(&sim->owner, event))
		return;
	if (event == OWNER_START)
		sim->runs++;
	if (event == OWNER_NEVER_BEGAN) /* certainly not run after all */
		sim->runs--;
	if (sim->owner == OWNER_ATTEMPT_NOT_RUN)
		pipe_put(&sim->to_entry, MSG_NOT_RUN);
	if (event == OWNER_FINISH) {
		pipe_put(&sim->to_entry, MSG_ANSWER);
		pipe_put(&sim->to_entry, MSG_END);
	}
	if (event == OWNER_BREAK)
		pipe_put(&sim->to_entry, MSG_FAILED);
}

static void owner_receive(struct sim *sim)
{
	enum message message = pipe_take(&sim->to_owner);

	if (message == MSG_ATTEMPT && !sim->owner_received) {
		sim->owner_received = true;
		owner_apply(sim, OWNER_QUEUE);
	} else if (message == MSG_CANCEL && sim->owner_received) {
		owner_apply(sim, OWNER_REFUSE);
	}
}

static void entry_receive(struct sim *sim)
{
	static const enum attempt_entry_event events[] = {
		[MSG_NOT_RUN] = ENTRY_GET_NOT_RUN,
		[MSG_ANSWER] = ENTRY_GET_ANSWER,
		[MSG_END] = ENTRY_GET_END,
		[MSG_FAILED] = ENTRY_GET_FAILED,
	};

	attempt_entry_step(&sim->entry, events[pipe_take(&sim->to_entry)]);
}

static void send_attempt(struct caller *caller)
{
	struct sim *sim = &caller->sims[caller->count++];

	sim->entry = ENTRY_PICKED;
	attempt_entry_step(&sim->entry, ENTRY_SEND);
}

static void disconnect(struct sim *sim)
{
	sim->disconnected = true;
	sim->to_owner.count = 0;
	sim->to_entry.count = 0;
	attempt_entry_step(&sim->entry, sim->was_sent ? ENTRY_LINK_LOST :
							ENTRY_LINK_LOST_UNSENT);
	if (sim->owner_received)
		owner_apply(sim, OWNER_REFUSE);
}

/* Applies a random event to one attempt: in any order, and repeatedly. */
static void apply_random_event(struct sim *sim)
{
	switch (g_test_rand_int_range(0, 10)) {
	case 0: /* the kernel takes the frame */
		if (!sim->was_sent && !sim->disconnected) {
			sim->was_sent = true;
			pipe_put(&sim->to_owner, MSG_ATTEMPT);
		}
		break;
	case 1: /* a cancel is sent before, after or without its attempt */
		pipe_put(&sim->to_owner, MSG_CANCEL);
		break;
	case 2:
	case 3:
		if (sim->to_owner.count)
			owner_receive(sim);
		break;
	case 4:
	case 5:
		if (sim->to_entry.count)
			entry_receive(sim);
		break;
	case 6:
		if (sim->owner_received)
			owner_apply(sim, g_test_rand_int_range(0, OWNER_EVENTS));
		break;
	case 7: /* an answer arrives twice */
		if (sim->to_entry.count)
			pipe_put(&sim->to_entry, sim->to_entry.items[0]);
		break;
	case 8:
		disconnect(sim);
		break;
	default: /* the deadline passes at the entry */
		attempt_entry_step(&sim->entry, ENTRY_GIVE_UP);
		break;
	}
}

static unsigned int count_runs(const struct caller *caller)
{
	unsigned int runs = 0;

	for (unsigned int i = 0; i < caller->count; i++)
		runs += caller->sims[i].runs;
	return runs;
}

static void verify_invariants(const struct caller *caller)
{
	const struct sim *last = &caller->sims[caller->count - 1];
	bool none_ran = true;

	if (!caller->idempotent)
		g_assert_cmpuint(count_runs(caller), <=, 1);
	for (unsigned int i = 0; i < caller->count; i++) {
		const struct sim *sim = &caller->sims[i];

		if (sim->entry == ENTRY_NOT_RUN)
			g_assert_cmpuint(sim->runs, ==, 0);
		none_ran &= sim->entry == ENTRY_NOT_RUN;
	}
	if (none_ran)
		g_assert_cmpuint(count_runs(caller), ==, 0);
	if (last->entry == ENTRY_DONE)
		g_assert_cmpuint(last->runs, ==, 1);
}

/*
 * Connections are lost, daemons pause and continue with old frames in their
 * buffers, cancels arrive in order but at any time, answers arrive late or
 * twice. No order of these events may make a booking run twice, or report one
 * as "not run" although it ran.
 */
static void test_random_order_runs_at_most_once(void)
{
	for (unsigned int round = 0; round < ROUNDS; round++) {
		struct caller caller = {
			.idempotent = g_test_rand_bit(),
		};

		send_attempt(&caller);
		for (unsigned int step = 0; step < STEPS; step++) {
			struct sim *last = &caller.sims[caller.count - 1];
			int which = g_test_rand_int_range(0, (int)caller.count);

			apply_random_event(&caller.sims[which]);
			verify_invariants(&caller);
			if (attempt_allows_another(last->entry,
						   caller.idempotent) &&
			    caller.count < ATTEMPTS)
				send_attempt(&caller);
		}
	}
}

/* Checks each entry of the owner's table on which "not run" depends. */
static void test_running_becomes_not_run_only_if_never_begun(void)
{
	for (int event = 0; event < OWNER_EVENTS; event++) {
		enum attempt_owner_state state = OWNER_ATTEMPT_RUNNING;
		bool steps = attempt_owner_step(&state, event);

		if (steps && state == OWNER_ATTEMPT_NOT_RUN)
			g_assert_cmpint(event, ==, OWNER_NEVER_BEGAN);
		state = OWNER_ATTEMPT_NOT_RUN;
		g_assert_false(attempt_owner_step(&state, event));
		g_assert_cmpint(state, ==, OWNER_ATTEMPT_NOT_RUN);
	}
}

static void test_only_not_run_allows_another_attempt(void)
{
	for (int state = 0; state < ENTRY_STATES; state++) {
		bool may = attempt_allows_another(state, false);

		g_assert_true(may == (state == ENTRY_NOT_RUN));
		g_assert_nonnull(attempt_entry_state_name(state));
	}
	g_assert_true(attempt_allows_another(ENTRY_UNKNOWN, true));
	g_assert_false(attempt_allows_another(ENTRY_DONE, true));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attempt/random-order",
			test_random_order_runs_at_most_once);
	g_test_add_func("/attempt/running-to-not-run",
			test_running_becomes_not_run_only_if_never_begun);
	g_test_add_func("/attempt/allows-another",
			test_only_not_run_allows_another_attempt);
	return g_test_run();
}
