#include "comfreydockd/config/spread_internal.h"

#include <string.h>

#include "comfreydockd/config/body_codec.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/slice.h"

/* A received body that waits for its job, and the fetch that brought it. */
struct body_job {
	struct config_spread *spread;
	struct received_body body;
	char from_host[MEMBER_HOST_MAX];
	int64_t took_us;
};

static void body_job_free(void *data)
{
	struct body_job *job = data;
	struct received_body *body = &job->body;

	g_free(body->name);
	g_clear_pointer(&body->bytes, g_byte_array_unref);
	g_clear_pointer(&body->frames, g_ptr_array_unref);
	g_clear_pointer(&body->base, config_namespace_unref);
	g_free(job);
}

/* RETURN VALUE: the body to which the differences lead from base, or NULL. */
static GByteArray *apply_frames(const struct config_namespace *base,
				const GPtrArray *frames)
{
	const char *prefix = base ? base->body : NULL;
	size_t prefix_size = base ? strlen(base->body) : 0;
	GByteArray *body = NULL;

	for (guint i = 0; i < frames->len; i++) {
		size_t size;
		const void *frame = g_bytes_get_data(frames->pdata[i], &size);
		GByteArray *next = body_decode(frame, size, prefix, prefix_size,
					       CONFIG_SPREAD_BODY_MAX_BYTES);

		g_clear_pointer(&body, g_byte_array_unref);
		if (!next)
			return NULL;
		body = next;
		prefix = (const char *)body->data;
		prefix_size = body->len;
		slice_yield();
	}
	return body;
}

/* RETURN VALUE: false if the body can't be decoded. */
static bool body_job_decode(struct body_job *job)
{
	struct received_body *body = &job->body;

	if (!body->frames)
		return true;
	body->bytes = apply_frames(body->base, body->frames);
	if (body->bytes)
		return true;
	counters.config_bodies_undecodable++;
	log_event(EV_CONFIG_BODY_UNDECODABLE, LOG_INT("version", body->version),
		  LOG_STR("from", job->from_host),
		  LOG_INT("frames", body->frames->len));
	return false;
}

static void log_received(const struct body_job *job)
{
	const struct received_body *body = &job->body;

	log_event(EV_CONFIG_BODY_RECEIVED, LOG_INT("version", body->version),
		  LOG_STR("from", job->from_host),
		  LOG_STR("form", body->base   ? "difference" :
				  body->frames ? "compressed" :
						 "plain"),
		  LOG_INT("bytes", body->wire_bytes),
		  LOG_INT("size", body->bytes->len),
		  LOG_INT("pieces", body->pieces),
		  LOG_INT("took_us", job->took_us));
}

/* RETURN VALUE: whether the version is in force now, or a newer one. */
static bool body_job_offer(struct body_job *job)
{
	const struct received_body *body = &job->body;
	enum config_offer result;

	if (!body_job_decode(job))
		return false;
	log_received(job);
	result = config_store_offer(
		job->spread->store, body->name, body->version, body->sha256,
		(const char *)body->bytes->data, body->bytes->len);
	return result == CONFIG_OFFER_ADOPTED || result == CONFIG_OFFER_NOT_NEWER;
}

static void run_body_job(void *data)
{
	struct body_job *job = data;
	struct config_spread *spread = job->spread;
	bool is_held = body_job_offer(job);

	config_store_end_adoption(spread->store);
	/* Whatever made an encoded body wrong may do so again. */
	spread->wants_plain = !is_held && job->body.frames;
	if (is_held)
		config_fetch_note_success(spread);
	else
		config_fetch_note_failure(spread, "the body was rejected");
	config_spread_publish_head(spread);
}

void received_body_adopt(struct config_spread *spread,
			 const struct received_body *body)
{
	struct body_job *job = g_new0(struct body_job, 1);

	job->spread = spread;
	job->body = *body;
	job->body.name = g_strdup(body->name);
	job->took_us = spread->began_us ? spread->now_us - spread->began_us : 0;
	g_strlcpy(job->from_host, spread->asked_host, sizeof(job->from_host));
	config_store_begin_adoption(spread->store);
	slice_queue_add(spread->slice_queue, run_body_job, body_job_free, job);
}

static GPtrArray *frames_create(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

void received_body_adopt_pieces(struct config_spread *spread)
{
	struct config_pieces *pieces = &spread->pieces;
	struct received_body body = {
		.name = pieces->name,
		.version = pieces->version,
		.wire_bytes = pieces->bytes->len,
		.pieces = pieces->count,
	};

	g_strlcpy(body.sha256, pieces->sha256, sizeof(body.sha256));
	if (pieces->encoded_hash) {
		body.frames = frames_create();
		g_ptr_array_add(body.frames, g_bytes_new(pieces->bytes->data,
							 pieces->bytes->len));
	} else {
		body.bytes = g_byte_array_ref(pieces->bytes);
	}
	received_body_adopt(spread, &body);
	config_pieces_clear(pieces);
}

/* RETURN VALUE: the namespace held here if it has the base of the differences. */
static struct config_namespace *find_base(const struct config_spread *spread,
					  const Cfd__ConfigLine *line)
{
	struct config_namespace *ns = config_snapshot_find(
		config_store_current(spread->store), line->namespace_);

	if (!ns || strcmp(ns->sha256, line->base_sha256) != 0)
		return NULL;
	return config_namespace_ref(ns);
}

bool received_body_adopt_line(struct config_spread *spread,
			      const Cfd__ConfigLine *line)
{
	struct received_body body = {
		.name = line->namespace_,
		.version = line->version,
		.wire_bytes = line->body.len,
		.pieces = 1,
	};

	g_strlcpy(body.sha256, line->sha256, sizeof(body.sha256));
	if (line->n_deltas) {
		body.base = find_base(spread, line);
		if (!body.base)
			return false;
		body.frames = frames_create();
	} else {
		body.bytes = g_byte_array_new();
		g_byte_array_append(body.bytes, line->body.data,
				    (guint)line->body.len);
	}
	for (size_t i = 0; i < line->n_deltas; i++) {
		const ProtobufCBinaryData *delta = &line->deltas[i];

		body.wire_bytes += delta->len;
		g_ptr_array_add(body.frames,
				g_bytes_new(delta->data, delta->len));
	}
	received_body_adopt(spread, &body);
	return true;
}
