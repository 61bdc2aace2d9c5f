#include "comfreydockd/upstream/run.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "comfreydockd/upstream/answer_head.h"
#include "comfreydockd/upstream/recent_ids.h"
#include "common/address.h"
#include "common/clock.h"
#include "common/counters.h"

#define POOL_MAX_IDLE 64
#define CONNECT_TIMEOUT_MS 1000L
/* Idle connections are reused for a shorter time than common servers keep them
 * open. If an upstream sends a Keep-Alive timeout, that value is used instead,
 * less a second for the time that a request is on its way. */
#define MAX_IDLE_CONNECTION_S 4L
#define IDLE_MARGIN_S 1L
#define IDLE_MIN_S 1L

struct run_pool {
	struct http_client *client;
	const struct headers *headers;
	long idle_s; /* how long an idle connection may be reused */
	char *url;
	GPtrArray *idle; /* of CURL */
	struct recent_ids *answered; /* NULL: none are kept */
};

struct run {
	struct run_pool *pool;
	struct http_transfer transfer;
	struct curl_slist *request_fields;
	struct run_callbacks callbacks;
	void *data;
	GByteArray *body; /* not yet written */
	bool body_ends;
	bool body_paused;
	struct answer_head head;
	int64_t credit;
	bool answer_paused;
	char *id; /* NULL: it is not to be kept */
	bool is_repeat;
	bool running;
};

struct run_pool *run_pool_create(struct http_client *client,
				 const struct headers *headers,
				 struct recent_ids *answered,
				 const char *address, uint16_t port)
{
	struct run_pool *pool = g_new0(struct run_pool, 1);

	pool->client = client;
	pool->headers = headers;
	pool->idle_s = MAX_IDLE_CONNECTION_S;
	pool->url = address_to_url(address, port, "/");
	pool->idle = g_ptr_array_new();
	/* Without signatures the id is that of a whole tree of calls. */
	pool->answered = headers->signature ? answered : NULL;
	return pool;
}

void run_pool_destroy(struct run_pool *pool)
{
	if (!pool)
		return;
	for (guint i = 0; i < pool->idle->len; i++)
		curl_easy_cleanup(g_ptr_array_index(pool->idle, i));
	g_ptr_array_unref(pool->idle);
	g_free(pool->url);
	g_free(pool);
}

static CURL *pool_acquire(struct run_pool *pool)
{
	if (pool->idle->len > 0)
		return g_ptr_array_steal_index_fast(pool->idle,
						    pool->idle->len - 1);
	return curl_easy_init();
}

static void pool_release(struct run_pool *pool, CURL *easy)
{
	if (pool->idle->len >= POOL_MAX_IDLE) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	g_ptr_array_add(pool->idle, easy);
}

static size_t handle_read(char *out, size_t size, size_t count, void *data)
{
	struct run *run = data;
	size_t taken = MIN(size * count, run->body->len);

	if (taken == 0 && !run->body_ends) {
		run->body_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	if (taken == 0)
		return 0;
	memcpy(out, run->body->data, taken);
	g_byte_array_remove_range(run->body, 0, (guint)taken);
	run->callbacks.handle_request_body_consumed(run->data, taken);
	return taken;
}

static void pool_note_idle_timeout(struct run_pool *pool, long timeout_s)
{
	if (timeout_s > 0)
		pool->idle_s = MAX(timeout_s - IDLE_MARGIN_S, IDLE_MIN_S);
}

static size_t handle_header(char *bytes, size_t size, size_t count, void *data)
{
	struct run *run = data;
	const struct answer_head *head = &run->head;
	size_t total = size * count;
	bool is_trailer = head->message.is_complete;

	if (!answer_head_add_line(&run->head, bytes, total))
		return 0;
	if (is_trailer || !head->message.is_complete)
		return total;
	pool_note_idle_timeout(run->pool, head->idle_timeout_s);
	return run->callbacks.handle_head(run->data, head->message.status,
					  &head->fields, head->message.length) ?
		       total :
		       0;
}

static size_t handle_write(char *bytes, size_t size, size_t count, void *data)
{
	struct run *run = data;
	size_t total = size * count;

	if (run->credit <= 0) {
		run->answer_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	run->credit -= (int64_t)total;
	run->callbacks.handle_answer_body(run->data, bytes, total);
	return total;
}

static enum run_result run_classify(const struct run *run, CURLcode result)
{
	if (!run_has_begun(run))
		return RUN_NOT_BEGUN;
	if (result == CURLE_OK && run->head.message.is_complete)
		return RUN_COMPLETE;
	return run->head.message.is_complete ? RUN_TRUNCATED : RUN_BROKEN;
}

static void handle_done(struct http_transfer *transfer, CURLcode result)
{
	struct run *run = transfer->data;
	enum run_result outcome = run_classify(run, result);

	run->running = false;
	/* Any other outcome closes the connection. */
	if (outcome == RUN_COMPLETE && run->id)
		recent_ids_add(run->pool->answered, run->id, clock_mono_us());
	run->callbacks.handle_done(run->data, outcome);
}

static void append_field(struct run *run, const char *name, const char *value)
{
	/* libcurl sends a field without a value only if the line ends in a
	 * semicolon. */
	char *line = *value ? g_strconcat(name, ": ", value, NULL) :
			      g_strconcat(name, ";", NULL);

	run->request_fields = curl_slist_append(run->request_fields, line);
	g_free(line);
}

static void run_set_fields(struct run *run, const struct fields *fields)
{
	for (size_t i = 0; i < fields->count; i++)
		append_field(run, fields->items[i]->name,
			     fields->items[i]->value);
	/* An empty value suppresses a field that libcurl would add itself. */
	run->request_fields = curl_slist_append(run->request_fields, "Expect:");
	if (!fields_find(fields, "Accept"))
		run->request_fields =
			curl_slist_append(run->request_fields, "Accept:");
	if (!fields_find(fields, "Content-Type"))
		run->request_fields =
			curl_slist_append(run->request_fields, "Content-Type:");
	curl_easy_setopt(run->transfer.easy, CURLOPT_HTTPHEADER,
			 run->request_fields);
}

static bool method_has_body(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	       strcmp(method, "PATCH") == 0;
}

static void run_set_body(struct run *run, const struct run_request *request)
{
	CURL *easy = run->transfer.easy;

	g_byte_array_append(run->body, request->body, (guint)request->body_size);
	run->body_ends = request->body_ends;
	if (request->body_ends && request->body_size == 0) {
		if (method_has_body(request->method)) {
			curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
			curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
		}
	} else {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, handle_read);
		curl_easy_setopt(easy, CURLOPT_READDATA, run);
		if (request->body_ends)
			curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
					 (curl_off_t)request->body_size);
	}
	if (strcmp(request->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static void run_set_transport(struct run *run, const char *target)
{
	CURL *easy = run->transfer.easy;

	curl_easy_setopt(easy, CURLOPT_URL, run->pool->url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, target);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	/* libcurl counts whole seconds, and reuses a connection of that age. */
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, run->pool->idle_s - 1);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, run);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_write);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, run);
}

