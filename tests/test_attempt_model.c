#include <glib.h>
#include <string.h>

#include "comfreydockd/peer/attempt.h"

/*
 * Every state that one call with two attempts can reach, by every order of
 * sends, cancels, refusals, starts, ends, losses, pauses and late frames. A
 * pause needs no event of its own: it is any order in which one side's frames
 * wait while the other side goes on.
 */
#define TRIES 2
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

enum told {
	TOLD_NOTHING,
	TOLD_NOT_RUN,
	TOLD_UNKNOWN,
	TOLD_RUN,
};

struct
try {
	unsigned char is_made;
	unsigned char entry;
	unsigned char owner;
	unsigned char owner_knows;
	unsigned char left; /* bytes were handed to the kernel */
	unsigned char cut;
	unsigned char runs;
	unsigned char cancelled;
	unsigned char to_owner[TO_OWNER];
	unsigned char to_entry[TO_ENTRY];
};

/* Compared and hashed as bytes: no padding between the members. */
struct state {
	unsigned char idempotent;
	unsigned char told;
	struct try tries[TRIES];
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

static bool entry_step(struct try *try, enum attempt_entry_event event)
{
	enum attempt_entry_state state = try->entry;
	bool steps = attempt_entry_step(&state, event);

	try->entry = state;
	return steps;
}

static void say(struct try *try, enum message message)
{
	if (!try->cut)
		put(try->to_entry, TO_ENTRY, message);
}

static bool owner_step(struct try *try, enum attempt_owner_event event)
{
	enum attempt_owner_state state = try->owner;

	if (!try->owner_knows || !attempt_owner_step(&state, event))
		return false;
	try->owner = state;
	if (event == OWNER_START)
		try->runs++;
	if (event == OWNER_NEVER_BEGAN)
		try->runs--;
	if (state == OWNER_ATTEMPT_NOT_RUN)
		say(try, MSG_NOT_RUN);
	if (event == OWNER_BREAK)
		say(try, MSG_FAILED);
	if (event == OWNER_FINISH) {
		say(try, MSG_ANSWER);
		say(try, MSG_END);
	}
	return true;
}

static void make_try(struct state *state, size_t index)
{
	struct try *try = &state->tries[index];

	try->is_made = 1;
	try->entry = ENTRY_PICKED;
	entry_step(try, ENTRY_SEND);
}

/* What the daemon does after an attempt is over: another one, or a last word. */
static void go_on(struct state *state, size_t index)
{
	const struct try *try = &state->tries[index];
	bool last = index + 1 == TRIES;

	if (state->told || !attempt_entry_is_over(try->entry))
		return;
	if (try->entry == ENTRY_DONE) {
		state->told = TOLD_RUN;
		return;
	}
	if (!last && !state->tries[index + 1].is_made &&
	    attempt_allows_another(try->entry, state->idempotent)) {
		make_try(state, index + 1);
		return;
	}
	if (!last && state->tries[index + 1].is_made)
		return;
	state->told = TOLD_NOT_RUN;
	for (size_t i = 0; i <= index; i++) {
		if (state->tries[i].entry != ENTRY_NOT_RUN)
			state->told = TOLD_UNKNOWN;
	}
}

static bool deliver_to_owner(struct try *try)
{
	enum message message = take(try->to_owner, TO_OWNER);

	if (message == MSG_ATTEMPT) {
		try->owner_knows = 1;
		try->owner = OWNER_ATTEMPT_RECEIVED;
		return owner_step(try, OWNER_QUEUE);
	}
	if (message != MSG_CANCEL)
		return false;
	/* A run goes on unheard; what waits is refused. */
	if (try->owner_knows && try->owner == OWNER_ATTEMPT_RUNNING)
		say(try, MSG_FAILED);
	else
		owner_step(try, OWNER_REFUSE);
	return true;
}

static bool deliver_to_entry(struct try *try)
{
	static const enum attempt_entry_event events[] = {
		[MSG_NOT_RUN] = ENTRY_GET_NOT_RUN,
		[MSG_ANSWER] = ENTRY_GET_ANSWER,
		[MSG_END] = ENTRY_GET_END,
		[MSG_FAILED] = ENTRY_GET_FAILED,
	};
	enum message message = take(try->to_entry, TO_ENTRY);

	if (message == NO_MESSAGE)
		return false;
	entry_step(try, events[message]);
	return true;
}

static bool hand_over(struct try *try)
{
	if (!try->is_made || try->left || try->cut)
		return false;
	try->left = 1;
	put(try->to_owner, TO_OWNER, MSG_ATTEMPT);
	return true;
}

static bool cancel(struct try *try)
{
	if (!try->left || try->cut || try->cancelled)
		return false;
	try->cancelled = 1;
	put(try->to_owner, TO_OWNER, MSG_CANCEL);
	return true;
}

static bool cut(struct try *try)
{
	if (!try->is_made || try->cut)
		return false;
	entry_step(try, try->left ? ENTRY_LINK_LOST : ENTRY_LINK_LOST_UNSENT);
	try->cut = 1;
	memset(try->to_owner, 0, sizeof(try->to_owner));
	memset(try->to_entry, 0, sizeof(try->to_entry));
	owner_step(try, OWNER_REFUSE);
	return true;
}

/* RETURN VALUE: false if this event can't happen to the attempt now. */
static bool happen(struct try *try, int event)
{
	switch (event) {
	case 0:
		return hand_over(try);
	case 1:
		return cancel(try);
	case 2:
		return deliver_to_owner(try);
	case 3:
		return deliver_to_entry(try);
	case 4:
		return cut(try);
	case 5:
		return try->is_made && entry_step(try, ENTRY_GIVE_UP);
	case 6:
		return owner_step(try, OWNER_START);
	case 7:
		return owner_step(try, OWNER_REFUSE);
	case 8:
		return owner_step(try, OWNER_FINISH);
	case 9:
		return owner_step(try, OWNER_BREAK);
	case 10:
		return owner_step(try, OWNER_HOLD);
	case 11:
		return try->owner_knows && owner_step(try, OWNER_QUEUE);
	default:
		return owner_step(try, OWNER_NEVER_BEGAN);
	}
}

#define EVENTS 13

static void check(const struct state *state)
{
	unsigned int runs = 0;

	for (size_t i = 0; i < TRIES; i++) {
		const struct try *try = &state->tries[i];

		runs += try->runs;
		g_assert_cmpuint(try->runs, <=, 1);
		if (try->is_made && try->entry == ENTRY_NOT_RUN)
			g_assert_cmpuint(try->runs, ==, 0);
	}
	if (!state->idempotent)
		g_assert_cmpuint(runs, <=, 1);
	if (state->told == TOLD_NOT_RUN)
		g_assert_cmpuint(runs, ==, 0);
	if (state->told == TOLD_RUN)
		g_assert_cmpuint(runs, >=, 1);
}

static void visit(struct search *search, const struct state *state)
{
	struct state *copy;

	if (g_hash_table_contains(search->seen, state))
		return;
	g_assert_cmpuint(g_hash_table_size(search->seen), <, STATES_MAX);
	check(state);
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

	make_try(&first, 0);
	visit(&search, &first);
	while ((state = g_queue_pop_head(search.open))) {
		for (int event = 0; event < EVENTS * TRIES; event++) {
			struct state next = *state;
			size_t index = (size_t)event / EVENTS;

			if (!happen(&next.tries[index], event % EVENTS))
				continue;
			go_on(&next, index);
			visit(&search, &next);
		}
	}
	count = g_hash_table_size(search.seen);
	g_queue_free(search.open);
	g_hash_table_unref(search.seen);
	return count;
}

/*
 * A booking whose first attempt is refused goes to another upstream, while
 * anything at all happens to either. A customer who is charged twice, or told
 * "not run" about a booking that stands, would be one of these states.
 */
static void test_every_reachable_state_of_a_booking(void)
{
	guint count = explore(false);

	g_test_message("%u states", count);
	g_assert_cmpuint(count, >, 500);
}

/* A lookup may run at both; "not run" must be as true of it. */
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
