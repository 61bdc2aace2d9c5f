#include "comfreydockd/config/encodings.h"

#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

#include "comfreydockd/config/body_codec.h"
#include "comfreydockd/config/spread.h"
#include "common/counters.h"
#include "common/slice.h"

struct delta {
	char from_sha256[65];
	GBytes *frame;
};

/* The deltas lead from one version to the next, the last one to latest. */
struct encoded {
	LIST_ENTRY(encoded) link;
	struct config_namespace *latest; /* in force */
	struct delta deltas[ENCODINGS_DELTAS_MAX];
	unsigned int delta_count;
	GBytes *body; /* of latest; NULL: not encoded yet */
	uint64_t body_hash;
};

struct encodings {
	struct slice_queue *slice_queue;
	LIST_HEAD(, encoded) all;
	unsigned int jobs; /* queued or running */
	void (*handle_done)(void *data);
	void *data;
};

struct encode_job {
	struct encodings *encodings;
	struct config_namespace *from; /* NULL: none was held before */
	struct config_namespace *to;
};

static void drop_deltas(struct encoded *encoded)
{
	while (encoded->delta_count)
		g_bytes_unref(encoded->deltas[--encoded->delta_count].frame);
}

static void drop_oldest_delta(struct encoded *encoded)
{
	g_bytes_unref(encoded->deltas[0].frame);
	encoded->delta_count--;
	memmove(encoded->deltas, encoded->deltas + 1,
		encoded->delta_count * sizeof(encoded->deltas[0]));
}

static void encoded_free(struct encoded *encoded)
{
	LIST_REMOVE(encoded, link);
	drop_deltas(encoded);
	g_clear_pointer(&encoded->body, g_bytes_unref);
	config_namespace_unref(encoded->latest);
	g_free(encoded);
}

struct encodings *encodings_create(struct slice_queue *slice_queue,
				   void (*handle_done)(void *data), void *data)
{
	struct encodings *encodings = g_new0(struct encodings, 1);

	encodings->slice_queue = slice_queue;
	encodings->handle_done = handle_done;
	encodings->data = data;
	LIST_INIT(&encodings->all);
	return encodings;
}

void encodings_destroy(struct encodings *encodings)
{
	while (!LIST_EMPTY(&encodings->all))
		encoded_free(LIST_FIRST(&encodings->all));
	g_free(encodings);
}

static struct encoded *find_name(const struct encodings *encodings,
				 const char *name)
{
	struct encoded *encoded;

	LIST_FOREACH (encoded, &encodings->all, link) {
		if (strcmp(encoded->latest->name, name) == 0)
			return encoded;
	}
	return NULL;
}

static struct encoded *find(const struct encodings *encodings,
			    const struct config_namespace *ns)
{
	struct encoded *encoded = find_name(encodings, ns->name);

	return encoded && encoded->latest == ns ? encoded : NULL;
}

static void add_delta(struct encoded *encoded, const char *from_sha256,
		      GBytes *frame)
{
	struct delta *delta;

	if (encoded->delta_count == ENCODINGS_DELTAS_MAX)
		drop_oldest_delta(encoded);
	delta = &encoded->deltas[encoded->delta_count++];
	g_strlcpy(delta->from_sha256, from_sha256, sizeof(delta->from_sha256));
	delta->frame = frame;
}

/* RETURN VALUE: the difference, or NULL if there is none that may be sent. */
static GBytes *encode_delta(const struct encode_job *job)
{
	GBytes *delta = NULL;

	if (job->from)
		delta = body_encode(job->from->body, job->to->body);
	if (delta && g_bytes_get_size(delta) > ENCODINGS_DELTA_MAX_BYTES)
		g_clear_pointer(&delta, g_bytes_unref);
	return delta;
}

static void run_encode_job(void *data)
{
	const struct encode_job *job = data;
	GBytes *delta = encode_delta(job);
	GBytes *body = body_encode(NULL, job->to->body);
	struct encoded *encoded;

	counters.config_encodings++;
	/* The namespace may have changed again, or shrunk, meanwhile. */
	encoded = find_name(job->encodings, job->to->name);
	if (encoded && delta)
		add_delta(encoded, job->from->sha256, g_bytes_ref(delta));
	else if (encoded)
		drop_deltas(encoded);
	if (encoded && encoded->latest == job->to && body) {
		encoded->body = g_bytes_ref(body);
		encoded->body_hash = XXH64(g_bytes_get_data(body, NULL),
					   g_bytes_get_size(body), 0);
	}
	g_clear_pointer(&delta, g_bytes_unref);
	g_clear_pointer(&body, g_bytes_unref);
	if (--job->encodings->jobs == 0)
		job->encodings->handle_done(job->encodings->data);
}

