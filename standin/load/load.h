/*
 * NAME
 *	load - open-loop load generator
 *
 * DESCRIPTION
 *	Calls start at their scheduled times, however slow the responses are,
 *	and latency is measured from the scheduled time. A closed-loop
 *	generator, which waits for responses, would send least while the system
 *	is slowest (coordinated omission) and would not measure the latency
 *	that independent callers see.
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
	char **targets; /* "http://IP:PORT", used in rotation */
	char **paths; /* of idempotent calls; each call uses a random one */
	char **post_paths; /* of non-idempotent calls, likewise */
	char **headers; /* "Name: value" */
	char **keys; /* "ORGANISATION=KEY"; each call uses a random one */
	char *host;
	char *prefix; /* of the request ids */
	char *id_header;
	double rate; /* calls per second */
	double seconds;
	double share_nonidempotent;
	gboolean even; /* evenly spaced calls; otherwise Poisson arrivals */
	int64_t seed;
	int64_t deadline_ms; /* the caller closes the connection after this */
	int64_t body_bytes; /* of a POST request */
	int max_open;
	GArray *bursts;
	char *calls_path;
};

enum outcome {
	OUTCOME_RUN,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
	OUTCOME_UNSAID, /* the response has no outcome header */
	OUTCOME_UNCONNECTED, /* the connection was refused; nothing was sent */
	OUTCOME_TIMED_OUT, /* the caller gave up at its deadline */
	OUTCOME_BROKEN, /* the response was missing or incomplete */
	OUTCOME_COUNT,
};

struct load_counts {
	uint64_t scheduled;
	uint64_t started;
	uint64_t unstarted; /* skipped since max_open calls were open */
	uint64_t served; /* complete 2xx responses that match the request */
	uint64_t wrong; /* 2xx responses to another request */
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
	struct histogram served; /* latency of calls with a 2xx response, us */
	struct histogram refused; /* latency of calls answered "not run", us */
	FILE *calls;
	int64_t start_us;
	int64_t next_due_us; /* relative to start_us */
	int open;
	bool all_started; /* no further call will start */
	bool is_stopped;
};

const char *outcome_name(enum outcome outcome);

/* call.c: starts one call. due_us is the scheduled time on the monotonic
 * clock. */
void call_start(struct load *load, int64_t due_us);

/* schedule.c: starts calls at their scheduled times, and breaks the event loop
 * once all calls have ended. */
void schedule_start(struct load *load);
void schedule_handle_call_end(struct load *load);

/* Parses AT_MS:FOR_MS:FACTOR. RETURN VALUE: false if the text is malformed. */
bool burst_parse(const char *text, struct burst *burst);

/* summary.c */
void summary_print(const struct load *load);

#endif
