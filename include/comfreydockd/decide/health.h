/*
 * NAME
 *	health - eject failing upstreams from new work
 *
 * DESCRIPTION
 *	An entry has one struct health for each service and one health_upstream
 *	for each upstream in it. Health is learned from the outcomes of attempts
 *	only, so it needs no probes. An upstream is ejected if it fails far more
 *	often than the others or if it is silent. After a time it becomes half
 *	open: attempts are let through one at a time as trials. A failed trial
 *	ejects it again for twice the time; HEALTH_TRIALS successful ones close
 *	the circuit.
 *
 *	At most HEALTH_EJECTED_SHARE_MAX of the available upstreams are ejected,
 *	and never the last usable one: if all fail alike, the cause lies
 *	elsewhere, and an answer from an unreliable upstream is better than none.
 *
 *	An owner that is asked about an attempt answers within one iteration of
 *	its event loop, however slow its upstream is. An owner that leaves
 *	HEALTH_MUTE_QUESTIONS questions open, with nothing else heard from it
 *	for HEALTH_MUTE_US, is mute: frozen, cut off or without power. Mute
 *	upstreams are ejected beyond the maximum share, as a call sent there is
 *	lost. If all are mute, this entry itself is cut off. health_may_try()
 *	then lets a call through from time to time as a trial, and the others
 *	are refused at once, so that their callers can go elsewhere.
 *
 *	Errors are the upstream's own 5xx answers, lost connections and
 *	timeouts. A refusal (NOT_RUN) is no error and must not be reported as
 *	one.
 *
 * LOAD PATTERN
 *	An upstream that fails fast (its slots look free and attract all calls),
 *	a black hole that answers nothing, an upstream that flaps.
 *
 * WITHOUT IT
 *	One upstream of seven that fails each call within 100 us gets more than
 *	its share from a policy that looks for free slots, and fails all of
 *	these calls.
 *
 * GROUNDS
 *	If few entries call, hardly any call still fails at an upstream that
 *	fails fast. With hundreds of entries some calls do, as each entry finds
 *	out by itself. The figures are in docs/design/decisions.md.
 *
 * UNITS
 *	Monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_HEALTH_H
#define COMFREYDOCKD_DECIDE_HEALTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

#include "comfreydockd/decide/random.h"

/* Weight of one outcome in the error rate, which thus covers about ten
 * calls. */
#define HEALTH_ALPHA 0.1
#define HEALTH_MIN_SAMPLES 10
/* An upstream is ejected above this error rate if the rate is also this
 * multiple of the others' mean rate. */
#define HEALTH_ERROR_RATE 0.4
#define HEALTH_OUTLIER_FACTOR 3.0
/* An upstream is ejected after this many consecutive errors, unless the others
 * fail too. */
#define HEALTH_ERRORS_IN_A_ROW 5
/* An upstream is ejected if at least this many attempts are unanswered and
 * nothing was heard from it for this time. */
#define HEALTH_SILENT_ATTEMPTS 3
#define HEALTH_SILENCE_US ((int64_t)2 * 1000 * 1000)
/* The daemon logs a pause of its own event loop from the same time on. A daemon
 * limited to a fifth of a core stands still for 80 ms at a time when its share
 * is used up. */
#define HEALTH_MUTE_US ((int64_t)300 * 1000)
#define HEALTH_MUTE_QUESTIONS 2
/* Intervals between trials while all upstreams are mute. A trial costs more if
 * the request must not run twice. */
#define HEALTH_MUTE_TRIAL_US ((int64_t)100 * 1000)
#define HEALTH_MUTE_UNSAFE_TRIAL_US ((int64_t)1000 * 1000)
#define HEALTH_EJECTED_SHARE_MAX 0.34
#define HEALTH_TRIALS 3
#define HEALTH_EJECT_US ((int64_t)1000 * 1000)
#define HEALTH_EJECT_MAX_US ((int64_t)60 * 1000 * 1000)
/* After this time without an ejection the ejection time is reset to
 * HEALTH_EJECT_US. */