static void free_encode_job(void *data)
{
	struct encode_job *job = data;

	if (job->from)
		config_namespace_unref(job->from);
	config_namespace_unref(job->to);
	g_free(job);
}

static void queue_job(struct encodings *encodings,
		      struct config_namespace *from, struct config_namespace *to)
{
	struct encode_job *job = g_new0(struct encode_job, 1);

	job->encodings = encodings;
	job->from = from ? config_namespace_ref(from) : NULL;
	job->to = config_namespace_ref(to);
	encodings->jobs++;
	slice_queue_add(encodings->slice_queue, run_encode_job, free_encode_job,
			job);
}

static struct encoded *encoded_create(struct encodings *encodings,
				      struct config_namespace *ns)
{
	struct encoded *encoded = g_new0(struct encoded, 1);

	encoded->latest = config_namespace_ref(ns);
	LIST_INSERT_HEAD(&encodings->all, encoded, link);
	return encoded;
}

static void update_namespace(struct encodings *encodings,
			     struct config_namespace *ns)
{
	struct encoded *encoded = find_name(encodings, ns->name);
	size_t size = strlen(ns->body);
	struct config_namespace *from;

	if (size < ENCODINGS_BODY_MIN_BYTES ||
	    size > CONFIG_SPREAD_BODY_MAX_BYTES) {
		if (encoded)
			encoded_free(encoded);
		return;
	}
	if (!encoded) {
		encoded_create(encodings, ns);
		queue_job(encodings, NULL, ns);
		return;
	}
	if (encoded->latest == ns)
		return;
	from = encoded->latest;
	encoded->latest = config_namespace_ref(ns);
	g_clear_pointer(&encoded->body, g_bytes_unref);
	queue_job(encodings, from, ns);
	config_namespace_unref(from);
}

void encodings_update(struct encodings *encodings,
		      const struct config_snapshot *snapshot)
{
	for (guint i = 0; i < snapshot->namespaces->len; i++)
		update_namespace(encodings, snapshot->namespaces->pdata[i]);
}

bool encodings_are_pending(const struct encodings *encodings)
{
	return encodings->jobs > 0;
}

/* RETURN VALUE: the first delta that leads on from one of the bodies held;
 * delta_count: none does. */
static unsigned int find_first_delta(const struct encoded *encoded,
				     char *const *held, size_t held_count)
{
	unsigned int first = encoded->delta_count;

	while (first > 0) {
		const char *from = encoded->deltas[--first].from_sha256;

		for (size_t i = 0; i < held_count; i++) {
			if (strcmp(held[i], from) == 0)
				return first;
		}
	}
	return encoded->delta_count;
}

size_t encodings_fill_deltas(const struct encodings *encodings,
			     const struct config_namespace *ns,
			     char *const *held, size_t held_count,
			     size_t max_bytes, Cfd__ConfigLine *line)
{
	struct encoded *encoded = find(encodings, ns);
	unsigned int first;
	size_t size = 0;

	/* The last delta may still be missing. */
	if (!encoded || !encoded->body)
		return 0;
	first = find_first_delta(encoded, held, held_count);
	for (unsigned int i = first; i < encoded->delta_count; i++)
		size += g_bytes_get_size(encoded->deltas[i].frame);
	if (size == 0 || size > max_bytes)
		return 0;
	line->base_sha256 = encoded->deltas[first].from_sha256;
	line->deltas = g_new0(ProtobufCBinaryData, encoded->delta_count - first);
	for (unsigned int i = first; i < encoded->delta_count; i++) {
		ProtobufCBinaryData *delta = &line->deltas[line->n_deltas++];

		delta->data = (uint8_t *)g_bytes_get_data(
			encoded->deltas[i].frame, &delta->len);
	}
	return size;
}

GBytes *encodings_find_body(const struct encodings *encodings,
			    const struct config_namespace *ns, uint64_t *hash)
{
	const struct encoded *encoded = find(encodings, ns);

	if (!encoded || !encoded->body)
		return NULL;
	*hash = encoded->body_hash;
	return encoded->body;
}
