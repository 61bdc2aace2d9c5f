#include "comfreydockctl/ctl.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "common/address.h"
#include "common/http_client.h"
#include "common/jsonc.h"

#define CONCURRENT_CALLS_MAX 64
#define ANSWER_MAX_BYTES ((size_t)256 * 1024 * 1024)

void ctl_print_error(const char *format, ...)
{
	va_list args;

	fputs("comfreydockctl: ", stderr);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
}

void ctl_print_json(json_object *root)
{
	puts(json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
	json_object_put(root);
}

int ctl_print(const struct ctl *ctl, json_object *root,
	      void (*print)(json_object *root))
{
	if (!root)
		return CTL_FAILED;
	if (ctl->json) {
		ctl_print_json(root);
		return CTL_OK;
	}
	print(root);
	json_object_put(root);
	return CTL_OK;
}

void ctl_print_findings(json_object *findings)
{
	size_t count = findings ? json_object_array_length(findings) : 0;

	for (size_t i = 0; i < count; i++) {
		json_object *item = json_object_array_get_idx(findings, i);
		const char *path = jsonc_get_text(item, "path");
		uint64_t line = jsonc_get_uint(item, "line");

		fputs(jsonc_get_text(item, "file"), stderr);
		if (line)
			fprintf(stderr, ":%" G_GUINT64_FORMAT, line);
		fprintf(stderr, ": %s: %s%s%s\n",
			jsonc_get_text(item, "severity"), path,
			*path ? ": " : "", jsonc_get_text(item, "text"));
	}
}

char *ctl_read_file(const char *file)
{
	GError *error = NULL;
	char *text = NULL;

	if (g_file_get_contents(file, &text, NULL, &error))
		return text;
	ctl_print_error("%s", error->message);
	g_error_free(error);
	return NULL;
}

void ctl_call_init(struct ctl_call *call, const char *method, const char *base,
		   const char *path)
{
	memset(call, 0, sizeof(*call));
	call->method = method;
	call->url = g_strconcat(base, path, NULL);
	call->text = g_string_new(NULL);
}

void ctl_call_finish(struct ctl_call *call)
{
	g_free(call->url);
	g_string_free(call->text, TRUE);
}

/* The calls of one ctl_run_calls(). When a call ends, the next one starts. */
struct run {
	struct ctl *ctl;
	struct ctl_call *calls;
	size_t count;
	size_t started;
	size_t ended;
};

static void start_next(struct run *run);

struct running {
	struct run *run;
	struct ctl_call *call;
};

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct running *running = data;
	struct ctl_call *call = running->call;
	struct run *run = running->run;

	call->answered = answer->result == CURLE_OK;
	call->never_sent = answer->never_sent;
	call->timed_out = answer->result == CURLE_OPERATION_TIMEDOUT;
	call->status = answer->status;
	g_string_append_len(call->text, answer->body, (gssize)answer->size);
	g_free(running);
	run->ended++;
	if (run->started < run->count)
		start_next(run);
	else if (run->ended == run->count)
		ev_break(run->ctl->loop, EVBREAK_ALL);
}

static void start_next(struct run *run)
{
	struct running *running = g_new0(struct running, 1);
	struct ctl_call *call = &run->calls[run->started++];
	char *bearer = g_strconcat("Bearer ", run->ctl->token, NULL);
	const char *headers[] = {"Authorization", bearer, NULL};
	struct http_call http = {
		.method = call->method,
		.url = call->url,
		.headers = run->ctl->token ? headers : NULL,
		.body = call->body,
		.size = call->body ? strlen(call->body) : 0,
		.timeout_ms = call->timeout_ms,
		.answer_max_bytes = ANSWER_MAX_BYTES,
	};

	running->run = run;
	running->call = call;
	http_client_call(run->ctl->client, &http, handle_answer, running);
	g_free(bearer);
}

void ctl_run_calls(struct ctl *ctl, struct ctl_call *calls, size_t count)
{
	struct run run = {.ctl = ctl, .calls = calls, .count = count};

	while (run.started < count && run.started < CONCURRENT_CALLS_MAX)
		start_next(&run);
	if (count)
		ev_run(ctl->loop, 0);
}

static void print_answer_error(const struct ctl_call *call, json_object *root)
{
	const char *error = jsonc_get_text(root, "error");

	if (!call->answered)
		ctl_print_error("no answer from %s", call->url);
	else
		ctl_print_error("%s answered %ld %s", call->url, call->status,
				error);
	ctl_print_findings(jsonc_get_array(root, "findings"));
}

json_object *ctl_request(struct ctl *ctl, const char *method, const char *path)
{
	struct ctl_call call;
	json_object *root;

	ctl_call_init(&call, method, ctl->admin, path);
	if (strcmp(method, "POST") == 0)
		call.body = "";
	ctl_run_calls(ctl, &call, 1);
	root = json_tokener_parse(call.text->str);
	if (!call.answered || call.status != 200 || !root) {
		print_answer_error(&call, root);
		json_object_put(root);
		root = NULL;
	}
	ctl_call_finish(&call);
	return root;
}

static void take_page(json_object *all, json_object *page)
{
	json_object *hosts = jsonc_get_array(page, "hosts");

	for (size_t i = 0; hosts && i < json_object_array_length(hosts); i++)
		json_object_array_add(
			all,
			json_object_get(json_object_array_get_idx(hosts, i)));
}

json_object *ctl_fetch_hosts(struct ctl *ctl)
{
	json_object *root = json_object_new_object();
	json_object *all = json_object_new_array();
	char *path = g_strdup("/v1/hosts");

	json_object_object_add(root, "hosts", all);
	while (path) {
		json_object *page = ctl_request(ctl, "GET", path);
		const char *next = page ? jsonc_get_text(page, "next") : "";

		g_free(path);
		path = NULL;
		if (!page) {
			json_object_put(root);
			return NULL;
		}
		take_page(all, page);
		if (*next) {
			char *after = g_uri_escape_string(next, NULL, FALSE);

			path = g_strconcat("/v1/hosts?after=", after, NULL);
			g_free(after);
		}
		json_object_put(page);
	}
	return root;
}

static char *admin_url_of(json_object *host)
{
	return address_to_url(jsonc_get_text(host, "address"),
			      (uint16_t)jsonc_get_uint(host, "admin_port"), "");
}

static bool is_reachable(json_object *host)
{
	const char *state = jsonc_get_text(host, "state");

	return strcmp(state, "alive") == 0 || strcmp(state, "suspect") == 0;
}

GPtrArray *ctl_list_daemon_urls(struct ctl *ctl)
{
	json_object *status = ctl_request(ctl, "GET", "/v1/status");
	json_object *hosts = status ? ctl_fetch_hosts(ctl) : NULL;
	json_object *array = jsonc_get_array(hosts, "hosts");
	const char *own = jsonc_get_text(status, "host");
	GPtrArray *urls = NULL;

	if (array) {
		urls = g_ptr_array_new_with_free_func(g_free);
		g_ptr_array_add(urls, g_strdup(ctl->admin));
	}
	for (size_t i = 0; array && i < json_object_array_length(array); i++) {
		json_object *host = json_object_array_get_idx(array, i);

		if (strcmp(jsonc_get_text(host, "host"), own) != 0 &&
		    is_reachable(host))
			g_ptr_array_add(urls, admin_url_of(host));
	}
	json_object_put(hosts);
	json_object_put(status);
	return urls;
}
