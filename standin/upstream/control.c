#include <string.h>

#include "common/clock.h"
#include "standin.h"
#include "upstream.h"

bool control_is_command(const struct job *job)
{
	return g_str_has_prefix(job->path, "/standin/") ||
	       strcmp(job->path, "/health") == 0 ||
	       strcmp(job->path, "/load") == 0;
}

static void add_count(struct json_object *object, const char *name, uint64_t count)
{
	json_object_object_add(object, name, json_object_new_uint64(count));
}

static struct json_object *list_runs(struct job *job)
{
	const struct upstream_counts *counts = &job->upstream->counts;
	const char *id = MHD_lookup_connection_value(
		job->connection, MHD_GET_ARGUMENT_KIND, "id");
	struct json_object *object = json_object_new_object();
	struct json_object *runs = json_object_new_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, job->upstream->runs);
	while (!id && g_hash_table_iter_next(&iter, &key, &value))
		add_count(runs, key, GPOINTER_TO_UINT(value));
	if (id)
		add_count(runs, id,
			  GPOINTER_TO_UINT(
				  g_hash_table_lookup(job->upstream->runs, id)));
	json_object_object_add(object, "runs", runs);
	add_count(object, "started", counts->started);
	add_count(object, "finished", counts->finished);
	add_count(object, "doubles", counts->doubles);
	add_count(object, "shed", counts->shed);
	add_count(object, "failed_fast", counts->failed_fast);
	add_count(object, "dropped", counts->dropped);
	add_count(object, "cancelled_waiting", counts->cancelled_waiting);
	add_count(object, "cancelled_running", counts->cancelled_running);
	add_count(object, "late", counts->late);
	add_count(object, "probes", counts->probes);
	add_count(object, "misdirected", counts->misdirected);
	add_count(object, "authorized", counts->authorized);
	add_count(object, "acknowledged", counts->acknowledged);
	add_count(object, "most_cold_per_s", counts->most_cold_per_s);
	add_count(object, "most_limited", counts->most_limited);
	add_count(object, "after_leaving", counts->after_leaving);
	return object;
}

static struct json_object *apply_faults(struct job *job)
{
	struct upstream *upstream = job->upstream;
	struct upstream_faults *faults = &upstream->faults;
	struct json_object *command = standin_parse_body(job->body);
	gboolean cold = FALSE;
	gboolean leaves = FALSE;
	gboolean old_report = FALSE;

	if (!command)
		return NULL;
	standin_read_double(command, "factor", &faults->factor);
	standin_read_bool(command, "fail_fast", &faults->fail_fast);
	standin_read_bool(command, "freeze", &faults->freeze);
	standin_read_int(command, "drop_next", &faults->drop_next);
	standin_read_bool(command, "drop_runs", &faults->drop_runs);
	standin_read_bool(command, "sick", &faults->sick);
	standin_read_bool(command, "cold", &cold);
	standin_read_bool(command, "draining", &faults->draining);
	standin_read_int(command, "pace_percent", &faults->pace_percent);
	standin_read_int(command, "strange_next", &faults->strange_next);
	standin_read_bool(command, "mended", &faults->mended);
	standin_read_int(command, "promise_next", &faults->promise_next);
	standin_read_double(command, "limit_per_s", &faults->limit_per_s);
	standin_read_bool(command, "leaving", &faults->leaving);
	standin_read_bool(command, "leave", &leaves);
	standin_read_bool(command, "old_report", &old_report);
	json_object_put(command);
	if (leaves)
		heartbeat_deregister(upstream);
	if (old_report)
		heartbeat_resend_last(upstream);
	if (faults->limit_per_s == 0) {
		upstream->limit_named_us = 0;
		g_array_set_size(upstream->limited_arrivals_us, 0);
	}
	if (cold)
		upstream->started_us = clock_mono_us();
	if (!faults->freeze)
		job_answer_held(upstream);
	return json_object_new_object();
}

static struct json_object *show_load(struct upstream *upstream)
{
	struct json_object *object = json_object_new_object();

	upstream->counts.probes++;
	add_count(object, "running", (uint64_t)upstream->report.running);
	add_count(object, "queued", (uint64_t)upstream->report.queued);
	add_count(object, "slots", (uint64_t)upstream->options.slots);
	return object;
}

static struct json_object *show_health(struct upstream *upstream)
{
	struct json_object *object = json_object_new_object();

	upstream->counts.probes++;
	json_object_object_add(object, "healthy",
			       json_object_new_boolean(upstream->report.healthy));
	return object;
}

static bool is_leaving(const struct upstream *upstream)
{
	return upstream->faults.draining || upstream->faults.deregistered;
}

static unsigned int status_of(const struct job *job,
			      const struct json_object *object)
{
	if (!object)
		return MHD_HTTP_BAD_REQUEST;
	if (job->upstream->options.instance && strcmp(job->path, "/health") == 0 &&
	    (job->upstream->faults.sick || is_leaving(job->upstream)))
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	return MHD_HTTP_OK;
}

int64_t control_cold_ms(const struct upstream *upstream)
{
	int64_t age_us = clock_mono_us() - upstream->started_us;

	return MAX(upstream->options.warm_ms - age_us / US_PER_MS, 0);
}

void control_add_load_headers(const struct upstream *upstream,
			      struct MHD_Response *response)
{
	char text[64];

	if (!upstream->options.instance)
		return;
	g_snprintf(text, sizeof(text), "%d,%d,%d,%" G_GINT64_FORMAT,
		   upstream->running, upstream->queued, upstream->options.slots,
		   upstream->faults.pace_percent);
	MHD_add_response_header(response, "X-Comfreydock-Server-Load", text);
	MHD_add_response_header(response, "X-Comfreydock-Instance-Id",
				upstream->options.instance);
	if (control_cold_ms(upstream) == 0)
		return;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		   control_cold_ms(upstream));
	MHD_add_response_header(response, "X-Comfreydock-Cold-Ms", text);
}

enum MHD_Result control_answer(struct job *job)
{
	struct json_object *object = NULL;
	struct MHD_Response *response;
	enum MHD_Result result;
	const char *text;

	if (strcmp(job->path, "/standin/runs") == 0)
		object = list_runs(job);
	else if (strcmp(job->path, "/standin/set") == 0)
		object = apply_faults(job);
	else if (strcmp(job->path, "/load") == 0)
		object = show_load(job->upstream);
	else if (strcmp(job->path, "/health") == 0)
		object = show_health(job->upstream);
	text = object ? json_object_to_json_string(object) : "{}";
	response = MHD_create_response_from_buffer(strlen(text), (void *)text,
						   MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, "Content-Type", "application/json");
	control_add_load_headers(job->upstream, response);
	result = MHD_queue_response(job->connection, status_of(job, object),
				    response);
	MHD_destroy_response(response);
	json_object_put(object);
	return result;
}

static void handle_report(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct upstream *upstream = timer->data;

	(void)loop;
	(void)events;
	upstream->report.running = upstream->running;
	upstream->report.queued = upstream->queued;
	upstream->report.healthy = !upstream->faults.sick;
}

void control_start_reports(struct upstream *upstream)
{
	double lag_s = (double)MAX(upstream->options.report_lag_ms, 1) / 1000.0;

	upstream->report.healthy = true;
	ev_timer_init(&upstream->report_timer, handle_report, lag_s, lag_s);
	upstream->report_timer.data = upstream;
	ev_timer_start(upstream->loop, &upstream->report_timer);
}
