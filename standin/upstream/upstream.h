/*
 * NAME
 *	upstream - a backend server for tests
 *
 * DESCRIPTION
 *	Runs each request for a random service time in one of its slots, in
 *	order of arrival. It counts the runs of each request id; tests use
 *	this count to verify that a request ran at most once.
 *
 *	A run is counted when its service starts. A waiting request is removed
 *	before it runs if its connection closes or its X-Deadline-Ms passes.
 *
 *	/echo returns the request body. /bytes/N streams N bytes with a
 *	Content-Length, /chunks/N streams them without one. Any other path
 *	returns a line with the request id. Each response carries X-Request-Id,
 *	X-Body-Size, X-Body-Sha256 and X-Upstream-Port. A request that is shed
 *	gets a 503 with X-Shed.
 *
 *	A response repeats the request's X-Comfreydock-Tenant and Authorization
 *	in X-Seen-Tenant and X-Seen-Authorization. The file of runs has the
 *	tenant behind the request's id, and the start of the run: "ID TENANT
 *	MONOTONIC_US".
 *
 *	/crash/... ends the process at the end of its service time.
 *
 *	With an instance id, it uses the protocol of upstreams on the users'
 *	platform: their headers, a load header with the host's pace, status 421
 *	for requests to another instance, and heartbeats to the daemon on the
 *	same host.
 *
 *	A test controls it by these requests:
 *
 *	POST /standin/set	sets members of struct upstream_faults; "cold"
 *				restarts the cold start, "leave" deregisters,
 *				"old_report" repeats the last heartbeat
 *	GET /standin/runs	shows struct upstream_counts and the runs of all
 *				request ids, or of one with ?id=ID
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

/* Time that callers of the upstream have to follow a limit. */
#define LIMIT_GRACE_MS 500
#define LIMIT_WINDOW_MS 4000
/* For requests that were on their way as the answer was sent. */
#define LEAVING_GRACE_MS 500

struct http_client;
struct http_server;

enum distribution {
	DISTRIBUTION_FIXED,
	DISTRIBUTION_EXPONENTIAL,
	DISTRIBUTION_BIMODAL,
};

struct upstream_options {
	int port;
	int told_port; /* sent in heartbeats; 0: the listening port */
	int slots;
	int backlog; /* requests that may wait for a slot */
	int64_t service_time_us; /* mean; bimodal: of the short requests */
	int64_t long_time_us;
	double long_share;
	enum distribution distribution;
	int64_t seed;
	int64_t warm_ms;
	/* Factor on the service time at the start of a cold start; it falls
	 * linearly to 1 within warm_ms. */
	double cold_factor;
	int64_t report_lag_ms;
	char *announce; /* URL of the daemon's admin API, or NULL */
	char **groups;
	char *runs_path; /* gets one line per run, which survives a SIGKILL */
	/* Protocol of the users' platform: its headers, and heartbeats. */
	char *instance; /* NULL: the protocol is off */
	char *service;
	char *report_to; /* "IP:PORT" */
	int64_t heartbeat_ms;
};

/* Faults that a test injects through POST /standin/set. */
struct upstream_faults {
	double factor; /* multiplies the service time */
	gboolean fail_fast; /* reply 500 at once, without running */
	gboolean freeze; /* responses are held back */
	int64_t drop_next; /* the next connections closed without a response */
	gboolean drop_runs; /* requests run before their connection is closed */
	gboolean sick; /* /health reports unhealthy */
	gboolean draining; /* heartbeats and /health report draining */
	gboolean deregistered; /* heartbeats have stopped */
	int64_t pace_percent; /* reported pace; also scales the service time */
	int64_t strange_next; /* the next responses with another request's id */
	gboolean mended; /* /crash/ no longer ends the process */
	/* The next responses that are 503 after a run, without a header that
	 * says whether the request ran. */
	int64_t promise_next;
	/* Requests a second that responses name as the limit; 0: none is
	 * named. */
	double limit_per_s;
	/* Responses say that it leaves, which heartbeats and /health don't. */
	gboolean leaving;
};

struct upstream_report {
	int running;
	int queued;
	bool healthy;
};

