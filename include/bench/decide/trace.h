/*
 * NAME
 *	trace - recorded calls and what happened to the upstreams meanwhile
 *
 * DESCRIPTION
 *	A text file, one item a line, in order of time; # begins a comment.
 *
 *	set NAME VALUE	  upstreams, slots, entries, domains, delay_us (one way
 *			  between domains), deadline_us and target_us (of each
 *			  call; 0: no target), tells_pace (1: upstreams tell
 *			  how fast their host is at the moment), usual_work_us
 *			  (mean work of what generate makes of slow-spells);
 *			  judge_from_us, judge_until_us: results are of calls
 *			  of this window; recover_from_us: from here on all
 *			  should be well again
 *	call AT ENTRY CALLER WORK [post]
 *			  a call at AT us that takes WORK us at an upstream of
 *			  usual speed; post: it is not idempotent
 *	generate KIND LOAD SECONDS SEED
 *			  what trace_generate() makes of this, where a file of
 *			  all calls would be large
 *	speed AT UPSTREAM FACTOR
 *			  from AT us on, work there takes FACTOR times as long
 *
 *	start AT UPSTREAM WARM_MS
 *			  a cold start: work takes five times as long at first
 *			  and less and less so for WARM_MS
 *
 *	fault AT UPSTREAM KIND
 *			  from AT us on, work there fails within 100 us (fast),
 *			  is never answered (silent), or is done (none)
 *
 *	A file is written by trace_generate() from a fixed seed, or taken from
 *	a daemon's time line.
 */
#ifndef BENCH_DECIDE_TRACE_H
#define BENCH_DECIDE_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

struct trace_call {
	int64_t at_us;
	uint32_t entry;
	uint32_t caller;
	int64_t work_us;
	bool idempotent;
};

struct trace_speed {
	int64_t at_us;
	uint32_t upstream;
	double factor;
};

struct trace_start {
	int64_t at_us;
	uint32_t upstream;
	uint32_t warm_ms;
};

enum trace_fault_kind {
	TRACE_FAULT_NONE,
	TRACE_FAULT_FAST,
	TRACE_FAULT_SILENT,
};

struct trace_fault {
	int64_t at_us;
	uint32_t upstream;
	enum trace_fault_kind kind;
};

struct trace {
	uint32_t upstreams;
	uint32_t slots; /* of each upstream */
	uint32_t entries;
	uint32_t domains;
	int64_t delay_us;
	int64_t deadline_us;
	int64_t target_us; /* 0: none */
	int64_t tells_pace; /* not 0: upstreams tell how fast they are now */
	int64_t usual_work_us; /* of the shape's requests, in slow spells */
	int64_t judge_from_us;
	int64_t judge_until_us;
	int64_t recover_from_us;
	GArray *calls; /* of struct trace_call */
	GArray *speeds; /* of struct trace_speed */
	GArray *faults; /* of struct trace_fault */
	GArray *starts; /* of struct trace_start */
};

enum trace_status {
	TRACE_OK,
	TRACE_UNREADABLE,
	TRACE_MALFORMED,
	TRACE_UNKNOWN_KIND,
};

/* With the sizes of lookup-desk. */
void trace_init(struct trace *trace);

/* The sizes of a deployment: "lookup-desk" is 7 upstreams of 12 slots in 4
 * domains 0.5 ms apart, "reservas" 7 of 9 in 3 domains 1.5 ms apart. RETURN
 * VALUE: false if the name is neither. */
bool trace_set_shape(struct trace *trace, const char *name);
void trace_finish(struct trace *trace);

/* Fills an initialised trace from a file; *line is where it went wrong. */
enum trace_status trace_load(struct trace *trace, const char *path, int *line);
void trace_write(const struct trace *trace, FILE *out);

struct trace_plan {
	const char *kind; /* see trace_kinds() */
	double load; /* mean share of all slots in use */
	uint32_t calls; /* at most; 0: for so many seconds */
	double seconds;
	uint64_t seed;
};

/* Fills an initialised trace whose sizes are set. */
enum trace_status trace_generate(struct trace *trace,
				 const struct trace_plan *plan);

/* RETURN VALUE: the time of the last call. */
int64_t trace_length_us(const struct trace *trace);

/* The kinds, separated by commas. */
const char *trace_kinds(void);

#endif
