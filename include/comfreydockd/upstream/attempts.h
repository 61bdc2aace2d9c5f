/*
 * NAME
 *	attempts - the owner's half of each attempt
 *
 * DESCRIPTION
 *	Internal to upstream/. attempts.c keeps one attempt from its frame to
 *	its last answer; owner.c decides when it may start.
 */
#ifndef COMFREYDOCKD_UPSTREAM_ATTEMPTS_H
#define COMFREYDOCKD_UPSTREAM_ATTEMPTS_H

#include <sys/queue.h>

#include "comfreydockd/decide/limit.h"
#include "comfreydockd/decide/queue.h"
#include "comfreydockd/peer/attempt.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/upstream/answer.h"
#include "comfreydockd/upstream/owner.h"
#include "comfreydockd/upstream/run.h"

/* Bytes of a request's body that an entry may send unasked. */
#define ATTEMPT_BODY_WINDOW (64 * 1024)

struct owner_attempt {
	LIST_ENTRY(owner_attempt) link; /* of its connection */
	TAILQ_ENTRY(owner_attempt) running_link;
	TAILQ_ENTRY(owner_attempt) held_link;
	bool is_held; /* at the gate */
	bool is_trial; /* of a request that is held, see decide/quarantine.h */
	struct owner *owner;
	struct peer *peer; /* NULL: the entry's connection is lost */
	enum attempt_owner_state state;
	Cfd__Attempt *request;
	GByteArray *body; /* beyond the first part, until the start */
	bool body_ends;
	struct queue_item item;
	int64_t target_us; /* an answer by then is in time */
	uint32_t pace_percent; /* of the host at the start */
	struct run *run;
	int64_t arrived_us;
	int64_t started_us;
	uint32_t busy_slots; /* slots at the start, with its own */
	int64_t head_us; /* when the answer began; 0: not yet */
	int64_t stalled_since_us; /* no credit since; 0: has credit */
	int64_t credit;
	unsigned int status;
	enum answer_verdict verdict;
};

LIST_HEAD(owner_attempt_list, owner_attempt);

/* An entry's connection, as the owner sees it. */
struct owner_peer {
	struct owner_attempt_list attempts;
};

void attempt_destroy(struct owner_attempt *attempt);

/* Says NOT_RUN and destroys the attempt. */
void attempt_refuse(struct owner_attempt *attempt, Cfd__Reason reason,
		    uint32_t retry_after_ms);

/* Starts the attempt on the upstream. */
void attempt_start(struct owner_attempt *attempt);

void attempt_add_body(struct owner_attempt *attempt, const Cfd__Body *body);
void attempt_add_credit(struct owner_attempt *attempt, uint32_t bytes);

/* Breaks a running attempt off: its upstream is told by the closed
 * connection. Says Failed and destroys the attempt. */
void attempt_break(struct owner_attempt *attempt, const char *why);

/* A cancel or a lost connection while it runs: breaks an idempotent one off
 * and lets any other run to its end, unheard. */
void attempt_give_up(struct owner_attempt *attempt);

/* Called by attempts.c when a running attempt is over, before it is freed. */
void owner_note_finished(struct owner *owner, struct owner_attempt *attempt,
			 enum limit_outcome outcome);

/* The head of an answer, of whatever request. */
void owner_note_answer(struct owner *owner, const struct fields *fields);

/* Another upstream has the address of the one that was announced. */
void owner_note_other_instance(struct owner *owner);

/* RETURN VALUE: the id of the upstream's present start, or NULL. */
const char *owner_instance(const struct owner *owner);

/* Takes the attempt out of what is held at the gate, if it is there. */
void owner_remove_held(struct owner *owner, struct owner_attempt *attempt);

/* RETURN VALUE: the host's pace as last told; 0: never. */
uint32_t owner_pace_percent(const struct owner *owner);
bool owner_is_slow(const struct owner *owner);
int64_t owner_pace_age_us(const struct owner *owner);
uint32_t owner_running(const struct owner *owner);

/* The upstream refused a connection. */
void owner_note_refused(struct owner *owner);

/* The upstream broke the run off; see crash.h. */
void owner_note_broken(struct owner *owner, const struct owner_attempt *attempt);

/* A run gave a whole answer, or none by the upstream's doing. */
void owner_note_run(struct owner *owner, bool is_answer);

/* The load to put on an answer. */
void owner_fill_load(const struct owner *owner, Cfd__Load *load);

struct daemon *owner_daemon(const struct owner *owner);
struct run_pool *owner_pool(const struct owner *owner);
uint32_t owner_retry_after_ms(const struct owner *owner);

#endif