/* A late second answer to the first time can't arrive on a new connection. */
static void run_separate_repeat(struct run *run, const struct fields *fields)
{
	struct recent_ids *answered = run->pool->answered;
	const char *id = fields_find(fields, run->pool->headers->trace);

	if (!answered || !id)
		return;
	run->id = g_strdup(id);
	run->is_repeat = recent_ids_has(answered, id);
	if (!run->is_repeat)
		return;
	counters.owner_repeated++;
	curl_easy_setopt(run->transfer.easy, CURLOPT_FRESH_CONNECT, 1L);
}

struct run *run_create(struct run_pool *pool, const struct run_request *request,
		       int64_t credit, const struct run_callbacks *callbacks,
		       void *data)
{
	struct run *run = g_new0(struct run, 1);

	run->pool = pool;
	run->callbacks = *callbacks;
	run->data = data;
	run->credit = credit;
	run->body = g_byte_array_new();
	answer_head_init(&run->head, pool->headers);
	run->transfer.easy = pool_acquire(pool);
	run->transfer.handle_done = handle_done;
	run->transfer.data = run;
	run->transfer.send_once = true;
	run_set_transport(run, request->target);
	run_set_fields(run, request->fields);
	run_set_body(run, request);
	run_separate_repeat(run, request->fields);
	run->running = true;
	http_client_add_transfer(pool->client, &run->transfer);
	return run;
}

void run_destroy(struct run *run)
{
	if (!run)
		return;
	if (run->running)
		http_client_remove_transfer(run->pool->client, &run->transfer);
	pool_release(run->pool, run->transfer.easy);
	curl_slist_free_all(run->request_fields);
	answer_head_finish(&run->head);
	g_free(run->id);
	g_byte_array_unref(run->body);
	g_free(run);
}

static void run_unpause(struct run *run)
{
	run->body_paused = false;
	run->answer_paused = false;
	curl_easy_pause(run->transfer.easy, CURLPAUSE_CONT);
}

void run_add_body(struct run *run, const void *bytes, size_t size, bool ends)
{
	g_byte_array_append(run->body, bytes, (guint)size);
	run->body_ends |= ends;
	if (run->running && run->body_paused)
		run_unpause(run);
}

void run_add_credit(struct run *run, uint32_t bytes)
{
	run->credit += bytes;
	if (run->running && run->answer_paused && run->credit > 0)
		run_unpause(run);
}

const struct run_pool *run_pool_of(const struct run *run)
{
	return run->pool;
}

bool run_has_begun(const struct run *run)
{
	return run->transfer.sent;
}

bool run_is_repeat(const struct run *run)
{
	return run->is_repeat;
}

const char *run_fault(const struct run *run)
{
	return run->head.message.fault;
}
