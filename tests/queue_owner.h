/*
 * NAME
 *	queue_owner - one upstream behind a queue, and the outcomes for callers
 *
 * DESCRIPTION
 *	Simulates a list of calls against a queue, with time as an argument.
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
	int64_t ends_us; /* end of a running call; 0: it does not run */
	bool hot;
	int64_t answered_us; /* by the upstream; 0: not answered */
	int64_t refused_us;
	bool answered; /* the outcome is final: answered or refused */
};

/* One upstream, its queue, and the outcomes for callers. */
struct owner {
	struct queue queue;
	struct call *calls;
	struct call *slots[SLOTS];
	struct queue_slots load;
	int64_t now_us;
	int in_time[2]; /* indexed by call.hot */
	int late[2];
	int refused[2];
	int64_t latest_refusal_us; /* largest delay after the deadline */
};

struct call *call_of(struct queue_item *item);

struct owner *owner_create(const struct queue_policy *policy, bool fair);
void owner_destroy(struct owner *owner);

/* Offers a call after everything that is due before its arrival. */
void owner_receive(struct owner *owner, struct call *call);

/* Ends requests and refuses stale items up to the given time. */
void owner_run_until(struct owner *owner, int64_t until_us);

int64_t draw_exponential(double mean_us);

/* Generates calls for a load (1: all slots busy) with the given mean service
 * time. */
void owner_generate_calls(struct owner *owner, double load, double mean_us,
			  int64_t deadline_us);
void owner_simulate(struct owner *owner, const char *what);
int owner_in_time(const struct owner *owner);

#endif
