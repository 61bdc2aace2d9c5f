#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/http_server.h"
#include "upstream.h"

#define CRASH_PREFIX "/crash/"

static double draw_service_us(struct upstream *upstream)
{
	const struct upstream_options *options = &upstream->options;
	double mean = (double)options->service_time_us;
	double u = g_rand_double(upstream->random);

	switch (options->distribution) {
	case DISTRIBUTION_EXPONENTIAL:
		return -mean * log(1.0 - u);
	case DISTRIBUTION_BIMODAL:
		return u < options->long_share ? (double)options->long_time_us :
						 mean;
	case DISTRIBUTION_FIXED:
		break;
	}
	return mean;
}

static double cold_factor(const struct upstream *upstream)
{
	int64_t age_us = clock_mono_us() - upstream->started_us;
	int64_t warm_us = upstream->options.warm_ms * US_PER_MS;

	if (age_us >= warm_us)
		return 1.0;
	return 1.0 + (upstream->options.cold_factor - 1.0) *
			     (1.0 - (double)age_us / (double)warm_us);
}

/* Writes without buffering, so that the count survives a SIGKILL. */
static void write_run(const struct job *job)
{
	const struct upstream *upstream = job->upstream;
	char *line;

	if (upstream->runs_fd < 0)
		return;
	if (job->tenant)
		line = g_strdup_printf("%s %s %" G_GINT64_FORMAT "\n", job->id,
				       job->tenant, clock_mono_us());
	else
		line = g_strdup_printf("%s\n", job->id);
	if (write(upstream->runs_fd, line, strlen(line)) < 0)
		perror("runs");
	g_free(line);
}

static void count_run(struct job *job)
{
	struct upstream *upstream = job->upstream;
	guint runs;

	upstream->counts.started++;
	if (!job->id)
		return;
	write_run(job);
	runs = GPOINTER_TO_UINT(g_hash_table_lookup(upstream->runs, job->id));
	if (runs > 0)
		upstream->counts.doubles++;
	g_hash_table_replace(upstream->runs, g_strdup(job->id),
			     GUINT_TO_POINTER(runs + 1));
}

static void job_stop_watchers(struct job *job)
{
	ev_timer_stop(job->upstream->loop, &job->deadline);
	ev_io_stop(job->upstream->loop, &job->closed);
}

/* Removes the job from its list without starting another. */
static void job_remove(struct job *job)
{
	struct upstream *upstream = job->upstream;

	job_stop_watchers(job);
	if (job->state == JOB_WAITING) {
		TAILQ_REMOVE(&upstream->waiting, job, link);
		upstream->queued--;
	} else if (job->state == JOB_RUNNING || job->state == JOB_HELD) {
		precise_timer_finish(&job->service);
		TAILQ_REMOVE(&upstream->busy, job, link);
		upstream->running--;
	}
}

static void start_waiting(struct upstream *upstream);

static void job_answer(struct job *job, unsigned int status)
{
	struct upstream *upstream = job->upstream;

	job_remove(job);
	job->state = JOB_ANSWERING;
	job->status = status;
	if (job->suspended) {
		job->suspended = false;
		MHD_resume_connection(job->connection);
		http_server_wake(upstream->server);
	}
	start_waiting(upstream);
}

static void handle_service_end(void *data)
{
	struct job *job = data;

	if (g_str_has_prefix(job->path, CRASH_PREFIX) &&
	    !job->upstream->faults.mended)
		_exit(EXIT_FAILURE);
	if (job->upstream->faults.freeze) {
		job->state = JOB_HELD;
		return;
	}
	job->upstream->counts.finished++;
	if (job->upstream->faults.promise_next > 0) {
		job->upstream->faults.promise_next--;
		job_answer(job, MHD_HTTP_SERVICE_UNAVAILABLE);
		return;
	}
	job_answer(job, MHD_HTTP_OK);
}

void job_answer_held(struct upstream *upstream)
{
	struct job *job = TAILQ_FIRST(&upstream->busy);

	while (job) {
		struct job *next = TAILQ_NEXT(job, link);

		if (job->state == JOB_HELD) {
			upstream->counts.finished++;
			job_answer(job, MHD_HTTP_OK);
		}
		job = next;
	}
}

static void job_start(struct job *job)
{
	struct upstream *upstream = job->upstream;
	double service_us = draw_service_us(upstream) *
			    upstream->faults.factor * cold_factor(upstream) *
			    (double)upstream->faults.pace_percent / 100.0;

	ev_timer_stop(upstream->loop, &job->deadline);
	TAILQ_INSERT_TAIL(&upstream->busy, job, link);
	upstream->running++;
	job->state = JOB_RUNNING;
	job->has_run = true;
	count_run(job);
	precise_timer_init(&job->service, upstream->loop, handle_service_end,
			   job);
	precise_timer_set(&job->service, clock_mono_us() + (int64_t)service_us);
}

static void start_waiting(struct upstream *upstream)
{
	struct job *job;

	while (upstream->running < upstream->options.slots &&
	       (job = TAILQ_FIRST(&upstream->waiting))) {
		TAILQ_REMOVE(&upstream->waiting, job, link);
		upstream->queued--;
		job_start(job);
	}
}

static void handle_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct job *job = timer->data;

	(void)loop;
	(void)events;
	job->upstream->counts.late++;
	job_answer(job, MHD_HTTP_GATEWAY_TIMEOUT);
}

/*
 * libmicrohttpd doesn't poll a suspended connection. Without this watcher, a
 * closed connection would be noticed only after its request had run.
 */
