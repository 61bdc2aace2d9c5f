#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "comfreydockd/config/store.h"
#include "platform/manifest.h"

/* Manifests that a platform may accept, with values at their edges, drawn from a
 * seed. Whatever was acknowledged has to be in force. */

#define DRAWN_IN_CI 300
#define HOSTS_MAX 4
#define ROUTES_MAX 6

struct route {
	char *prefix;
	char *service;
	uint32_t timeout_ms;
	bool is_split;
};

struct listener {
	char *host;
	GPtrArray *routes; /* of struct route */
};

struct fixture {
	struct config_store *store;
	struct platform_manifest_reader *reader;
	GRand *random;
	uint64_t version;
};

static void digest_key(const char *key, char hex[65], void *data)
{
	(void)data;
	g_snprintf(hex, 65, "%064x", g_str_hash(key));
}

static void setup(struct fixture *f, gconstpointer seed)
{
	f->store = config_store_create();
	f->reader = platform_manifest_reader_create(digest_key, NULL);
	f->random = g_rand_new_with_seed((guint32)GPOINTER_TO_UINT(seed));
	f->version = 0;
}

static void teardown(struct fixture *f, gconstpointer seed)
{
	(void)seed;
	config_store_destroy(f->store);
	platform_manifest_reader_destroy(f->reader);
	g_rand_free(f->random);
}

/* Puts a manifest in force as a daemon does that has read it. */
static void adopt(struct fixture *f, const char *manifest)
{
	struct config_version line = {.name = PLATFORM_MANIFEST_NAMESPACE};
	const char *error = "";
	char *body = NULL;

	if (!platform_manifest_read(f->reader, manifest, strlen(manifest), 20,
				    &line.version, &body, &error))
		g_error("%s: %s", error, manifest);
	g_assert_cmpuint(line.version, ==, f->version);
	config_body_sha256(body, strlen(body), line.sha256);
	if (config_store_offer_trusted(f->store, &line, body) !=
	    CONFIG_OFFER_ADOPTED)
		g_error("not adopted: %s", manifest);
	g_free(body);
}

static const struct config_rule *find(struct fixture *f, const char *host,
				      const char *path)
{
	const struct config_service *service;
	const struct config_rule *rule = NULL;

	config_snapshot_match(config_store_current(f->store), host, "GET", path,
			      &service, &rule);
	return rule;
}

static bool draw_bool(struct fixture *f)
{
	return g_rand_int_range(f->random, 0, 2);
}

static guint draw_below(struct fixture *f, guint limit)
{
	return (guint)g_rand_int_range(f->random, 0, (gint)limit);
}

/* Names of any length and with any character have to be honoured. */
static char *draw_name(struct fixture *f, size_t longest)
{
	static const char *const kinds[] = {"a",   "desk-",	  "x.y_",
					    "a b", "caf\xc3\xa9", "#1/"};
	size_t length = draw_bool(f) ? longest : 1 + draw_below(f, 12);
	const char *kind = kinds[draw_below(f, G_N_ELEMENTS(kinds))];
	GString *name = g_string_new(NULL);

	while (name->len < length)
		g_string_append(name, kind);
	g_string_append_printf(name, "%u", draw_below(f, 100));
	return g_string_free(name, FALSE);
}

static char *draw_host(struct fixture *f, guint number)
{
	GString *host = g_string_new(NULL);

	g_string_printf(host, "h%u", number);
	if (draw_bool(f)) {
		while (host->len < 200 + draw_below(f, 50))
			g_string_append(host, ".label");
	}
	g_string_append(host, ".example");
	return g_string_free(host, FALSE);
}

static void free_route(gpointer data)
{
	struct route *route = data;

	g_free(route->prefix);
	g_free(route->service);
	g_free(route);
}

static void append_split(GString *out, struct fixture *f, const char *service)
{
	static const char *const weights[] = {"1", "0.25", "2000000", "1e-3"};

	g_string_append_printf(
		out,
		"\"trafficSplit\":[{\"service\":\"%s\",\"weight\":%s},"
		"{\"service\":\"other\",\"weight\":0}],",
		service, weights[draw_below(f, G_N_ELEMENTS(weights))]);
}