struct upstream_counts {
	uint64_t started;
	uint64_t finished;
	uint64_t doubles; /* runs of an id that had run before */
	uint64_t shed; /* 503 since the backlog was full */
	uint64_t failed_fast;
	uint64_t dropped;
	uint64_t cancelled_waiting; /* caller closed the connection */
	uint64_t cancelled_running; /* the same, during the run */
	uint64_t late; /* deadline passed while waiting */
	uint64_t probes; /* GET /health and GET /load */
	uint64_t misdirected; /* requests to another instance */
	uint64_t most_cold_per_s; /* most arrivals in a second while cold */
	/* Most arrivals in the window of the limit, from LIMIT_GRACE_MS after a
	 * response first named the limit. */
	uint64_t most_limited;
	/* Arrivals from LEAVING_GRACE_MS after a response first said that it
	 * leaves. */
	uint64_t after_leaving;
	uint64_t authorized; /* requests with an Authorization field */
	uint64_t acknowledged; /* heartbeats and deregistrations */
};

enum job_state {
	JOB_READING,
	JOB_WAITING,
	JOB_RUNNING,
	JOB_HELD, /* finished; the freeze fault holds the response back */
	JOB_ANSWERING,
};

struct job {
	TAILQ_ENTRY(job) link; /* in upstream->waiting or upstream->busy */
	struct upstream *upstream;
	struct MHD_Connection *connection;
	enum job_state state;
	char *method;
	char *path;
	char *id;
	char *caller_service; /* from the daemon's header, or NULL */
	char *tenant; /* the same */
	char *authorization; /* NULL: none arrived */
	GChecksum *digest;
	GString *body; /* only for /echo and control requests */
	uint64_t body_size;
	unsigned int status;
	bool drop; /* close the connection without a response */
	bool has_run;
	bool suspended; /* libmicrohttpd doesn't poll the connection */
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
	struct upstream_report report; /* updated every report_lag_ms */
	struct http_server *server;
	struct http_client *client;
	struct job_list waiting;
	struct job_list busy;
	int queued;
	int running;
	int open_jobs;
	int64_t started_us;
	GArray *cold_arrivals_us; /* of int64_t */
	GArray *limited_arrivals_us; /* of int64_t */
	int64_t leaving_named_us; /* when a response first said so; 0: not yet */
	int64_t limit_named_us; /* when a response first named it; 0: not yet */
	int64_t born_ms; /* wall-clock start time, sent in heartbeats */
	bool stopping;
	GRand *random;
	GHashTable *runs; /* id -> count */
	int runs_fd; /* -1: none */
	ev_timer report_timer;
	ev_timer announce_timer;
	ev_timer heartbeat_timer;
	uint64_t sequence; /* of the last heartbeat */
};

/* server.c */
struct http_server *upstream_listen(struct upstream *upstream);

/* job.c: accepts or refuses a request that was read completely. Afterwards
 * either its state is JOB_ANSWERING, or it waits or runs and the caller of this
 * function must suspend its connection. */
void job_submit(struct job *job);

/* Frees a job whose connection ended. */
void job_release(struct job *job);

/* Sends the responses that the freeze fault held back. */
void job_answer_held(struct upstream *upstream);

/* control.c: control requests of tests, and /health and /load */
bool control_is_command(const struct job *job);
enum MHD_Result control_answer(struct job *job);

/* RETURN VALUE: how long the upstream stays cold. */
int64_t control_cold_ms(const struct upstream *upstream);

/* Adds the load and instance headers that an upstream with an instance id sends
 * with each response. */
void control_add_load_headers(const struct upstream *upstream,
			      struct MHD_Response *response);
void control_start_reports(struct upstream *upstream);

/* heartbeat.c */
void heartbeat_start(struct upstream *upstream);
void heartbeat_deregister(struct upstream *upstream);

/* Repeats the last sequence number, like a heartbeat delayed in the network. */
void heartbeat_resend_last(struct upstream *upstream);

/* announce.c: announces the upstream to the daemon on the same host, and
 * retries until the daemon accepts. */
void announce_start(struct upstream *upstream);

#endif
