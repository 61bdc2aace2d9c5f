/*
 * The platform stand-in: an in-memory implementation of the store whose
 * protocol is named in platform/wire.h, with its table service and objects.
 *
 * A test controls it by these requests:
 *
 *	POST /standin/fault	sets members of struct faults: "down", "silent",
 *				"status", "slow_ms", "lose_answer_share",
 *				"lose_next", "late_ms"; and "seed"
 *	POST /standin/compact	discards the change history
 *	POST /standin/forget	leaves the open watches without a response
 *	POST /standin/restore	undoes the last {"transactions"} transactions
 *	POST /standin/operator	applies a transaction that may write to every
 *				table
 *	GET /standin/history	lists the applied transactions
 *	GET /standin/stats	shows counts of reads, writes and lost answers
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "command.h"
#include "common/http_server.h"
#include "common/log.h"
#include "objects.h"
#include "platform.h"
#include "platform/wire.h"
#include "standin.h"

#define MAX_BODY_BYTES ((size_t)(64 * 1024 * 1024))
#define WAIT_MAX_MS 30000
/* Longer than any client waits for a response. */
#define SILENCE_MS 3600000

/* A request that a fault holds back, or a watch that waits for a change. */
struct delayed {
	LIST_ENTRY(delayed) link;
	struct platform *platform;
	struct http_request *request;
	bool is_watch;
	ev_timer timer;
};

/* A transaction that is applied after its connection was aborted. */
struct late_write {
	LIST_ENTRY(late_write) link;
	struct platform *platform;
	struct json_object *transaction;
	ev_timer timer;
};

void platform_reply_text(const struct platform *platform,
			 struct http_request *request, unsigned int status,
			 const char *text)
{
	char era[16];
	const char *headers[] = {"Content-Type", "application/json", WIRE_ERA,
				 era, NULL};

	g_snprintf(era, sizeof(era), "%u", platform->era);
	http_request_reply(request, status, headers, text, strlen(text));
}

void platform_reply_json(const struct platform *platform,
			 struct http_request *request, unsigned int status,
			 struct json_object *object)
{
	platform_reply_text(platform, request, status,
			    json_object_to_json_string(object));
	json_object_put(object);
}

void platform_reply_status(const struct platform *platform,
			   struct http_request *request, unsigned int status)
{
	platform_reply_text(platform, request, status, "{}");
}

static bool should_lose_answer(struct platform *platform)
{
	struct faults *faults = &platform->faults;
	bool lost = faults->lose_next > 0;

	if (lost)
		faults->lose_next--;
	else if (faults->lose_answer_share > 0)
		lost = g_rand_double(platform->random) <
		       faults->lose_answer_share;
	if (lost)
		platform->lost_answers++;
	return lost;
}

static const char *argument(const struct http_request *request,
			    const char *name, const char *fallback)
{
	const char *value = http_request_argument(request, name);

	return value ? value : fallback;
}

static void get_rows(struct platform *platform, struct http_request *request)
{
	struct table_range range = {
		.table = argument(request, WIRE_TABLE, ""),
		.part = argument(request, WIRE_PART, ""),
		.from = argument(request, WIRE_FROM, ""),
		.to = http_request_argument(request, WIRE_TO),
		.limit = strtoul(argument(request, WIRE_LIMIT, "0"), NULL, 10),
	};

	platform->reads++;
	platform_reply_json(platform, request, 200,
			    table_list(&platform->table, &range));
}

static void delay(struct platform *platform, struct http_request *request,
		  int64_t ms, bool is_watch);

/* RETURN VALUE: false, without a reply, if nothing has changed yet. */
static bool reply_with_changes(struct platform *platform,
			       struct http_request *request)
{
	uint64_t after = strtoull(argument(request, WIRE_AFTER, "0"), NULL, 10);
	struct json_object *changes;

	if (after < platform->table.compacted_version ||
	    after > platform->table.version) {
		platform_reply_status(platform, request, 410);
		return true;
	}
	changes = table_changes(&platform->table,
				argument(request, WIRE_TABLE, ""), after);
	if (!changes)
		return false;
	platform_reply_json(platform, request, 200, changes);
	return true;
}

static void reply_without_changes(struct platform *platform,
				  struct http_request *request)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, WIRE_ROWS, json_object_new_array());
	json_object_object_add(object, WIRE_VER,
			       json_object_new_uint64(platform->table.version));
	platform_reply_json(platform, request, 200, object);
}

