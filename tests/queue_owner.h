/*
 * NAME
 *	queue_owner - one upstream behind a queue, and what callers received
 *
 * DESCRIPTION
 *	Plays a plan of calls against a queue, with time as an argument.
 */
#ifndef TESTS_QUEUE_OWNER_H
#define TESTS_QUEUE_OWNER_H

#include "comfreydockd/decide/queue.h"
#include "common/clock.h"

#define SLOTS 12
#define CALLS 20000
#define MS US_PER_MS

struct call {
	struct queue_item item;
	int64_t arrives_us;
	int64_t service_us;
	int64_t ends_us; /* of the call that holds a slot; 0: none */
	bool hot;
	int64_t answered_us; /* by the upstream; 0: not */
	int64_t refused_us;
	bool answered; /* finally, one way or the other */
};

/* One upstream, its queue, and what callers received. */
struct owner {
	struct queue queue;
	struct call *calls;
	struct call *slots[SLOTS];
	struct queue_slots load;
	int64_t now_us;
	int in_time[2]; /* by call.hot */
	int late[2];
	int refused[2];
	int64_t latest_refusal_us; /* past the last time it could have run */
};

struct call *call_of(struct queue_item *item);

struct owner *owner_create(const struct queue_policy *policy, bool fair);
void owner_destroy(struct owner *owner);

/* Lets one call arrive; all that is due before has happened. */
void owner_receive(struct owner *owner, struct call *call);

/* Ends what ends and refuses what gets stale until then. */
void owner_run_until(struct owner *owner, int64_t until_us);

int64_t draw_exponential(double mean_us);

/* Calls of a load (1: all slots busy) with the given mean service time. */
void owner_generate_calls(struct owner *owner, double load, double mean_us,
			  int64_t deadline_us);
void owner_simulate(struct owner *owner, const char *what);
int owner_in_time(const struct owner *owner);

#endif
