#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/http_server.h"
#include "upstream.h"

#define STREAM_BLOCK_BYTES ((size_t)(64 * 1024))
#define BYTES_PREFIX "/bytes/"
#define CHUNKS_PREFIX "/chunks/"

struct stream {
	char *id;
	uint64_t size;
};

static void *handle_target(void *data, const char *target,
			   struct MHD_Connection *connection)
{
	struct upstream *upstream = data;
	struct job *job = g_new0(struct job, 1);

	job->upstream = upstream;
	job->connection = connection;
	job->path = g_strndup(target, strcspn(target, "?"));
	job->status = MHD_HTTP_OK;
	upstream->open_jobs++;
	return job;
}

static void handle_completed(void *data, struct MHD_Connection *connection,
			     void **con_cls, enum MHD_RequestTerminationCode code)
{
	(void)data;
	(void)connection;
	(void)code;
	if (*con_cls)
		job_release(*con_cls);
	*con_cls = NULL;
}

/*
 * A streamed response repeats the request's id throughout, so that the caller
 * can check that each byte belongs to its own request.
 */
static ssize_t read_stream(void *data, uint64_t position, char *buffer, size_t max)
{
	const struct stream *stream = data;
	size_t length = strlen(stream->id);
	size_t size = MIN(max, (size_t)(stream->size - position));

	if (size == 0)
		return MHD_CONTENT_READER_END_OF_STREAM;
	for (size_t i = 0; i < size; i++)
		buffer[i] = stream->id[(position + i) % length];
	return (ssize_t)size;
}

static void stream_free(void *data)
{
	struct stream *stream = data;

	g_free(stream->id);
	g_free(stream);
}

static struct MHD_Response *create_stream(const struct job *job,
					  const char *prefix, bool size_known)
{
	struct stream *stream = g_new0(struct stream, 1);

	stream->id = g_strdup(job->id ? job->id : "-");
	stream->size = strtoull(job->path + strlen(prefix), NULL, 10);
	return MHD_create_response_from_callback(
		size_known ? stream->size : MHD_SIZE_UNKNOWN,
		STREAM_BLOCK_BYTES, read_stream, stream, stream_free);
}

static struct MHD_Response *create_body(const struct job *job)
{
	const char *id = job->id ? job->id : "-";
	struct MHD_Response *response;
	char *text;

	if (job->status == MHD_HTTP_OK &&
	    g_str_has_prefix(job->path, BYTES_PREFIX))
		return create_stream(job, BYTES_PREFIX, true);
	if (job->status == MHD_HTTP_OK &&
	    g_str_has_prefix(job->path, CHUNKS_PREFIX))
		return create_stream(job, CHUNKS_PREFIX, false);
	if (job->status == MHD_HTTP_OK && job->body)
		return MHD_create_response_from_buffer(
			job->body->len, job->body->str, MHD_RESPMEM_MUST_COPY);
	text = g_strdup_printf("{\"id\":\"%s\",\"port\":%u}\n", id,
			       http_server_port(job->upstream->server));
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_COPY);
	g_free(text);
	return response;
}

/* Names the limit, as an upstream does that needs fewer requests. */
static void add_limit_header(struct upstream *upstream,
			     struct MHD_Response *response)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	if (!upstream->limit_named_us)
		upstream->limit_named_us = clock_mono_us();
	MHD_add_response_header(response, "Server-Limit",
				g_ascii_formatd(number, sizeof(number), "%.1f",
						upstream->faults.limit_per_s));
}

static void add_leaving_header(struct upstream *upstream,
			       struct MHD_Response *response)
{
	if (!upstream->leaving_named_us)
		upstream->leaving_named_us = clock_mono_us();
	MHD_add_response_header(response, "Server-Leaving", "1");
}

/* Adds the headers that upstreams on the users' platform send with each
 * response. */
static void add_platform_headers(struct job *job, struct MHD_Response *response,
				 const char *id)
{
	struct upstream *upstream = job->upstream;

	MHD_add_response_header(response, "X-Comfreydock-Request-Id", id);
	if (job->status == MHD_HTTP_OK)
		MHD_add_response_header(response,
					"X-Comfreydock-Response-Signature", id);
	if (job->caller_service)
		MHD_add_response_header(response, "X-Seen-Caller-Service",
					job->caller_service);
	if (job->status == MHD_HTTP_SERVICE_UNAVAILABLE && !job->has_run)
		MHD_add_response_header(response, "X-Comfreydock-Not-Executed",
					"1");
	if (upstream->faults.limit_per_s > 0)
		add_limit_header(upstream, response);
	if (upstream->faults.leaving)
		add_leaving_header(upstream, response);
	control_add_load_headers(upstream, response);
}