static struct route *append_route(GString *out, struct fixture *f, guint number)
{
	static const uint32_t timeouts_ms[] = {1, 500, 3600000};
	struct route *route = g_new0(struct route, 1);
	char *name = draw_name(f, 150);

	route->service = draw_name(f, 190);
	route->prefix = draw_bool(f) ? g_strdup_printf("/p%u/", number) :
				       g_strdup_printf("/p%u/very/deep/%0200u/",
						       number, number);
	route->timeout_ms = timeouts_ms[draw_below(f, G_N_ELEMENTS(timeouts_ms))];
	route->is_split = draw_bool(f);
	g_string_append_printf(out,
			       "{\"name\":\"%s\",\"routeType\":\"idempotent\","
			       "\"priority\":%u,\"unknown\":[{}],"
			       "\"match\":{\"pathPrefix\":\"%s\"},\"action\":{",
			       draw_bool(f) ? name : "same", draw_below(f, 9),
			       route->prefix);
	if (route->is_split)
		append_split(out, f, route->service);
	else
		g_string_append_printf(out, "\"service\":\"%s\",",
				       route->service);
	g_string_append_printf(out, "\"timeoutMs\":%u,\"attempts\":%u}}",
			       route->timeout_ms, 1 + draw_below(f, 40));
	g_free(name);
	return route;
}

static struct listener *append_listener(GString *out, struct fixture *f,
					guint number)
{
	struct listener *listener = g_new0(struct listener, 1);
	guint routes = draw_below(f, ROUTES_MAX);

	listener->host = draw_host(f, number);
	listener->routes = g_ptr_array_new_with_free_func(free_route);
	g_string_append_printf(out, "{\"host\":\"%s\",\"ruleSet\":[",
			       listener->host);
	for (guint i = 0; i < routes; i++) {
		if (i > 0)
			g_string_append_c(out, ',');
		g_ptr_array_add(listener->routes, append_route(out, f, i));
	}
	g_string_append(out, "]}");
	return listener;
}

static void append_clusters(GString *out, struct fixture *f)
{
	char *name = draw_name(f, 190);

	g_string_append_printf(out,
			       "],\"clusters\":[{\"name\":\"%s\","
			       "\"healthPath\":\"/health\","
			       "\"maxConnections\":%s,\"coldStartS\":%s,"
			       "\"coldPerS\":%s,\"unknown\":{}}]}",
			       name, draw_bool(f) ? "0" : "99999999999",
			       draw_bool(f) ? "0" : "86400",
			       draw_bool(f) ? "0.5" : "1e9");
	g_free(name);
}

static void assert_in_force(struct fixture *f, const struct listener *listener)
{
	for (guint i = 0; i < listener->routes->len; i++) {
		const struct route *route = listener->routes->pdata[i];
		char *path = g_strconcat(route->prefix, "x", NULL);
		const struct config_rule *rule = find(f, listener->host, path);

		g_assert_nonnull(rule);
		g_assert_cmpstr(config_rule_select_group(rule, 0), ==,
				route->service);
		g_assert_cmpuint(rule->deadline_ms, ==, route->timeout_ms);
		g_assert_cmpuint(rule->max_attempts, >=, 1);
		g_free(path);
	}
	g_assert_null(find(f, listener->host, "/none/x"));
}

static void free_listener(gpointer data)
{
	struct listener *listener = data;

	g_ptr_array_free(listener->routes, TRUE);
	g_free(listener->host);
	g_free(listener);
}

/* Guards against an acknowledged manifest that is never in force because one of
 * its values is beyond a limit that only the daemon has. */
static void test_drawn_manifests_are_in_force(struct fixture *f,
					      gconstpointer seed)
{
	const char *count = g_getenv("MANIFESTS_DRAWN");
	guint drawn = count ? (guint)atoi(count) : DRAWN_IN_CI;

	(void)seed;
	for (guint i = 0; i < drawn; i++) {
		GPtrArray *listeners =
			g_ptr_array_new_with_free_func(free_listener);
		GString *out = g_string_new(NULL);
		guint hosts = draw_below(f, HOSTS_MAX);

		f->version += 1 + draw_below(f, 5);
		g_string_printf(out,
				"{\"version\":\"r%" G_GUINT64_FORMAT
				"\",\"limits\":{},\"listeners\":[",
				f->version);
		for (guint k = 0; k < hosts; k++) {
			if (k > 0)
				g_string_append_c(out, ',');
			g_ptr_array_add(listeners, append_listener(out, f, k));
		}
		append_clusters(out, f);
		adopt(f, out->str);
		for (guint k = 0; k < listeners->len; k++)
			assert_in_force(f, listeners->pdata[k]);
		g_string_free(out, TRUE);
		g_ptr_array_free(listeners, TRUE);
	}
}

