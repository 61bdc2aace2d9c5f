/*
 * NAME
 *	attempts - the owner's side of each attempt
 *
 * DESCRIPTION
 *	Internal to upstream/. attempts.c handles one attempt from the frame
 *	that opens it to the last frame of its answer. owner.c decides when it
 *	may start.
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

/* Bytes of a request's body that an entry may send before the owner grants
 * more. */
#define ATTEMPT_BODY_WINDOW (64 * 1024)

struct owner_attempt {
	LIST_ENTRY(owner_attempt) link; /* in the list of its connection */
	TAILQ_ENTRY(owner_attempt) running_link;
	TAILQ_ENTRY(owner_attempt) held_link;
	bool is_held; /* waits at the gate for the host's pace, see gate.h */
	bool is_on_way; /* may reach the upstream yet, see decide/cold_start.h */
	bool is_trial; /* of a quarantined request, see decide/quarantine.h */
	struct owner *owner;
	struct peer *peer; /* NULL: the entry cancelled or its link is lost */
	enum attempt_owner_state state;
	Cfd__Attempt *request;
	/* Parts of the request's body that came after the Attempt frame and
	 * before the start. */
	GByteArray *body;
	bool body_ends; /* the request's body is complete */
	struct queue_item item;
	int64_t target_us; /* an answer by this time is on time */
	/* The host's pace when the attempt started, in percent of the usual
	 * service time: 200 is twice as slow. */
	uint32_t pace_percent;
	struct run *run;
	int64_t arrived_us;
	int64_t started_us;
	uint32_t busy_slots; /* when it started, including its own */
	int64_t head_us; /* when the answer's head came; 0: not yet */
	int64_t progress_us; /* when its last part came */
	int64_t stalled_since_us; /* since when it has no credit; 0: it has */
	int64_t credit;
	unsigned int status;
	enum answer_verdict verdict; /* ANSWER_GOOD also before the head came */
};

LIST_HEAD(owner_attempt_list, owner_attempt);

/* The owner's state for one entry's connection. */
struct owner_peer {
	struct owner_attempt_list attempts;
	int64_t attempt_us; /* when the last attempt came; 0: none did */
	uint64_t last_seq; /* of its attempts, which are numbered upwards */
};

void attempt_destroy(struct owner_attempt *attempt);

/* Ends an attempt that certainly did not run: sends NotRun to the entry and
 * destroys the attempt. Also applies to a cancelled attempt that had not
 * started, and to one that the upstream shed or that reached the wrong
 * instance. */
void attempt_refuse(struct owner_attempt *attempt, Cfd__Reason reason,
		    uint32_t retry_after_ms);

/* Starts the attempt on the upstream. */
void attempt_start(struct owner_attempt *attempt);

void attempt_add_request_body(struct owner_attempt *attempt,
			      const Cfd__Body *body);
void attempt_add_credit(struct owner_attempt *attempt, uint32_t bytes);

/* Aborts a running attempt: closes its connection to the upstream, sends Failed
 * (or an aborted end of the body) and destroys the attempt. An attempt of which
 * nothing was written to the upstream is refused as not run. */
void attempt_abort(struct owner_attempt *attempt, const char *why);

/* Handles a cancel by the entry, or the loss of its connection, for a running
 * attempt. Aborts the attempt if its request is idempotent or its body is not
 * complete, or if nothing was written to the upstream. Otherwise lets it run to
 * its end and discards the answer. */
void attempt_cancel_running(struct owner_attempt *attempt);

/* Called by attempts.c when a running attempt has ended, before it is freed. */
void owner_note_finished(struct owner *owner, struct owner_attempt *attempt,
			 enum limit_outcome outcome);

/* The request of a running attempt has reached the upstream by now, if it was
 * written at all. */
void owner_note_arrived(struct owner *owner, struct owner_attempt *attempt);

/* Reads the upstream's load from its header, which any answer may carry. */
void owner_note_load_header(struct owner *owner, const struct fields *fields);

/* Reads what else the upstream states in the head of a valid answer. */
void owner_note_answer(struct owner *owner, const struct owner_attempt *attempt,
		       const struct fields *fields);

/* An instance other than the announced one answers at the address. */
void owner_note_other_instance(struct owner *owner);

/* RETURN VALUE: the instance id of the announced start, which requests expect, or
 * NULL. A newer start that isn't confirmed yet has another one. */
const char *owner_instance(const struct owner *owner);

/* Removes the attempt from the attempts that wait at the gate, if it is one of
 * them. */
void owner_remove_from_gate(struct owner *owner, struct owner_attempt *attempt);

/* RETURN VALUE: the host's pace as last reported, in percent of the usual
 * service time; 0: never reported. */
uint32_t owner_pace_percent(const struct owner *owner);
bool owner_is_slow(const struct owner *owner);
int64_t owner_pace_age_us(const struct owner *owner);
uint32_t owner_running(const struct owner *owner);

/* The upstream refused a connection. Tells the probe, which decides whether
 * the upstream is gone. */
void owner_note_connection_refused(struct owner *owner);

/* The upstream broke off the run before its answer was complete. Records the
 * run in case the upstream has crashed; see crash.h. */
void owner_note_broken(struct owner *owner, const struct owner_attempt *attempt);

/* Tells the circuit breaker how a run ended. is_answer: with a complete answer,
 * 5xx included; otherwise the upstream gave none or an invalid one. Not called
 * for runs that did not begin, or that were aborted because the caller
 * cancelled or stopped reading. */
void owner_note_breaker_result(struct owner *owner, bool is_answer);

/* Fills in the load that is sent with each answer. */
void owner_fill_load(const struct owner *owner, Cfd__Load *load);

struct daemon *owner_daemon(const struct owner *owner);
struct run_pool *owner_pool(const struct owner *owner);
uint32_t owner_retry_after_ms(const struct owner *owner);

#endif
