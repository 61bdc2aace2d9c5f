/*
 * The platform's stand-in: a table with conditional transactions and an object
 * store, in memory.
 *
 *	GET  /table/KEY		{"key", "version", "value"} or 404
 *	GET  /table?prefix=P&after=K&limit=N	{"rows": [...]}
 *	POST /table/transact	{"id", "ops": [{"op": "check"|"put"|"delete",
 *				"key", "if_version", "value"}]}
 *				200 {"ok", "versions"}, 409 {"conflict",
 *				"version"}, 400
 *	GET, PUT /objects/NAME
 *
 * For the test: POST /standin/fault {"down", "slow_ms", "lose_answer_share",
 * "lose_next", "seed"}, GET /standin/history, GET /standin/stats.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "common/http_server.h"
#include "common/log.h"
#include "standin.h"
#include "table.h"

#define DEFAULT_PAGE_ROWS 1000
#define MAX_BODY_BYTES ((size_t)(64 * 1024 * 1024))
#define TABLE_PREFIX "/table/"
#define OBJECTS_PREFIX "/objects/"

struct faults {
	gboolean down; /* every connection is closed without an answer */
	int64_t slow_ms;
	double lose_answer_share; /* of the writes: applied, not answered */
	int64_t lose_next;
};

struct delayed;

struct platform {
	struct ev_loop *loop;
	struct http_server *server;
	struct table table;
	GHashTable *objects; /* name -> GBytes */
	struct faults faults;
	GRand *random;
	uint64_t reads;
	uint64_t writes;
	uint64_t lost_answers;
	LIST_HEAD(, delayed) delayed;
};

/* A request that is held up by slow_ms. */
struct delayed {
	LIST_ENTRY(delayed) link;
	struct platform *platform;
	struct http_request *request;
	ev_timer timer;
};

static void reply_json(struct http_request *request, unsigned int status,
		       struct json_object *object)
{
	http_request_reply_text(request, status, "application/json",
				json_object_to_json_string(object));
	json_object_put(object);
}

static void reply_status(struct http_request *request, unsigned int status)
{
	http_request_reply_text(request, status, "application/json", "{}");
}

static bool answer_is_lost(struct platform *platform)
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

/* Percent-encoding undone; NULL where it is wrong. */
static char *name_after(const char *path, const char *prefix)
{
	return g_uri_unescape_string(path + strlen(prefix), NULL);
}

static void get_row(struct platform *platform, struct http_request *request)
{
	char *key = name_after(http_request_path(request), TABLE_PREFIX);
	const struct table_row *row =
		key ? table_get(&platform->table, key) : NULL;

	platform->reads++;
	if (row)
		reply_json(request, 200, table_row_to_json(key, row));
	else
		reply_status(request, 404);
	g_free(key);
}

static void list_rows(struct platform *platform, struct http_request *request)
{
	const char *prefix = http_request_argument(request, "prefix");
	const char *after = http_request_argument(request, "after");
	const char *limit = http_request_argument(request, "limit");
	size_t rows = limit ? strtoul(limit, NULL, 10) : 0;

	platform->reads++;
	reply_json(request, 200,
		   table_list(&platform->table, prefix ? prefix : "",
			      after ? after : "",
			      rows ? rows : DEFAULT_PAGE_ROWS));
}

static void reply_result(struct http_request *request,
			 const struct table_result *result)
{
	struct json_object *object = json_object_new_object();

	if (result->status == TABLE_APPLIED) {
		json_object_object_add(object, "ok", json_object_new_boolean(1));
		json_object_object_add(object, "versions",
				       json_object_get(result->versions));
		reply_json(request, 200, object);
		return;
	}
	json_object_object_add(object, "conflict",
			       json_object_new_string(result->key));
	json_object_object_add(object, "version",
			       json_object_new_uint64(result->version));
	reply_json(request, 409, object);
}

static void transact(struct platform *platform, struct http_request *request)
{
	struct json_object *body = standin_parse_body(http_request_body(request));
	struct table_result result = {.status = TABLE_MALFORMED};

	platform->writes++;
	if (body)
		table_transact(&platform->table, body, &result);
	if (result.status == TABLE_MALFORMED)
		reply_status(request, 400);
	else if (answer_is_lost(platform))
		http_request_abort(request);
	else
		reply_result(request, &result);
	json_object_put(result.versions);
	json_object_put(body);
}

static void put_object(struct platform *platform, struct http_request *request)
{
	const GString *body = http_request_body(request);
	char *name = name_after(http_request_path(request), OBJECTS_PREFIX);

	platform->writes++;
	if (!name) {
		reply_status(request, 400);
		return;
	}
	g_hash_table_replace(platform->objects, name,
			     g_bytes_new(body->str, body->len));
	if (answer_is_lost(platform))
		http_request_abort(request);
	else
		reply_status(request, 200);
}

