/*
 * NAME
 *	load - open-loop load
 *
 * DESCRIPTION
 *	Calls start when the schedule says so, however slow the answers are,
 *	and their latency counts from that time. A generator that waits for
 *	answers would send least when the system is at its worst, and not see
 *	what callers see.
 */
#ifndef STANDIN_LOAD_LOAD_H
#define STANDIN_LOAD_LOAD_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "histogram.h"
#include "precise_timer.h"

struct http_client;

struct burst {
	int64_t at_us;
	int64_t duration_us;
	double factor;
};

struct load_options {
	char **targets; /* "http://IP:PORT", rotated */
	char **paths; /* of idempotent calls, one drawn for each */
	char **post_paths;
	char **headers; /* "Name: value" */
	char *host;
	char *prefix; /* of the request ids */
	char *id_header;
	double rate; /* calls a second */
	double seconds;
	double share_nonidempotent;
	gboolean even; /* even spacing; otherwise Poisson arrivals */
	int64_t seed;
	int64_t deadline_ms; /* the caller hangs up then */
	int64_t body_bytes; /* of a POST */
	int max_open;
	GArray *bursts;
	char *calls_path;
};

enum outcome {
	OUTCOME_RUN,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_UNSAID, /* an answer without the header */
	OUTCOME_UNCONNECTED, /* nothing was sent */
	OUTCOME_TIMED_OUT, /* the caller hung up at its deadline */
	OUTCOME_BROKEN, /* no whole answer */
	OUTCOME_COUNT,
};

struct load_counts {
	uint64_t scheduled;
	uint64_t started;
	uint64_t unstarted; /* more than max_open were open */
	uint64_t served; /* 2xx, whole and the caller's own */
	uint64_t wrong; /* 2xx, not the caller's own */
	uint64_t outcomes[OUTCOME_COUNT];
	uint64_t statuses[600];
};

struct load {
	struct ev_loop *loop;
	struct load_options options;
	struct http_client *client;
	struct precise_timer timer;
	GRand *random;
	struct load_counts counts;
	struct histogram served; /* latency of served calls, us */
	struct histogram refused; /* of calls answered "not run" */
	FILE *calls;
	int64_t start_us;
	int64_t next_due_us; /* since start_us */
	int open;
	bool all_started; /* all calls have started */
	bool is_stopped;
};

const char *outcome_name(enum outcome outcome);

/* call.c: one call, due at that monotonic time. */
void call_start(struct load *load, int64_t due_us);

/* schedule.c: starts calls as they fall due, and leaves the loop once all
 * have ended. */
void schedule_start(struct load *load);
void schedule_handle_call_end(struct load *load);

/* RETURN VALUE: false where the text isn't AT_MS:FOR_MS:FACTOR. */
bool burst_parse(const char *text, struct burst *burst);

/* summary.c */
void summary_print(const struct load *load);

#endif
