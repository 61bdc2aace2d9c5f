#include "pair.h"

#include <string.h>

#include "raw.h"

struct pair_wait {
	struct pair *pair;
	int64_t (*count)(struct pair *pair, const char *name);
	const char *name;
	int64_t value;
};

void pair_start(struct pair *pair, const char *config, const char *slots)
{
	struct cluster_options options = {
		.count = 2, .config = config, .slots = slots};

	cluster_start(&pair->cluster, &options);
	g_free(rig_http_ok("POST", pair->cluster.daemons[0]->admin_port,
			   "/v1/upstream/drain", ""));
	cluster_wait_up(&pair->cluster, 1, pair->wait_ms);
}

int pair_connect(const struct pair *pair)
{
	return raw_connect(pair->cluster.daemons[0]->caller_port);
}

void pair_add_request(GString *text, const char *method, const char *path,
		      const char *id)
{
	g_string_append_printf(
		text,
		"%s %s HTTP/1.1\r\nHost: h\r\n"
		"X-Request-Id: %s\r\n%s\r\n",
		method, path, id,
		strcmp(method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
}

void pair_set_upstream(struct pair *pair, const char *command)
{
	cluster_set_upstream(&pair->cluster, 1, command);
}

int64_t pair_entry_count(struct pair *pair, const char *name)
{
	return cluster_counter(&pair->cluster, 0, name);
}

int64_t pair_owner_count(struct pair *pair, const char *name)
{
	return cluster_counter(&pair->cluster, 1, name);
}

int64_t pair_upstream_count(struct pair *pair, const char *name)
{
	char *json = rig_http_ok("GET", pair->cluster.upstreams[1]->port,
				 "/standin/runs", NULL);
	int64_t value = rig_json_int(json, name);

	g_free(json);
	return value;
}

static bool counter_has_reached(void *data)
{
	const struct pair_wait *mark = data;

	return mark->count(mark->pair, mark->name) >= mark->value;
}

void pair_wait_for(struct pair *pair,
		   int64_t (*count)(struct pair *pair, const char *name),
		   const char *name, int64_t value)
{
	struct pair_wait mark = {pair, count, name, value};

	if (!rig_wait_until(counter_has_reached, &mark, pair->wait_ms))
		g_error("%s did not reach %" G_GINT64_FORMAT, name, value);
}
