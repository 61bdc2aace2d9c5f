#include <curl/curl.h>
#include <string.h>

#include "common/clock.h"
#include "common/http_client.h"
#include "load.h"

#define BYTES_PREFIX "/bytes/"
#define OUTCOME_HEADER "Comfreydock-Outcome"

struct call {
	struct load *load;
	struct http_transfer transfer;
	struct curl_slist *headers;
	char *id;
	const char *path;
	const char *key; /* "ORGANISATION=KEY", or NULL */
	char *body; /* NULL: an idempotent call */
	bool is_stream; /* the response body must repeat the id */
	bool has_foreign_bytes; /* a byte of the response differs from the id */
	uint64_t size;
	int64_t due_us;
};

const char *outcome_name(enum outcome outcome)
{
	static const char *const names[] = {
		[OUTCOME_RUN] = "run",
		[OUTCOME_NOT_RUN] = "not-run",
		[OUTCOME_UNKNOWN] = "unknown",
		[OUTCOME_UNSAID] = "unsaid",
		[OUTCOME_UNCONNECTED] = "unconnected",
		[OUTCOME_TIMED_OUT] = "timed-out",
		[OUTCOME_BROKEN] = "broken",
	};

	return names[outcome];
}

static size_t handle_body(char *data, size_t size, size_t count, void *user)
{
	struct call *call = user;
	size_t length = size * count;
	size_t id_length = strlen(call->id);
	long status = 0;

	curl_easy_getinfo(call->transfer.easy, CURLINFO_RESPONSE_CODE, &status);
	for (size_t i = 0; call->is_stream && status == 200 && i < length; i++) {
		if (data[i] != call->id[(call->size + i) % id_length])
			call->has_foreign_bytes = true;
	}
	call->size += length;
	return length;
}

static const char *answer_header(const struct call *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->transfer.easy, name, 0, CURLH_HEADER, -1,
			     &header) != CURLHE_OK)
		return NULL;
	return header->value;
}

static bool answer_matches_request(const struct call *call)
{
	const char *id = answer_header(call, "X-Request-Id");
	const char *size = answer_header(call, "X-Body-Size");

	if (call->has_foreign_bytes || !id || strcmp(id, call->id) != 0)
		return false;
	return !call->body ||
	       (size && g_ascii_strtoull(size, NULL, 10) == strlen(call->body));
}

static enum outcome read_outcome(const struct call *call, CURLcode result)
{
	const char *said;

	if (result == CURLE_COULDNT_CONNECT)
		return OUTCOME_UNCONNECTED;
	if (result == CURLE_OPERATION_TIMEDOUT)
		return OUTCOME_TIMED_OUT;
	if (result != CURLE_OK)
		return OUTCOME_BROKEN;
	said = answer_header(call, OUTCOME_HEADER);
	for (int i = OUTCOME_RUN; said && i < OUTCOME_UNSAID; i++) {
		if (strcmp(said, outcome_name((enum outcome)i)) == 0)
			return (enum outcome)i;
	}
	return OUTCOME_UNSAID;
}

static void record_result(struct call *call, CURLcode result, int64_t latency_us)
{
	struct load *load = call->load;
	enum outcome outcome = read_outcome(call, result);
	long status = 0;
	bool wrong = false;

	if (result == CURLE_OK)
		curl_easy_getinfo(call->transfer.easy, CURLINFO_RESPONSE_CODE,
				  &status);
	load->counts.outcomes[outcome]++;
	if (status > 0 && status < (long)G_N_ELEMENTS(load->counts.statuses))
		load->counts.statuses[status]++;
	if (status / 100 == 2) {
		wrong = !answer_matches_request(call);
		load->counts.wrong += wrong;
		load->counts.served += !wrong;
		histogram_record(&load->served, (uint64_t)latency_us);
	}
	if (outcome == OUTCOME_NOT_RUN)
		histogram_record(&load->refused, (uint64_t)latency_us);
	if (load->calls)
		fprintf(load->calls,
			"%s %s %ld %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
			" %s%s%.*s%s\n",
			call->id, call->body ? "POST" : "GET", status,
			outcome_name(outcome), latency_us, call->due_us,
			call->path, call->key ? " org=" : "",
			call->key ? (int)strcspn(call->key, "=") : 0,
			call->key ? call->key : "", wrong ? " wrong" : "");
}