/* RETURN VALUE: the request id to put into the response, or NULL for none. The
 * strange_next fault replaces it by another one. */
static const char *response_id(struct job *job)
{
	struct upstream_faults *faults = &job->upstream->faults;

	if (!job->upstream->options.instance || faults->strange_next <= 0)
		return job->id;
	faults->strange_next--;
	return "of-another-request";
}

static enum MHD_Result answer(struct job *job)
{
	struct MHD_Response *response;
	const char *id;
	enum MHD_Result result;
	char number[32];

	if (job->drop)
		return MHD_NO;
	response = create_body(job);
	id = response_id(job);
	if (id)
		MHD_add_response_header(response, "X-Request-Id", id);
	g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, job->body_size);
	MHD_add_response_header(response, "X-Body-Size", number);
	MHD_add_response_header(response, "X-Body-Sha256",
				g_checksum_get_string(job->digest));
	g_snprintf(number, sizeof(number), "%u",
		   http_server_port(job->upstream->server));
	MHD_add_response_header(response, "X-Upstream-Port", number);
	if (job->tenant)
		MHD_add_response_header(response, "X-Seen-Tenant", job->tenant);
	if (job->authorization)
		MHD_add_response_header(response, "X-Seen-Authorization",
					job->authorization);
	if (job->status == MHD_HTTP_SERVICE_UNAVAILABLE)
		MHD_add_response_header(response, "X-Shed", "1");
	if (job->upstream->options.instance)
		add_platform_headers(job, response, id ? id : "");
	result = MHD_queue_response(job->connection, job->status, response);
	MHD_destroy_response(response);
	return result;
}

static char *copy_header(const struct job *job, const char *name)
{
	return g_strdup(MHD_lookup_connection_value(job->connection,
						    MHD_HEADER_KIND, name));
}

static void begin_job(struct job *job, const char *method)
{
	job->method = g_strdup(method);
	job->id = copy_header(job, job->upstream->options.instance ?
					   "X-Comfreydock-Request-Id" :
					   "X-Request-Id");
	job->caller_service = copy_header(job, "X-Comfreydock-Caller-Service");
	job->tenant = copy_header(job, "X-Comfreydock-Tenant");
	job->authorization = copy_header(job, "Authorization");
	job->upstream->counts.authorized += job->authorization != NULL;
	if (job->id && !*job->id)
		g_clear_pointer(&job->id, g_free);
	job->digest = g_checksum_new(G_CHECKSUM_SHA256);
	if (strcmp(job->path, "/echo") == 0 || control_is_command(job))
		job->body = g_string_new(NULL);
}

static enum MHD_Result handle_access(void *data,
				     struct MHD_Connection *connection,
				     const char *url, const char *method,
				     const char *version, const char *upload,
				     size_t *upload_size, void **con_cls)
{
	struct job *job = *con_cls;

	(void)data;
	(void)url;
	(void)version;
	if (!job->method) {
		begin_job(job, method);
		return MHD_YES;
	}
	if (*upload_size) {
		g_checksum_update(job->digest, (const guchar *)upload,
				  (gssize)*upload_size);
		job->body_size += *upload_size;
		if (job->body)
			g_string_append_len(job->body, upload,
					    (gssize)*upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (control_is_command(job))
		return control_answer(job);
	if (job->state == JOB_READING)
		job_submit(job);
	if (job->state == JOB_ANSWERING)
		return answer(job);
	job->suspended = true;
	MHD_suspend_connection(connection);
	return MHD_YES;
}

struct http_server *upstream_listen(struct upstream *upstream)
{
	struct http_server_options options = {
		.address = "127.0.0.1",
		.port = (uint16_t)upstream->options.port,
		.memory_per_connection = 2 * STREAM_BLOCK_BYTES,
	};
	struct http_server_callbacks callbacks = {
		.handle_access = handle_access,
		.handle_completed = handle_completed,
		.handle_target = handle_target,
		.data = upstream,
	};

	return http_server_create_raw(upstream->loop, &options, &callbacks);
}
