/*
 * NAME
 *	upstream - a back end for tests
 *
 * DESCRIPTION
 *	Runs each request for a drawn service time in one of its slots, first
 *	come, first served, and keeps its own count of what it ran by request
 *	id: the judge of "at most once".
 *
 *	A run is counted when its service starts. A closed connection or a
 *	passed X-Deadline-Ms takes a waiting request out before it runs.
 *
 *	/echo gives the body back, /bytes/N streams N bytes, /chunks/N the same
 *	without telling their number before, and any other path answers with a line that names the id. Each answer carries X-Request-Id,
 *	X-Body-Size, X-Body-Sha256 and X-Upstream-Port; one that is shed is a
 *	503 with X-Shed.
 *
 *	/crash/... ends the process at the end of its service time.
 *
 *	With an instance it speaks as upstreams on the users' platform do: their
 *	headers, a load header with the host's pace, 421 to requests that mean
 *	another instance, and heartbeats to the daemon beside it.
 *
 *	For the test: POST /standin/set takes the members of struct
 *	upstream_faults, "cold", which begins the cold start again, "leave" and
 *	"old_report"; GET
 *	/standin/runs?id=ID or for all ids gives struct upstream_counts.
 */
#ifndef STANDIN_UPSTREAM_UPSTREAM_H
#define STANDIN_UPSTREAM_UPSTREAM_H

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "precise_timer.h"

struct http_client;
struct http_server;

enum distribution {
	DISTRIBUTION_FIXED,
	DISTRIBUTION_EXPONENTIAL,
	DISTRIBUTION_BIMODAL,
};

struct upstream_options {
	int port;
	int told_port; /* in heartbeats; 0: its own */
	int slots;
	int backlog; /* requests that may wait for a slot */
	int64_t service_time_us; /* mean; bimodal: of the short ones */
	int64_t long_time_us;
	double long_share;
	enum distribution distribution;
	int64_t seed;
	int64_t warm_ms;
	double cold_factor; /* service time at the start, falls to 1 */
	int64_t report_lag_ms;
	char *announce; /* URL of the daemon's admin API, or NULL */
	char **groups;
	char *runs_path; /* a line for each run, which outlives a SIGKILL */
	/* As on the users' platform: its headers, and heartbeats. */
	char *instance; /* NULL: not so */
	char *service;
	char *report_to; /* "IP:PORT" */
	int64_t heartbeat_ms;
};

/* What a test commands through POST /standin/set. */
struct upstream_faults {
	double factor; /* times the service time */
	gboolean fail_fast; /* 500 at once, without running */
	gboolean freeze; /* answers are held back */
	int64_t drop_next; /* connections to break without an answer */
	gboolean drop_runs; /* the dropped ones run first */
	gboolean sick; /* /health says so */
	gboolean draining; /* heartbeats and /health say so */
	gboolean deregistered; /* said good-bye: no heartbeats */
	int64_t pace_percent; /* of the host, and times the service time */
	int64_t strange_next; /* answers with another request's id */
	gboolean mended; /* /crash/ ends nothing any more */
	int64_t promise_next; /* 503 after the run, without a word on it */
};

struct upstream_report {
	int running;
	int queued;
	bool healthy;
};

struct upstream_counts {
	uint64_t started;
	uint64_t finished;
	uint64_t doubles;
	uint64_t shed;
	uint64_t failed_fast;
	uint64_t dropped;
	uint64_t cancelled_waiting;
	uint64_t cancelled_running;
	uint64_t late;
	uint64_t probes; /* GET /health and GET /load */
	uint64_t misdirected; /* meant for another instance */
	uint64_t acknowledged; /* heartbeats and good-byes */
};

enum job_state {
	JOB_READING,
	JOB_WAITING,
	JOB_RUNNING,
	JOB_HELD, /* finished, its answer frozen */
	JOB_ANSWERING,
};

struct job {
	TAILQ_ENTRY(job) link; /* in waiting, or in busy */
	struct upstream *upstream;
	struct MHD_Connection *connection;
	enum job_state state;
	char *method;
	char *path;
	char *id;
	char *caller_service; /* as told by the daemon; NULL: not told */
	GChecksum *digest;
	GString *body; /* kept for /echo and commands only */
	uint64_t body_size;
	unsigned int status;
	bool drop;
	bool has_run;
	bool suspended;
	struct precise_timer service;
	ev_timer deadline;
	ev_io closed;
};

TAILQ_HEAD(job_list, job);

struct upstream {
	struct ev_loop *loop;
	struct upstream_options options;
	struct upstream_faults faults;
	struct upstream_counts counts;
	struct upstream_report report; /* as old as the lag says */
	struct http_server *server;
	struct http_client *client;
	struct job_list waiting;
	struct job_list busy;
	int queued;
	int running;
	int open_jobs;
	int64_t started_us;
	int64_t born_ms; /* of the wall clock, told in heartbeats */
	bool stopping;
	GRand *random;
	GHashTable *runs; /* id -> count */
	int runs_fd; /* -1: none */
	ev_timer report_timer;
	ev_timer announce_timer;
	ev_timer heartbeat_timer;
	uint64_t sequence; /* of the last one */
};

/* server.c */
struct http_server *upstream_listen(struct upstream *upstream);

/* work.c: takes a request that was read whole. Afterwards its state is
 * JOB_ANSWERING, or it waits or runs and its connection is to be suspended. */
void job_submit(struct job *job);
void job_release(struct job *job); /* its connection ended */
void job_answer_held(struct upstream *upstream);

/* control.c */
bool control_is_command(const struct job *job);
enum MHD_Result control_answer(struct job *job);

/* What an upstream with an instance tells of itself with each answer. */
void control_add_load_headers(const struct upstream *upstream,
			      struct MHD_Response *response);
void control_start_reports(struct upstream *upstream);

/* reports.c: heartbeats, a good-bye, and the last heartbeat once more, as one
 * that was held up on its way. */
void heartbeat_start(struct upstream *upstream);
void heartbeat_deregister(struct upstream *upstream);
void heartbeat_resend_last(struct upstream *upstream);

/* announce.c: tells the daemon beside it, again until that accepts. */
void announce_start(struct upstream *upstream);

#endif