static void get_object(struct platform *platform, struct http_request *request)
{
	char *name = name_after(http_request_path(request), OBJECTS_PREFIX);
	GBytes *bytes =
		name ? g_hash_table_lookup(platform->objects, name) : NULL;
	const char *data;
	gsize size;

	platform->reads++;
	g_free(name);
	if (!bytes) {
		reply_status(request, 404);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	http_request_reply(request, 200, NULL, data ? data : "", size);
}

static void set_faults(struct platform *platform, struct http_request *request)
{
	struct json_object *command =
		standin_parse_body(http_request_body(request));
	struct faults *faults = &platform->faults;
	int64_t seed = -1;

	if (!command) {
		reply_status(request, 400);
		return;
	}
	standin_read_bool(command, "down", &faults->down);
	standin_read_int(command, "slow_ms", &faults->slow_ms);
	standin_read_double(command, "lose_answer_share",
			    &faults->lose_answer_share);
	standin_read_int(command, "lose_next", &faults->lose_next);
	standin_read_int(command, "seed", &seed);
	if (seed >= 0)
		g_rand_set_seed(platform->random, (guint32)seed);
	json_object_put(command);
	reply_status(request, 200);
}

static void show_history(struct platform *platform, struct http_request *request)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "history",
			       json_object_get(platform->table.history));
	reply_json(request, 200, object);
}

static void show_stats(struct platform *platform, struct http_request *request)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "reads",
			       json_object_new_uint64(platform->reads));
	json_object_object_add(object, "writes",
			       json_object_new_uint64(platform->writes));
	json_object_object_add(object, "lost_answers",
			       json_object_new_uint64(platform->lost_answers));
	reply_json(request, 200, object);
}

static const struct route {
	const char *method;
	const char *path;
	bool is_prefix;
	bool is_command; /* from the test, past all faults */
	void (*handle)(struct platform *platform, struct http_request *request);
} routes[] = {
	{"POST", "/standin/fault", false, true, set_faults},
	{"GET", "/standin/history", false, true, show_history},
	{"GET", "/standin/stats", false, true, show_stats},
	{"POST", "/table/transact", false, false, transact},
	{"GET", "/table", false, false, list_rows},
	{"GET", TABLE_PREFIX, true, false, get_row},
	{"GET", OBJECTS_PREFIX, true, false, get_object},
	{"PUT", OBJECTS_PREFIX, true, false, put_object},
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

/* The server can't be destroyed while requests are held up. */
static void abort_delayed(struct platform *platform)
{
	struct delayed *delayed;

	while ((delayed = LIST_FIRST(&platform->delayed))) {
		http_request_abort(delayed->request);
		delayed_free(delayed);
	}
}

static void handle_delay_over(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct delayed *delayed = timer->data;

	(void)loop;
	(void)events;
	find_route(delayed->request)->handle(delayed->platform, delayed->request);
	delayed_free(delayed);
}

static void delay(struct platform *platform, struct http_request *request)
{
	struct delayed *delayed = g_new0(struct delayed, 1);

	delayed->platform = platform;
	delayed->request = request;
	ev_timer_init(&delayed->timer, handle_delay_over,
		      (double)platform->faults.slow_ms / 1000.0, 0.0);
	delayed->timer.data = delayed;
	LIST_INSERT_HEAD(&platform->delayed, delayed, link);
	ev_timer_start(platform->loop, &delayed->timer);
}

static void handle_request(struct http_request *request, void *data)
{
	struct platform *platform = data;
	const struct route *route = find_route(request);

	if (!route)
		reply_status(request, 404);
	else if (route->is_command)
		route->handle(platform, request);
	else if (platform->faults.down)
		http_request_abort(request);
	else if (platform->faults.slow_ms > 0)
		delay(platform, request);
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
	abort_delayed(platform);
	http_server_destroy(platform->server);
}

int main(int argc, char **argv)
{
	static int port;
	static const GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &port, "port; 0: any", "N"},
		{0},
	};
	struct platform platform = {.loop = ev_default_loop(0)};

	standin_parse_options(&argc, &argv, entries,
			      "A table service and object store for tests.");
	log_init(LOG_FORMAT_JSON, "standin-platform");
	LIST_INIT(&platform.delayed);
	table_init(&platform.table);
	platform.random = g_rand_new_with_seed(1);
	platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						 (GDestroyNotify)g_bytes_unref);
	platform_run(&platform, port);
	g_hash_table_destroy(platform.objects);
	g_rand_free(platform.random);
	table_finish(&platform.table);
	return 0;
}