static void handle_feed(struct platform *platform, struct http_request *request)
{
	int64_t wait_ms =
		g_ascii_strtoll(argument(request, WIRE_WAIT_MS, "0"), NULL, 10);

	platform->reads++;
	if (!reply_with_changes(platform, request))
		delay(platform, request, MIN(wait_ms, WAIT_MAX_MS), true);
}

static void delayed_free(struct delayed *delayed);

static void notify_watchers(struct platform *platform)
{
	struct delayed *delayed = LIST_FIRST(&platform->delayed);

	while (delayed) {
		struct delayed *next = LIST_NEXT(delayed, link);

		if (delayed->is_watch &&
		    reply_with_changes(platform, delayed->request))
			delayed_free(delayed);
		delayed = next;
	}
}

static void transact_as(struct platform *platform, struct http_request *request,
			bool is_operator)
{
	static const unsigned int statuses[] = {
		[TABLE_APPLIED] = 200,
		[TABLE_CONFLICT] = 412,
		[TABLE_MALFORMED] = 400,
		[TABLE_FORBIDDEN] = 403,
	};
	struct json_object *body = standin_parse_body(http_request_body(request));
	enum table_status status = TABLE_MALFORMED;
	struct json_object *answer = NULL;

	if (body)
		status = table_transact(&platform->table, body, is_operator,
					&answer);
	if (answer)
		platform_reply_json(platform, request, statuses[status], answer);
	else
		platform_reply_status(platform, request, statuses[status]);
	json_object_put(body);
	notify_watchers(platform);
}

static void late_write_free(struct late_write *late)
{
	ev_timer_stop(late->platform->loop, &late->timer);
	LIST_REMOVE(late, link);
	json_object_put(late->transaction);
	g_free(late);
}

static void handle_late_write(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct late_write *late = timer->data;
	struct platform *platform = late->platform;
	struct json_object *answer = NULL;

	(void)loop;
	(void)events;
	table_transact(&platform->table, late->transaction, false, &answer);
	json_object_put(answer);
	late_write_free(late);
	notify_watchers(platform);
}

/* Applies the transaction, now or later, and aborts the request without a
 * response. */
static void transact_unanswered(struct platform *platform,
				struct http_request *request)
{
	struct late_write *late = g_new0(struct late_write, 1);

	late->platform = platform;
	late->transaction = standin_parse_body(http_request_body(request));
	ev_timer_init(&late->timer, handle_late_write,
		      (double)platform->faults.late_ms / 1000.0, 0.0);
	late->timer.data = late;
	LIST_INSERT_HEAD(&platform->late_writes, late, link);
	if (platform->faults.late_ms > 0)
		ev_timer_start(platform->loop, &late->timer);
	else
		handle_late_write(platform->loop, &late->timer, 0);
	http_request_abort(request);
}

static void transact(struct platform *platform, struct http_request *request)
{
	platform->writes++;
	if (should_lose_answer(platform))
		transact_unanswered(platform, request);
	else
		transact_as(platform, request, false);
}

static void transact_as_operator(struct platform *platform,
				 struct http_request *request)
{
	transact_as(platform, request, true);
}

static void put_object(struct platform *platform, struct http_request *request)
{
	bool good = objects_put(platform->objects, request);

	platform->writes++;
	if (!good)
		platform_reply_status(platform, request, 400);
	else if (should_lose_answer(platform))
		http_request_abort(request);
	else
		platform_reply_status(platform, request, 200);
}

static void get_object(struct platform *platform, struct http_request *request)
{
	platform->reads++;
	if (!objects_reply(platform->objects, request))
		platform_reply_status(platform, request, 404);
}

static const struct route {
	const char *method;
	const char *path;
	bool is_prefix;
	bool is_command; /* from the test; faults don't apply */
	void (*handle)(struct platform *platform, struct http_request *request);
} routes[] = {
	{"POST", "/standin/fault", false, true, command_set_faults},
	{"GET", "/standin/history", false, true, command_show_history},
	{"GET", "/standin/stats", false, true, command_show_stats},
	{"POST", "/standin/compact", false, true, command_compact},
	{"POST", "/standin/forget", false, true, command_forget_watches},
	{"POST", "/standin/restore", false, true, command_restore},
	{"POST", "/standin/operator", false, true, transact_as_operator},
	{"POST", WIRE_ROWS_TX, false, false, transact},
	{"GET", WIRE_ROWS_GET, false, false, get_rows},
	{"GET", WIRE_ROWS_FEED, false, false, handle_feed},
	{"GET", WIRE_BLOB_GET, true, false, get_object},
	{"PUT", WIRE_BLOB_PUT, true, false, put_object},
};

