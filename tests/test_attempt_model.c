#include <glib.h>
#include <string.h>

#include "comfreydockd/peer/attempt.h"

/*
 * Explores every state that one call with two attempts can reach, through every
 * order of sends, cancels, refusals, starts, ends, connection losses, pauses
 * and late frames. A pause needs no event of its own: it is any order in which
 * the frames for one side wait while the other side goes on.
 */
#define ATTEMPTS 2
#define TO_OWNER 2
#define TO_ENTRY 3
#define STATES_MAX 4000000

enum message {
	NO_MESSAGE,
	MSG_ATTEMPT,
	MSG_CANCEL,
	MSG_NOT_RUN,
	MSG_ANSWER,
	MSG_END,
	MSG_FAILED,
};

/* What the caller was told. */
enum reported {
	REPORTED_NOTHING,
	REPORTED_NOT_RUN,
	REPORTED_UNKNOWN,
	REPORTED_RUN,
};

struct sim {
	unsigned char exists;
	unsigned char entry;
	unsigned char owner;
	unsigned char owner_received;
	unsigned char was_sent; /* bytes were handed to the kernel */
	unsigned char disconnected;
	unsigned char runs;
	unsigned char cancelled;
	unsigned char to_owner[TO_OWNER];
	unsigned char to_entry[TO_ENTRY];
};

/* Compared and hashed as bytes, so it must have no padding between members. */
struct state {
	unsigned char idempotent;
	unsigned char reported;
	struct sim sims[ATTEMPTS];
};

struct search {
	GHashTable *seen; /* of struct state */
	GQueue *open;
};

static guint state_hash(gconstpointer data)
{
	const unsigned char *bytes = data;
	guint hash = 2166136261u;

	for (size_t i = 0; i < sizeof(struct state); i++)
		hash = (hash ^ bytes[i]) * 16777619u;
	return hash;
}

static gboolean state_equal(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, sizeof(struct state)) == 0;
}

static void put(unsigned char *pipe, size_t size, enum message message)
{
	for (size_t i = 0; i < size; i++) {
		if (pipe[i] == NO_MESSAGE) {
			pipe[i] = message;
			return;
		}
	}
}

static enum message take(unsigned char *pipe, size_t size)
{
	enum message first = pipe[0];

	memmove(pipe, pipe + 1, size - 1);
	pipe[size - 1] = NO_MESSAGE;
	return first;
}

static bool entry_step(struct sim *sim, enum attempt_entry_event event)
{
	enum attempt_entry_state state = sim->entry;
	bool steps = attempt_entry_step(&state, event);

	sim->entry = state;
	return steps;
}

static void send_to_entry(struct sim *sim, enum message message)
{
	if (!sim->disconnected)
		put(sim->to_entry, TO_ENTRY, message);
}

static bool owner_step(struct sim *sim, enum attempt_owner_event event)
{
	enum attempt_owner_state state = sim->owner;

	if (!sim->owner_received || !attempt_owner_step(&state, event))
		return false;
	sim->owner = state;
	if (event == OWNER_START)
		sim->runs++;
	if (event == OWNER_NEVER_BEGAN)
		sim->runs--;
	if (state == OWNER_ATTEMPT_NOT_RUN)
		send_to_entry(sim, MSG_NOT_RUN);
	if (event == OWNER_BREAK)
		send_to_entry(sim, MSG_FAILED);
	if (event == OWNER_FINISH) {
		send_to_entry(sim, MSG_ANSWER);
		send_to_entry(sim, MSG_END);
	}
	return true;
}

static void start_attempt(struct state *state, size_t index)
{
	struct sim *sim = &state->sims[index];

	sim->exists = 1;
	sim->entry = ENTRY_PICKED;
	entry_step(sim, ENTRY_SEND);
}

/* What the entry does after an attempt has ended: it starts another attempt, or
 * reports the outcome to the caller. */
static void continue_call(struct state *state, size_t index)
{
	const struct sim *sim = &state->sims[index];
	bool last = index + 1 == ATTEMPTS;

	if (state->reported || !attempt_entry_is_over(sim->entry))
		return;
	if (sim->entry == ENTRY_DONE) {
		state->reported = REPORTED_RUN;
		return;
	}
	if (!last && !state->sims[index + 1].exists &&
	    attempt_allows_another(sim->entry, state->idempotent)) {
		start_attempt(state, index + 1);
		return;
	}
	if (!last && state->sims[index + 1].exists)
		return;
	state->reported = REPORTED_NOT_RUN;
	for (size_t i = 0; i <= index; i++) {
		if (state->sims[i].entry != ENTRY_NOT_RUN)
			state->reported = REPORTED_UNKNOWN;
	}
}

static bool deliver_to_owner(struct sim *sim)
{
	enum message message = take(sim->to_owner, TO_OWNER);

	if (message == MSG_ATTEMPT) {
		sim->owner_received = 1;
		sim->owner = OWNER_ATTEMPT_RECEIVED;
		return owner_step(sim, OWNER_QUEUE);
	}
	if (message != MSG_CANCEL)
		return false;
	/* A running attempt goes on unanswered; a queued one is refused. */
	if (sim->owner_received && sim->owner == OWNER_ATTEMPT_RUNNING)
		send_to_entry(sim, MSG_FAILED);
	else
		owner_step(sim, OWNER_REFUSE);
	return true;
}

