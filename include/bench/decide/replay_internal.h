/*
 * NAME
 *	replay_internal - what the parts of a replay share
 *
 * DESCRIPTION
 *	replay.c sets up and keeps the result, entry.c and owner.c are the two
 *	roles of a daemon, central.c is the one queue for all.
 */
#ifndef BENCH_DECIDE_REPLAY_INTERNAL_H
#define BENCH_DECIDE_REPLAY_INTERNAL_H

#include <sys/queue.h>

#include "bench/decide/events.h"
#include "bench/decide/replay.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/health.h"
#include "comfreydockd/decide/hedge.h"
#include "comfreydockd/decide/limit.h"
#include "comfreydockd/decide/measure.h"
#include "comfreydockd/decide/pace.h"
#include "comfreydockd/decide/queue.h"
#include "comfreydockd/decide/retry.h"
#include "comfreydockd/decide/speed.h"
#include "comfreydockd/decide/warm.h"

struct replay_call;

struct replay_attempt {
	struct queue_item item; /* first; see owner.c */
	TAILQ_ENTRY(replay_attempt) held_link;
	struct replay_call *call;
	uint32_t upstream;
	uint32_t epoch;
	bool is_hedge;
	bool is_overtaken; /* another was sent as it gave nothing */
	bool running;
	bool held; /* at the owner's gate */
	bool arrived; /* at the owner */
	bool over; /* at the owner */
	bool dropped; /* by the entry */
	bool error; /* an answer, and the upstream's own error */
	int64_t sent_us;
	int64_t started_us;
	int64_t refused_us;
	enum retry_outcome outcome;
	int64_t retry_after_us;
	uint32_t other_pace_percent; /* the best of the others, as sent */
	uint32_t pace_percent; /* at its start */
	struct pick_load load; /* travels with the answer */
};

struct replay_call {
	const struct trace_call *trace;
	int64_t deadline_us;
	struct pick_tried tried;
	struct pick_tried tried_busy; /* refused by a host that had no room now */
	bool has_returned_to_busy; /* to these */
	uint32_t uncounted; /* attempts that count for nothing; see retry.h */
	struct replay_attempt *active[2]; /* the attempt and its hedge */
	uint32_t attempts;
	uint32_t busy;
	uint32_t hedges;
	uint32_t turn; /* grows with each attempt; old timers do nothing */
	bool may_have_run;
	bool is_impatient; /* waits for the owner's verdict */
	bool closed; /* the caller has its answer */
	int64_t refused_us;
	int64_t come_back_us;
};

struct replay_owner {
	uint32_t running;
	enum trace_fault_kind fault;
	double factor; /* work takes so many times as long */
	struct limit limit;
	struct warm warm;
	struct queue *queue;
	struct measure measure;
	struct speed speed;
	int64_t stale_us; /* of the timer that is set */
	/* The gate. */
	struct pace pace;
	TAILQ_HEAD(, replay_attempt) held;
	bool is_asking;
	int64_t ask_us; /* of the timer that is set; INT64_MAX: none */
	double tokens;
	int64_t refilled_us;
};

struct replay_entry {
	struct pick_set set;
	struct pick_candidate *candidates;
	struct health health;
	struct health_upstream *upstreams;
	struct deadline_path *paths;
	struct retry retry;
	struct hedge hedge;
	int64_t ticked_us;
};

/* What an owner tells an entry by itself. */
struct replay_report {
	uint32_t entry;
	uint32_t upstream;
	struct pick_load load;
};

struct replay {
	const struct trace *trace;
	const struct replay_options *options;
	struct replay_result *result;
	struct events events;
	struct replay_entry *entries;
	struct replay_owner *owners;
	struct replay_call *calls;
	struct queue *central; /* where options->policy is NULL */
	GPtrArray *attempts; /* all that were made */
	GPtrArray *reports; /* of struct replay_report */
	struct random_state random;
};

/* replay.c */

bool replay_has(const struct replay *r, enum replay_module module);
bool replay_is_local(const struct replay *r, uint32_t entry, uint32_t upstream);
int64_t replay_delay_us(const struct replay *r,
			const struct replay_attempt *attempt);
void replay_after(struct replay *r, int64_t delay_us,
		  void (*handle)(void *replay, void *data), void *data);
struct replay_attempt *replay_attempt_new(struct replay *r,
					  struct replay_call *call);
bool replay_is_judged(const struct replay *r, int64_t at_us);

/* Counts an attempt that begins at the upstream. */
void replay_note_start(struct replay *r, uint32_t upstream);

/* The caller's end; at most one for each call. */
void replay_note_answer(struct replay *r, struct replay_call *call, bool error);
void replay_note_not_run(struct replay *r, struct replay_call *call);
void replay_note_unknown(struct replay *r, struct replay_call *call);

/* entry.c */

void replay_entry_init(struct replay *r, uint32_t number);
void replay_entry_finish(struct replay_entry *entry);

struct replay_entry *replay_entry_of(struct replay *r,
				     const struct replay_call *call);

/* Tells pick and health how the attempt ended, and takes it from its call. */
void replay_entry_note_end(struct replay *r, struct replay_attempt *attempt,
			   bool timed_out);

/* Takes over what health and the ramps say, as a daemon does between events. */
void replay_entry_refresh(struct replay *r, struct replay_entry *entry);

/* An event: data is the struct replay_report. */
void replay_handle_report(void *replay, void *data);

/* call.c */

/* An event: data is the struct replay_call. */
void replay_handle_call(void *replay, void *data);

/* An event: data is the struct replay_attempt, which has its outcome. */
void replay_handle_answer(void *replay, void *data);

/* An event: the struct replay_attempt is overdue; or it is not. */
void replay_handle_overdue(void *replay, void *data);
void replay_handle_waiting(void *replay, void *data);

/* owner.c */

void replay_owner_init(struct replay *r, struct replay_owner *owner);
void replay_owner_finish(struct replay_owner *owner);

/* Events: data is the struct replay_attempt. */
void replay_handle_arrival(void *replay, void *data);
void replay_handle_cancel(void *replay, void *data);

/* The entry asks whether it is overdue. */
void replay_handle_ask(void *replay, void *data);

/* An event: data is the struct replay_owner. */
void replay_handle_probe(void *replay, void *data);

/* Counts the slot time of an attempt at its end. */
void replay_note_run(struct replay *r, const struct replay_attempt *attempt,
		     bool is_useful);

/* What the owner tells of itself. */
struct pick_load replay_owner_load(const struct replay *r,
				   const struct replay_owner *owner);

/* An attempt has passed the gate, or is refused there. */
void replay_owner_offer(struct replay *r, struct replay_attempt *attempt);
void replay_owner_refuse(struct replay *r, struct replay_attempt *attempt,
			 enum retry_outcome outcome);

/* gate.c */

void replay_gate_init(struct replay *r, struct replay_owner *owner);
void replay_gate_offer(struct replay *r, struct replay_attempt *attempt);

/* Its turn has come; as gate_may_start() of comfreydockd. */
bool replay_gate_may_start(struct replay *r, struct replay_attempt *attempt);

/* The upstream tells its pace with an answer. */
void replay_gate_note(struct replay *r, struct replay_owner *owner);

/* RETURN VALUE: true if it was held; it isn't any more. */
bool replay_gate_forget(struct replay *r, struct replay_attempt *attempt);

/* central.c */

void replay_handle_central(void *replay, void *data);

/* A host has become quick: what waits may begin. */
void replay_central_dispatch(struct replay *r);

#endif
