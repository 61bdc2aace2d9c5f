/*
 * NAME
 *	bench_routes - what taking over a configuration costs, by its routes
 *
 * SYNOPSIS
 *	bench-routes ROUTES...
 *
 * DESCRIPTION
 *	For each number of routes on one host: the processor time to read the
 *	platform's row, to put the first configuration in force, and to put in
 *	force one in which a single route has changed.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "comfreydockd/config/model.h"
#include "comfreydockd/config/store.h"
#include "common/log.h"
#include "platform/manifest.h"

#define ROUNDS 10
#define RETRY_PERCENT 20

static double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

/* Every version gives another route another time-out. */
static char *make_manifest(int routes, int version)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "{\"version\":\"r%d\",\"clusters\":[{\"name\":"
			       "\"huvo11a\",\"healthPath\":\"/health\"}],"
			       "\"listeners\":[{\"host\":\"ficu95.example\","
			       "\"ruleSet\":[",
			       version);
	for (int i = 0; i < routes; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"route-%d\",\"priority\":1,"
			"\"routeType\":\"idempotent\",\"targetLatencyMs\":300,"
			"\"match\":{\"pathPrefix\":\"/lohu%d/2f/\"},"
			"\"action\":{\"service\":\"huvo11a\",\"timeoutMs\":%d,"
			"\"attempts\":2}}",
			i ? "," : "", i, i, i == version ? 999 : 1000);
	g_string_append(text, "]}]}");
	return g_string_free(text, FALSE);
}

struct cost {
	double read_ms;
	double adopt_ms;
};

static void take(struct config_store *store, int routes, int version,
		 struct cost *cost)
{
	char *text = make_manifest(routes, version);
	const char *error = NULL;
	struct config_version taken = {.name = PLATFORM_MANIFEST_NAMESPACE};
	char *body;
	double began = now_ms();

	g_assert_true(platform_manifest_read(text, strlen(text), RETRY_PERCENT,
					     &taken.version, &body, &error));
	cost->read_ms = now_ms() - began;
	began = now_ms();
	config_body_sha256(body, strlen(body), taken.sha256);
	g_assert_cmpint(config_store_take(store, &taken, body), ==,
			CONFIG_OFFER_ADOPTED);
	cost->adopt_ms = now_ms() - began;
	g_free(body);
	g_free(text);
}

static void run_size(int routes)
{
	struct config_store *store = config_store_create();
	struct cost first;
	struct cost next;
	struct cost sum = {0};

	take(store, routes, 1, &first);
	for (int version = 2; version < 2 + ROUNDS; version++) {
		take(store, routes, version, &next);
		sum.read_ms += next.read_ms / ROUNDS;
		sum.adopt_ms += next.adopt_ms / ROUNDS;
	}
	printf("%6d routes: first read %.2f ms, adopt %.2f ms; "
	       "one changed: read %.2f ms, adopt %.2f ms\n",
	       routes, first.read_ms, first.adopt_ms, sum.read_ms, sum.adopt_ms);
	config_store_destroy(store);
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		fprintf(stderr, "usage: %s ROUTES...\n", argv[0]);
		return 2;
	}
	for (int i = 1; i < argc; i++)
		run_size(atoi(argv[i]));
	return 0;
}
