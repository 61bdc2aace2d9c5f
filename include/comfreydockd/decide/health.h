/*
 * NAME
 *	health - keep new work away from an upstream that fails
 *
 * DESCRIPTION
 *	One struct health for each service at an entry, one health_upstream for
 *	each upstream in it. It learns from the ends of attempts only and costs
 *	no probe. An upstream is ejected when it fails far more often than the
 *	rest, or when it is silent. After a time it is half open: one attempt
 *	after another is let through as a trial. A trial that fails ejects it
 *	again for twice the time; after HEALTH_TRIALS good ones it is back.
 *
 *	At most HEALTH_EJECTED_SHARE_MAX of the available upstreams are ejected, and
 *	never the last one that is usable: when all fail alike the cause lies
 *	elsewhere, and an answer from a poor upstream beats none.
 *
 *	An owner that is asked for an attempt answers within a turn of its loop,
 *	however slow its upstream is. One that leaves HEALTH_MUTE_QUESTIONS questions
 *	open, with nothing else heard for HEALTH_MUTE_US, is mute: frozen, cut
 *	off or without power. The mute are ejected beyond the ceiling, as a call
 *	sent there is lost. Where all are mute it is this entry that is cut off:
 *	health_may_try() then lets one call through now and then to find out, and
 *	the others are refused at once, so that their callers can go elsewhere.
 *
 *	Errors are the upstream's own 5xx answers, lost connections and
 *	timeouts. A refusal (NOT_RUN) is no error and is not told here.
 *
 * LOAD PATTERN
 *	An upstream that fails fast (its slots look free and draw all calls),
 *	a black hole that answers nothing, one that flaps.
 *
 * WITHOUT IT
 *	One upstream of seven that fails each call in 100 us gets more than its
 *	share of a policy that looks for free slots, and fails all of that.
 *
 * GROUNDS
 *	Where few entries call, hardly a call fails any more at an upstream that
 *	fails fast; with hundreds some do, as each finds out by itself. The
 *	figures are in docs/design/decisions.md. The named constants are
 *	assumptions.
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

/* Weight of one outcome in the error rate: a memory of about ten calls. */
#define HEALTH_ALPHA 0.1
#define HEALTH_MIN_SAMPLES 10
/* Ejected above this rate, if it is also so many times the others' rate. */
#define HEALTH_ERROR_RATE 0.4
#define HEALTH_OUTLIER_FACTOR 3.0
/* Ejected after so many errors in a row, unless the others fail too. */
#define HEALTH_ERRORS_IN_A_ROW 5
/* Ejected if so many attempts are out and nothing came for so long. */
#define HEALTH_SILENT_ATTEMPTS 3
#define HEALTH_SILENCE_US ((int64_t)2 * 1000 * 1000)
/* As long as a pause of a daemon that is called one; a daemon on a fifth of a
 * core stands still for 80 ms at a time when it has spent its share. */
#define HEALTH_MUTE_US ((int64_t)300 * 1000)
#define HEALTH_MUTE_QUESTIONS 2
/* Between two trials of a group that is mute as a whole: what a caller that may
 * not be served twice loses by a trial is more. */
#define HEALTH_MUTE_TRIAL_US ((int64_t)100 * 1000)
#define HEALTH_MUTE_UNSAFE_TRIAL_US ((int64_t)1000 * 1000)
#define HEALTH_EJECTED_SHARE_MAX 0.34
#define HEALTH_TRIALS 3
#define HEALTH_EJECT_US ((int64_t)1000 * 1000)
#define HEALTH_EJECT_MAX_US ((int64_t)60 * 1000 * 1000)
/* After so long without an ejection the times start anew. */
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
	bool available; /* members say so; see health_set_available() */
	enum health_state state;
	double error_rate;
	uint64_t samples;
	uint32_t streak; /* errors in a row */
	uint32_t unanswered; /* attempts out */
	int64_t heard_us; /* last sign, or the first send after none was out */
	uint32_t open_questions; /* questions left open since */
	int64_t until_us; /* HEALTH_EJECTED */
	int64_t ejected_us; /* the last time */
	uint32_t ejections; /* in a row, for the growing time */
	uint32_t epoch; /* grows with each change of state */
	uint32_t trials_out;
	uint32_t trials_good;
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
	int64_t tried_us; /* the last trial while all were mute */
};

void health_init(struct health *health, const struct health_policy *policy,
		 uint64_t seed);

/* The upstreams are the entry's own; it removes them before it frees them. */
void health_add(struct health *health, struct health_upstream *upstream,
		bool available);
void health_remove(struct health *health, struct health_upstream *upstream);

/* Tells whether members allow new work there. If none usable would be left,
 * an ejected one is taken back. */
void health_set_available(struct health *health,
			  struct health_upstream *upstream, bool available);

/*
 * Each attempt: sent, then exactly one of ended or refused, with the epoch that
 * health_note_sent() returned. An attempt of an older epoch says nothing of
 * the upstream as it is now: a call that was sent before an ejection and times
 * out long after must not fail the trial of an upstream that has recovered.
 */
uint32_t health_note_sent(struct health *health,
			  struct health_upstream *upstream, int64_t now_us);
void health_note_ended(struct health *health, struct health_upstream *upstream,
		       uint32_t epoch, enum health_outcome outcome,
		       int64_t now_us);

/* NOT_RUN, or cancelled by the entry: a sign of life (heard) or none. */
void health_note_refused(struct health *health, struct health_upstream *upstream,
			 uint32_t epoch, bool heard, int64_t now_us);

/* A sign of life beside these: a head, a load report. */
void health_note_heard(struct health_upstream *upstream, int64_t now_us);

/* The owner left a question of this entry open. */
void health_note_mute(struct health *health, struct health_upstream *upstream,
		      int64_t now_us);

bool health_is_mute(const struct health_upstream *upstream, int64_t now_us);

/*
 * RETURN VALUE: false where all available upstreams are mute and it is too early
 * for another trial; true counts as a trial then.
 */
bool health_may_try(struct health *health, bool idempotent, int64_t now_us);

/* Ends ejections whose time is over and ejects the silent. Call it now and
 * then, at least every 100 ms; the ends of attempts do the rest. */
void health_tick(struct health *health, int64_t now_us);

/* True if new work may go there. While any upstream is available, at least
 * one is closed and thereby usable. */
bool health_is_usable(const struct health_upstream *upstream);

#endif