#define HEALTH_EJECTION_RESET_US ((int64_t)120 * 1000 * 1000)

enum health_state {
	HEALTH_CLOSED, /* in use */
	HEALTH_EJECTED,
	HEALTH_HALF_OPEN,
};

enum health_outcome {
	HEALTH_OK,
	HEALTH_ERROR, /* the upstream's own error */
	HEALTH_LOST, /* connection lost or refused */
	HEALTH_TIMEOUT,
};

struct health_upstream {
	TAILQ_ENTRY(health_upstream) link;
	bool available; /* set by health_set_available() */
	enum health_state state;
	double error_rate;
	uint64_t samples;
	uint32_t streak; /* consecutive errors */
	uint32_t unanswered; /* attempts without an answer */
	int64_t heard_us; /* last sign of life, or first send after idleness */
	uint32_t open_questions; /* without an answer since heard_us */
	int64_t ejected_until_us; /* in HEALTH_EJECTED */
	int64_t ejected_us; /* time of the last ejection */
	uint32_t ejections; /* consecutive ones, for the growing time */
	uint32_t epoch; /* incremented with each change of state */
	uint32_t trials_out;
	uint32_t trials_passed;
};

TAILQ_HEAD(health_list, health_upstream);

struct health;

struct health_policy {
	const char *name;
	bool (*should_eject)(const struct health *health,
			     const struct health_upstream *upstream,
			     int64_t now_us);
};

extern const struct health_policy health_none;
extern const struct health_policy health_outlier;

struct health {
	const struct health_policy *policy;
	struct health_list upstreams;
	struct random_state random;
	int64_t last_trial_us; /* while all were mute */
};

void health_init(struct health *health, const struct health_policy *policy,
		 uint64_t seed);

/* The entry owns the upstreams and removes them before it frees them. */
void health_add(struct health *health, struct health_upstream *upstream,
		bool available);
void health_remove(struct health *health, struct health_upstream *upstream);

/* Sets whether the membership allows new work there. If no usable upstream
 * would be left, an ejected one is taken back. */
void health_set_available(struct health *health,
			  struct health_upstream *upstream, bool available);

/*
 * Each attempt is noted as sent, then exactly once as ended or refused, with
 * the epoch that health_note_sent() returned. An attempt of an older epoch says
 * nothing about the current state of the upstream: a call that was sent before
 * an ejection and times out long after it must not fail the trial of an
 * upstream that has recovered.
 */
uint32_t health_note_sent(struct health *health,
			  struct health_upstream *upstream, int64_t now_us);
void health_note_ended(struct health *health, struct health_upstream *upstream,
		       uint32_t epoch, enum health_outcome outcome,
		       int64_t now_us);

/* Notes an attempt that ended NOT_RUN or that the entry cancelled. heard: it
 * was a sign of life. */
void health_note_refused(struct health *health, struct health_upstream *upstream,
			 uint32_t epoch, bool heard, int64_t now_us);

/* Notes any other sign of life, such as the head of an answer or a load
 * report. */
void health_note_heard(struct health_upstream *upstream, int64_t now_us);

/* Notes that the owner left a question of this entry unanswered. */
void health_note_mute(struct health *health, struct health_upstream *upstream,
		      int64_t now_us);

bool health_is_mute(const struct health_upstream *upstream, int64_t now_us);

/*
 * RETURN VALUE: false if all available upstreams are mute and it is too early
 * for another trial. In that state true counts as a trial.
 */
bool health_may_try(struct health *health, bool idempotent, int64_t now_us);

/* Ends ejections whose time is over and ejects silent upstreams. Must be called
 * at least every 100 ms; the outcomes of attempts do the rest. */
void health_tick(struct health *health, int64_t now_us);

/* Returns true if new work may go there. While any upstream is available, at
 * least one is closed and thus usable. */
bool health_is_usable(const struct health_upstream *upstream);

#endif