#define ROUTE(prefix, service, rest)                                        \
	"{\"name\":\"r\",\"routeType\":\"idempotent\",\"match\":{"          \
	"\"pathPrefix\":\"" prefix "\"},\"action\":{\"service\":\"" service \
	"\",\"timeoutMs\":500,\"attempts\":2" rest "}}"
#define LISTENER(host, routes) \
	"{\"host\":\"" host "\",\"ruleSet\":[" routes "]}"
#define MANIFEST(listeners) \
	"{\"version\":\"r1\",\"listeners\":[" listeners "],\"clusters\":[]}"

/* Guards against a manifest that is kept out as a whole because the name of a
 * host has more bytes than a name in an operator's file may have. */
static void test_long_host_is_served(struct fixture *f, gconstpointer unused)
{
	static const char host[] = "connect-through.lookup-desk.hall-esja."
				   "reykjavik.spurningalina.example";
	char *manifest = g_strdup_printf(
		MANIFEST(LISTENER("a.example", ROUTE("/old/", "new", "")) "," LISTENER(
			"%s", ROUTE("/connect/", "desk", ""))),
		host);

	(void)unused;
	f->version = 1;
	adopt(f, manifest);
	g_assert_cmpstr(config_rule_select_group(find(f, host, "/connect/x"), 0),
			==, "desk");
	g_assert_cmpstr(
		config_rule_select_group(find(f, "a.example", "/old/x"), 0), ==,
		"new");
	g_free(manifest);
}

/* Guards against the routes of all but the last of a host's listeners being
 * lost. */
static void test_listeners_of_a_host_are_merged(struct fixture *f,
						gconstpointer unused)
{
	(void)unused;
	f->version = 1;
	adopt(f,
	      MANIFEST(LISTENER("a.example", ROUTE("/a/", "one", "")) "," LISTENER(
		      "A.Example", ROUTE("/a/b/", "two", ""))));
	g_assert_cmpstr(config_rule_select_group(find(f, "a.example", "/a/x"), 0),
			==, "one");
	g_assert_cmpstr(
		config_rule_select_group(find(f, "a.example", "/a/b/x"), 0), ==,
		"two");
}

/* Guards against one route that can't be used keeping the others out, and
 * against its requests going to a shorter prefix. */
static void test_unusable_route_costs_itself(struct fixture *f,
					     gconstpointer unused)
{
	const struct config_rule *rule;

	(void)unused;
	f->version = 1;
	adopt(f, MANIFEST(LISTENER(
			 "a.example",
			 ROUTE("/a/", "one", "") "," ROUTE(
				 "/a/b/", "", "") "," ROUTE("", "two", ""))));
	g_assert_cmpstr(config_rule_select_group(find(f, "a.example", "/a/x"), 0),
			==, "one");
	rule = find(f, "a.example", "/a/b/x");
	g_assert_cmpstr(rule->path_prefix, ==, "/a/b/");
	g_assert_null(config_rule_select_group(rule, 0));
	g_assert_null(find(f, "a.example", "/c/x"));
}

#define ADD(path, function, seed)                                       \
	g_test_add(path, struct fixture, GUINT_TO_POINTER(seed), setup, \
		   function, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/manifest-drawn/long-host", test_long_host_is_served, 0);
	ADD("/manifest-drawn/listeners", test_listeners_of_a_host_are_merged, 0);
	ADD("/manifest-drawn/unusable", test_unusable_route_costs_itself, 0);
	ADD("/manifest-drawn/seed-1", test_drawn_manifests_are_in_force, 1);
	ADD("/manifest-drawn/seed-2", test_drawn_manifests_are_in_force, 2);
	return g_test_run();
}