static const struct route *find_route(const struct http_request *request)
{
	const char *path = http_request_path(request);

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const struct route *route = &routes[i];

		if (strcmp(route->method, http_request_method(request)) != 0)
			continue;
		if (route->is_prefix ? g_str_has_prefix(path, route->path) :
				       strcmp(path, route->path) == 0)
			return route;
	}
	return NULL;
}

static void delayed_free(struct delayed *delayed)
{
	ev_timer_stop(delayed->platform->loop, &delayed->timer);
	LIST_REMOVE(delayed, link);
	g_free(delayed);
}

/* The HTTP server can't be destroyed while requests are held back. */
void platform_abort_delayed(struct platform *platform)
{
	struct delayed *delayed;

	struct late_write *late;

	while ((delayed = LIST_FIRST(&platform->delayed))) {
		http_request_abort(delayed->request);
		delayed_free(delayed);
	}
	while ((late = LIST_FIRST(&platform->late_writes)))
		late_write_free(late);
}

void platform_forget_watches(struct platform *platform)
{
	struct delayed *delayed;

	LIST_FOREACH (delayed, &platform->delayed, link) {
		if (!delayed->is_watch)
			continue;
		delayed->is_watch = false;
		ev_timer_stop(platform->loop, &delayed->timer);
		ev_timer_set(&delayed->timer, (double)SILENCE_MS / 1000.0, 0.0);
		ev_timer_start(platform->loop, &delayed->timer);
	}
}

static void handle_delay_expired(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct delayed *delayed = timer->data;

	(void)loop;
	(void)events;
	if (delayed->is_watch)
		reply_without_changes(delayed->platform, delayed->request);
	else
		find_route(delayed->request)
			->handle(delayed->platform, delayed->request);
	delayed_free(delayed);
}

static void delay(struct platform *platform, struct http_request *request,
		  int64_t ms, bool is_watch)
{
	struct delayed *delayed = g_new0(struct delayed, 1);

	delayed->platform = platform;
	delayed->request = request;
	delayed->is_watch = is_watch;
	ev_timer_init(&delayed->timer, handle_delay_expired,
		      (double)ms / 1000.0, 0.0);
	delayed->timer.data = delayed;
	LIST_INSERT_HEAD(&platform->delayed, delayed, link);
	ev_timer_start(platform->loop, &delayed->timer);
}

static void handle_request(struct http_request *request, void *data)
{
	struct platform *platform = data;
	const struct route *route = find_route(request);

	if (!route)
		platform_reply_status(platform, request, 404);
	else if (route->is_command)
		route->handle(platform, request);
	else if (platform->faults.down)
		http_request_abort(request);
	else if (platform->faults.silent)
		delay(platform, request, SILENCE_MS, false);
	else if (platform->faults.status)
		platform_reply_status(platform, request,
				      (unsigned int)platform->faults.status);
	else if (platform->faults.slow_ms > 0)
		delay(platform, request, platform->faults.slow_ms, false);
	else
		route->handle(platform, request);
}

static void platform_run(struct platform *platform, int port)
{
	struct http_server_options options = {
		.address = "127.0.0.1",
		.port = (uint16_t)port,
		.max_body_bytes = MAX_BODY_BYTES,
	};

	platform->server = http_server_create(platform->loop, &options,
					      handle_request, platform);
	if (!platform->server) {
		perror("listen");
		exit(1);
	}
	standin_on_stop(platform->loop, NULL, NULL);
	standin_announce_port("standin-platform",
			      http_server_port(platform->server));
	ev_run(platform->loop, 0);
	platform_abort_delayed(platform);
	http_server_destroy(platform->server);
}

int main(int argc, char **argv)
{
	static int port;
	static const GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &port, "port; 0: any", "N"},
		{0},
	};
	struct platform platform = {.loop = ev_default_loop(0), .era = 1};

	standin_parse_options(&argc, &argv, entries,
			      "A table service and object store for tests.");
	log_init(LOG_FORMAT_JSON, "standin-platform");
	LIST_INIT(&platform.delayed);
	LIST_INIT(&platform.late_writes);
	table_init(&platform.table);
	platform.random = g_rand_new_with_seed(1);
	platform.objects = objects_create();
	platform_run(&platform, port);
	g_hash_table_destroy(platform.objects);
	g_rand_free(platform.random);
	table_finish(&platform.table);
	return 0;
}
