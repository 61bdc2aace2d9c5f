/*
 * NAME
 *	crash - records which requests ran when an upstream crashed
 *
 * DESCRIPTION
 *	Internal to upstream/. Runs that the upstream broke off before their
 *	answer was complete, each within CRASH_WINDOW_MS of the one before, are
 *	recorded until it is known whether the upstream's process has ended: its
 *	port refuses connections, or a newer start has reported. If the port
 *	still accepts connections, the upstream has only dropped some of them,
 *	and the recorded runs are discarded.
 *
 *	Attempts whose request the quarantine holds are refused here; they don't
 *	wait. If the quarantine names this host for a trial, one attempt runs as
 *	the trial.
 *
 *	A daemon that ends together with its upstream, as when the host loses
 *	power, reports no crash.
 */
#ifndef COMFREYDOCKD_UPSTREAM_CRASH_H
#define COMFREYDOCKD_UPSTREAM_CRASH_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/trace.h"

struct owner;
struct owner_attempt;

#define CRASH_RUNS_MAX 32
/* Runs that break off further apart than this are not of one crash: a later one
 * replaces those recorded before. */
#define CRASH_WINDOW_MS 200
/* A crash that is confirmed later than this after the latest run broke off may
 * have nothing to do with the recorded runs, and they are discarded. */
#define CRASH_CONFIRM_MS 10000

struct crash_run {
	char trace[TRACE_LABEL_SIZE]; /* the label of its id */
	uint64_t content; /* hash of the request's content; 0: not known */
	int64_t started_us;
};

struct crash_watch {
	struct crash_run runs[CRASH_RUNS_MAX];
	unsigned int count;
	int64_t last_broken_us; /* when the latest run broke off */
	unsigned int checks; /* of the port, since the first run was recorded */
	ev_timer port_check_timer;
};

void crash_init(struct owner *owner);
void crash_finish(struct owner *owner);

/* Records a run that the upstream broke off. */
void crash_note_broken(struct owner *owner, const struct owner_attempt *attempt);

/* The upstream's process has ended, as a refused connection or a new start
 * shows. Marks the requests that ran there in the daemon's quarantine. */
void crash_confirm(struct owner *owner, const char *by);

/* Tells the quarantine how a run has ended. is_served: with a complete answer
 * that reports no failure. A failure doesn't clear the request, as an upstream
 * that fails all requests may not even have begun to run them. */
void crash_note_run_result(struct owner *owner,
			   const struct owner_attempt *attempt, bool is_served);

/*
 * Check the attempt's request against the quarantine when the attempt arrives,
 * and again before it starts, when the attempt may become a trial. An attempt
 * whose request is held is refused as not run and freed.
 *
 * RETURN VALUE: false if the attempt was refused and freed.
 */
bool owner_quarantine_admit_arrival(struct owner *owner,
				    struct owner_attempt *attempt);
bool owner_quarantine_admit_start(struct owner *owner,
				  struct owner_attempt *attempt);

#endif