static void handle_done(struct http_transfer *transfer, CURLcode result)
{
	struct call *call = transfer->data;
	struct load *load = call->load;

	record_result(call, result, clock_mono_us() - call->due_us);
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(call->headers);
	g_free(call->id);
	g_free(call->body);
	g_free(call);
	load->open--;
	schedule_handle_call_end(load);
}

static void add_header(struct call *call, const char *name, const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	call->headers = curl_slist_append(call->headers, line);
	g_free(line);
}

static void add_key(struct call *call)
{
	char *value;

	if (!call->key)
		return;
	value = g_strconcat("Bearer ", strchr(call->key, '=') + 1, NULL);
	add_header(call, "Authorization", value);
	g_free(value);
}

static void set_headers(struct call *call)
{
	const struct load_options *options = &call->load->options;

	call->headers = curl_slist_append(NULL, "Expect:");
	add_header(call, options->id_header, call->id);
	if (options->host)
		add_header(call, "Host", options->host);
	add_key(call);
	for (char **line = options->headers; line && *line; line++)
		call->headers = curl_slist_append(call->headers, *line);
	curl_easy_setopt(call->transfer.easy, CURLOPT_HTTPHEADER, call->headers);
}

static const char *choose_random(struct load *load, char **choices)
{
	guint count = g_strv_length(choices);

	return choices[g_rand_int_range(load->random, 0, (gint32)count)];
}

static void set_url(struct call *call)
{
	struct load *load = call->load;
	char **targets = load->options.targets;
	const char *target =
		targets[load->counts.started % g_strv_length(targets)];
	const char *path =
		choose_random(load, call->body ? load->options.post_paths :
						 load->options.paths);
	char *url = g_strconcat(target, path, NULL);

	call->path = path;
	call->is_stream = g_str_has_prefix(path, BYTES_PREFIX);
	curl_easy_setopt(call->transfer.easy, CURLOPT_URL, url);
	g_free(url);
}

static void set_body(struct call *call)
{
	struct load *load = call->load;

	if (g_rand_double(load->random) >= load->options.share_nonidempotent)
		return;
	call->body = g_strnfill((gsize)load->options.body_bytes, 'b');
	curl_easy_setopt(call->transfer.easy, CURLOPT_POSTFIELDSIZE,
			 (long)load->options.body_bytes);
	curl_easy_setopt(call->transfer.easy, CURLOPT_POSTFIELDS, call->body);
}

void call_start(struct load *load, int64_t due_us)
{
	struct call *call;
	CURL *easy;

	load->counts.scheduled++;
	if (load->open >= load->options.max_open) {
		load->counts.unstarted++;
		return;
	}
	call = g_new0(struct call, 1);
	easy = curl_easy_init();
	call->load = load;
	call->due_us = due_us;
	call->id = g_strdup_printf("%s-%" G_GUINT64_FORMAT,
				   load->options.prefix, load->counts.scheduled);
	call->transfer.easy = easy;
	call->transfer.handle_done = handle_done;
	call->transfer.data = call;
	/* Turns off libcurl's own retries: the counts must show only what the
	 * tested system repeats. */
	call->transfer.send_once = true;
	set_body(call);
	set_url(call);
	if (load->options.keys)
		call->key = choose_random(load, load->options.keys);
	set_headers(call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)load->options.deadline_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	load->counts.started++;
	load->open++;
	http_client_add_transfer(load->client, &call->transfer);
}