static bool deliver_to_entry(struct sim *sim)
{
	static const enum attempt_entry_event events[] = {
		[MSG_NOT_RUN] = ENTRY_GET_NOT_RUN,
		[MSG_ANSWER] = ENTRY_GET_ANSWER,
		[MSG_END] = ENTRY_GET_END,
		[MSG_FAILED] = ENTRY_GET_FAILED,
	};
	enum message message = take(sim->to_entry, TO_ENTRY);

	if (message == NO_MESSAGE)
		return false;
	entry_step(sim, events[message]);
	return true;
}

static bool hand_over(struct sim *sim)
{
	if (!sim->exists || sim->was_sent || sim->disconnected)
		return false;
	sim->was_sent = 1;
	put(sim->to_owner, TO_OWNER, MSG_ATTEMPT);
	return true;
}

static bool cancel(struct sim *sim)
{
	if (!sim->was_sent || sim->disconnected || sim->cancelled)
		return false;
	sim->cancelled = 1;
	put(sim->to_owner, TO_OWNER, MSG_CANCEL);
	return true;
}

static bool disconnect(struct sim *sim)
{
	if (!sim->exists || sim->disconnected)
		return false;
	entry_step(sim, sim->was_sent ? ENTRY_LINK_LOST : ENTRY_LINK_LOST_UNSENT);
	sim->disconnected = 1;
	memset(sim->to_owner, 0, sizeof(sim->to_owner));
	memset(sim->to_entry, 0, sizeof(sim->to_entry));
	owner_step(sim, OWNER_REFUSE);
	return true;
}

/* RETURN VALUE: false if the event can't happen to the attempt in this
 * state. */
static bool apply_event(struct sim *sim, int event)
{
	switch (event) {
	case 0:
		return hand_over(sim);
	case 1:
		return cancel(sim);
	case 2:
		return deliver_to_owner(sim);
	case 3:
		return deliver_to_entry(sim);
	case 4:
		return disconnect(sim);
	case 5:
		return sim->exists && entry_step(sim, ENTRY_GIVE_UP);
	case 6:
		return owner_step(sim, OWNER_START);
	case 7:
		return owner_step(sim, OWNER_REFUSE);
	case 8:
		return owner_step(sim, OWNER_FINISH);
	case 9:
		return owner_step(sim, OWNER_BREAK);
	case 10:
		return owner_step(sim, OWNER_HOLD);
	case 11:
		return sim->owner_received && owner_step(sim, OWNER_QUEUE);
	default:
		return owner_step(sim, OWNER_NEVER_BEGAN);
	}
}

#define EVENTS 13

static void verify_invariants(const struct state *state)
{
	unsigned int runs = 0;

	for (size_t i = 0; i < ATTEMPTS; i++) {
		const struct sim *sim = &state->sims[i];

		runs += sim->runs;
		g_assert_cmpuint(sim->runs, <=, 1);
		if (sim->exists && sim->entry == ENTRY_NOT_RUN)
			g_assert_cmpuint(sim->runs, ==, 0);
	}
	if (!state->idempotent)
		g_assert_cmpuint(runs, <=, 1);
	if (state->reported == REPORTED_NOT_RUN)
		g_assert_cmpuint(runs, ==, 0);
	if (state->reported == REPORTED_RUN)
		g_assert_cmpuint(runs, >=, 1);
}

static void visit(struct search *search, const struct state *state)
{
	struct state *copy;

	if (g_hash_table_contains(search->seen, state))
		return;
	g_assert_cmpuint(g_hash_table_size(search->seen), <, STATES_MAX);
	verify_invariants(state);
	copy = g_memdup2(state, sizeof(*state));
	g_hash_table_add(search->seen, copy);
	g_queue_push_tail(search->open, copy);
}

static guint explore(bool idempotent)
{
	struct search search = {
		.seen = g_hash_table_new_full(state_hash, state_equal, g_free,
					      NULL),
		.open = g_queue_new(),
	};
	struct state first = {.idempotent = idempotent};
	const struct state *state;
	guint count;

	start_attempt(&first, 0);
	visit(&search, &first);
	while ((state = g_queue_pop_head(search.open))) {
		for (int event = 0; event < EVENTS * ATTEMPTS; event++) {
			struct state next = *state;
			size_t index = (size_t)event / EVENTS;

			if (!apply_event(&next.sims[index], event % EVENTS))
				continue;
			continue_call(&next, index);
			visit(&search, &next);
		}
	}
	count = g_hash_table_size(search.seen);
	g_queue_free(search.open);
	g_hash_table_unref(search.seen);
	return count;
}

/*
 * A booking whose first attempt is refused goes to another upstream, while any
 * event may happen to both attempts. If a customer could be charged twice, or
 * told "not run" about a booking that was made, one of these states would show
 * it.
 */
static void test_every_reachable_state_of_a_booking(void)
{
	guint count = explore(false);

	g_test_message("%u states", count);
	g_assert_cmpuint(count, >, 500);
}

/* A lookup may run at both upstreams, but "not run" must be as reliable. */
static void test_every_reachable_state_of_a_lookup(void)
{
	guint count = explore(true);

	g_test_message("%u states", count);
	g_assert_cmpuint(count, >, 500);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/attempt-model/booking",
			test_every_reachable_state_of_a_booking);
	g_test_add_func("/attempt-model/lookup",
			test_every_reachable_state_of_a_lookup);
	return g_test_run();
}
