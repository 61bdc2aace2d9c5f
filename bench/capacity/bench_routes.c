/*
 * NAME
 *	bench_routes - cost of adopting a configuration, by its number of routes
 *
 * SYNOPSIS
 *	bench-routes ROUTES...
 *
 * DESCRIPTION
 *	Prints for each number of routes on one host the processor time to read
 *	the platform's row, to put the first configuration in force, and to put
 *	one in force in which a single route has changed; and the memory that
 *	the daemon keeps for it. A second line shows the time of each step of
 *	adopting the changed configuration, each step run by itself. A third one
 *	shows what peers send of it: the difference and the compressed body, with
 *	their sizes and the times to encode and to decode them.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "comfreydockd/config/body_codec.h"
#include "comfreydockd/config/check.h"
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

static void digest_key(const char *key, char hex[65], void *data)
{
	(void)data;
	g_snprintf(hex, 65, "%064x", g_str_hash(key));
}

/* Each version changes the timeout of a different route. */
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

static void adopt_version(struct platform_manifest_reader *reader,
			  struct config_store *store, int routes, int version,
			  struct cost *cost)
{
	char *text = make_manifest(routes, version);
	const char *error = NULL;
	struct config_version taken = {.name = PLATFORM_MANIFEST_NAMESPACE};
	char *body;
	double began = now_ms();

	g_assert_true(platform_manifest_read(reader, text, strlen(text),
					     RETRY_PERCENT, &taken.version,
					     &body, &error));
	cost->read_ms = now_ms() - began;
	began = now_ms();
	config_body_sha256(body, strlen(body), taken.sha256);
	g_assert_cmpint(config_store_offer_trusted(store, &taken, body), ==,
			CONFIG_OFFER_ADOPTED);
	cost->adopt_ms = now_ms() - began;
	g_free(body);
	g_free(text);
}

/* Times of the steps of adopting a changed configuration. */
struct steps {
	double read_ms;
	double hash_ms;
	double load_ms; /* parses the body into a namespace */
	double snapshot_ms;
	double drop_ms; /* frees the previous configuration */
};

static double lap(double *began)
{
	double now = now_ms();
	double took = now - *began;

	*began = now;
	return took;
}

static struct config_snapshot *time_steps(struct platform_manifest_reader *reader,
					  struct config_snapshot *old,
					  const char *text, struct steps *steps)
{
	struct config_snapshot *next;
	struct config_namespace *ns;
	struct findings findings;
	const char *error = NULL;
	uint64_t number;
	double began = now_ms();
	char hash[65];
	char *body;

	g_assert_true(platform_manifest_read(reader, text, strlen(text),
					     RETRY_PERCENT, &number, &body,
					     &error));
	steps->read_ms += lap(&began) / ROUNDS;
	config_body_sha256(body, strlen(body), hash);
	steps->hash_ms += lap(&began) / ROUNDS;
	findings_init(&findings);
	ns = config_namespace_load_accepted(body, hash, &findings);
	findings_finish(&findings);
	steps->load_ms += lap(&began) / ROUNDS;
	next = config_snapshot_with(old, ns);
	steps->snapshot_ms += lap(&began) / ROUNDS;
	config_snapshot_unref(old);
	steps->drop_ms += lap(&began) / ROUNDS;
	config_namespace_unref(ns);
	g_free(body);
	return next;
}

static void run_steps(int routes)
{
	struct platform_manifest_reader *reader =
		platform_manifest_reader_create(digest_key, NULL);
	struct config_snapshot *snapshot = config_snapshot_create();
	struct steps first = {0};
	struct steps steps = {0};

	for (int version = 1; version < 2 + ROUNDS; version++) {
		char *text = make_manifest(routes, version);

		snapshot = time_steps(reader, snapshot, text,
				      version == 1 ? &first : &steps);
		g_free(text);
	}
	printf("%6d routes, one changed, by step: read %.2f ms, hash %.2f ms, "
	       "load %.2f ms, snapshot %.2f ms, free the old one %.2f ms\n",
	       routes, steps.read_ms, steps.hash_ms, steps.load_ms,
	       steps.snapshot_ms, steps.drop_ms);
	config_snapshot_unref(snapshot);
	platform_manifest_reader_destroy(reader);
}

static char *make_body(int routes, int version)
{
	struct platform_manifest_reader *reader =
		platform_manifest_reader_create(digest_key, NULL);
	char *text = make_manifest(routes, version);
	const char *error = NULL;
	uint64_t number;
	char *body;

	g_assert_true(platform_manifest_read(reader, text, strlen(text),
					     RETRY_PERCENT, &number, &body,
					     &error));
	platform_manifest_reader_destroy(reader);
	g_free(text);
	return body;
}

struct codec_cost {
	double encode_ms;
	double decode_ms;
	size_t bytes;
};

static void time_codec(const char *base, const char *body, struct codec_cost *cost)
{
	for (int i = 0; i < ROUNDS; i++) {
		double began = now_ms();
		GBytes *frame = body_encode(base, body);
		GByteArray *decoded;

		cost->encode_ms += lap(&began) / ROUNDS;
		decoded = body_decode(g_bytes_get_data(frame, NULL),
				      g_bytes_get_size(frame), base,
				      base ? strlen(base) : 0, strlen(body));
		cost->decode_ms += lap(&began) / ROUNDS;
		g_assert_cmpmem(decoded->data, decoded->len, body, strlen(body));
		cost->bytes = g_bytes_get_size(frame);
		g_byte_array_unref(decoded);
		g_bytes_unref(frame);
	}
}

static void run_codec(int routes)
{
	char *base = make_body(routes, 1);
	char *body = make_body(routes, routes / 2);
	struct codec_cost delta = {0};
	struct codec_cost whole = {0};

	time_codec(base, body, &delta);
	time_codec(NULL, body, &whole);
	printf("%6d routes, one changed, to peers: %zu bytes; difference %zu "
	       "bytes, "
	       "encode %.2f ms, decode %.2f ms; compressed %zu bytes, "
	       "encode %.2f ms, decode %.2f ms\n",
	       routes, strlen(body), delta.bytes, delta.encode_ms,
	       delta.decode_ms, whole.bytes, whole.encode_ms, whole.decode_ms);
	g_free(base);
	g_free(body);
}

static void run_size(int routes)
{
	struct platform_manifest_reader *reader =
		platform_manifest_reader_create(digest_key, NULL);
	struct config_store *store = config_store_create();
	size_t before = mallinfo2().uordblks;
	struct cost first;
	struct cost next;
	struct cost sum = {0};
	size_t kept;

	adopt_version(reader, store, routes, 1, &first);
	for (int version = 2; version < 2 + ROUNDS; version++) {
		adopt_version(reader, store, routes, version, &next);
		sum.read_ms += next.read_ms / ROUNDS;
		sum.adopt_ms += next.adopt_ms / ROUNDS;
	}
	kept = mallinfo2().uordblks - before;
	printf("%6d routes: first read %.2f ms, adopt %.2f ms; "
	       "one changed: read %.2f ms, adopt %.2f ms; %zu KiB kept\n",
	       routes, first.read_ms, first.adopt_ms, sum.read_ms, sum.adopt_ms,
	       kept / 1024);
	config_store_destroy(store);
	platform_manifest_reader_destroy(reader);
	run_steps(routes);
	run_codec(routes);
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