static void handle_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct job *job = io->data;
	char byte;

	(void)events;
	if (recv(io->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
		ev_io_stop(loop, io); /* a pipelined request */
		return;
	}
	if (job->state == JOB_WAITING)
		job->upstream->counts.cancelled_waiting++;
	else
		job->upstream->counts.cancelled_running++;
	job->drop = true;
	job_answer(job, MHD_HTTP_OK);
}

static void job_watch(struct job *job)
{
	const union MHD_ConnectionInfo *info;
	const char *deadline;
	double remaining_ms;

	info = MHD_get_connection_info(job->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	ev_io_init(&job->closed, handle_readable, info->connect_fd, EV_READ);
	ev_init(&job->deadline, handle_deadline);
	job->closed.data = job;
	job->deadline.data = job;
	ev_io_start(job->upstream->loop, &job->closed);
	deadline = MHD_lookup_connection_value(
		job->connection, MHD_HEADER_KIND,
		job->upstream->options.instance ? "X-Comfreydock-Deadline-Ms" :
						  "X-Deadline-Ms");
	if (!deadline)
		return;
	remaining_ms = MAX(g_ascii_strtod(deadline, NULL), 0.0);
	ev_timer_set(&job->deadline, remaining_ms / 1000.0, 0.0);
	ev_timer_start(job->upstream->loop, &job->deadline);
}

/* RETURN VALUE: true if the request names another instance, which had this
 * address before. */
static bool is_misdirected(const struct job *job)
{
	const char *expected =
		MHD_lookup_connection_value(job->connection, MHD_HEADER_KIND,
					    "X-Comfreydock-Expected-Instance");

	return job->upstream->options.instance && expected &&
	       strcmp(expected, job->upstream->options.instance) != 0;
}

static bool job_refuse(struct job *job)
{
	struct upstream *upstream = job->upstream;

	if (is_misdirected(job)) {
		upstream->counts.misdirected++;
		job->status = MHD_HTTP_MISDIRECTED_REQUEST;
		return true;
	}
	if (upstream->faults.drop_next > 0) {
		upstream->faults.drop_next--;
		upstream->counts.dropped++;
		job->drop = true;
		return !upstream->faults.drop_runs;
	}
	if (upstream->faults.fail_fast) {
		upstream->counts.failed_fast++;
		job->status = MHD_HTTP_INTERNAL_SERVER_ERROR;
		return true;
	}
	if (upstream->running >= upstream->options.slots &&
	    upstream->queued >= upstream->options.backlog) {
		upstream->counts.shed++;
		job->status = MHD_HTTP_SERVICE_UNAVAILABLE;
		return true;
	}
	return false;
}

/* Adds an arrival. RETURN VALUE: the arrivals in the window that ends now. */
static uint64_t count_arrival(GArray *arrivals_us, int64_t window_us)
{
	int64_t now = clock_mono_us();
	uint64_t count = 0;

	g_array_append_val(arrivals_us, now);
	for (guint i = arrivals_us->len; i > 0; i--) {
		if (g_array_index(arrivals_us, int64_t, i - 1) <= now - window_us)
			break;
		count++;
	}
	return count;
}

static void count_cold_arrival(struct upstream *upstream)
{
	uint64_t count;

	if (clock_mono_us() >=
	    upstream->started_us + upstream->options.warm_ms * US_PER_MS)
		return;
	count = count_arrival(upstream->cold_arrivals_us, US_PER_S);
	upstream->counts.most_cold_per_s =
		MAX(upstream->counts.most_cold_per_s, count);
}

static void count_limited_arrival(struct upstream *upstream)
{
	int64_t since_us = upstream->limit_named_us + LIMIT_GRACE_MS * US_PER_MS;
	uint64_t count;

	if (!upstream->limit_named_us || clock_mono_us() < since_us)
		return;
	count = count_arrival(upstream->limited_arrivals_us,
			      LIMIT_WINDOW_MS * US_PER_MS);
	upstream->counts.most_limited = MAX(upstream->counts.most_limited, count);
}

static void count_arrival_after_leaving(struct upstream *upstream)
{
	int64_t since_us =
		upstream->leaving_named_us + LEAVING_GRACE_MS * US_PER_MS;

	if (upstream->leaving_named_us && clock_mono_us() >= since_us)
		upstream->counts.after_leaving++;
}

void job_submit(struct job *job)
{
	struct upstream *upstream = job->upstream;

	if (!is_misdirected(job)) {
		count_cold_arrival(upstream);
		count_limited_arrival(upstream);
		count_arrival_after_leaving(upstream);
	}
	if (job_refuse(job)) {
		job->state = JOB_ANSWERING;
		return;
	}
	job_watch(job);
	job->state = JOB_WAITING;
	TAILQ_INSERT_TAIL(&upstream->waiting, job, link);
	upstream->queued++;
	start_waiting(upstream);
}

void job_release(struct job *job)
{
	struct upstream *upstream = job->upstream;

	if (job->state == JOB_WAITING || job->state == JOB_RUNNING ||
	    job->state == JOB_HELD)
		job_remove(job);
	if (job->digest)
		g_checksum_free(job->digest);
	if (job->body)
		g_string_free(job->body, TRUE);
	g_free(job->method);
	g_free(job->path);
	g_free(job->id);
	g_free(job->caller_service);
	g_free(job->tenant);
	g_free(job->authorization);
	g_free(job);
	upstream->open_jobs--;
	if (upstream->stopping && upstream->open_jobs == 0)
		ev_break(upstream->loop, EVBREAK_ALL);
}
