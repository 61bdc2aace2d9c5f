#include <glib.h>
#include <string.h>

#include "comfreydockd/config/store.h"
#include "common/clock.h"

struct fixture {
	struct config_store *store;
	unsigned int changed;
	unsigned int behind;
	char *behind_host;
};

static void handle_changed(struct config_snapshot *snapshot, void *data)
{
	struct fixture *f = data;

	g_assert_true(snapshot == config_store_current(f->store));
	f->changed++;
}

static void handle_behind(uint64_t head, const char *from_host, void *data)
{
	struct fixture *f = data;

	g_assert_cmpuint(head, >, 0);
	g_free(f->behind_host);
	f->behind_host = g_strdup(from_host);
	f->behind++;
}

static void setup(struct fixture *f, gconstpointer unused)
{
	struct config_store_observer observer = {handle_changed, handle_behind,
						 f};

	(void)unused;
	f->store = config_store_create();
	config_store_observe(f->store, &observer);
}

static void teardown(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	config_store_destroy(f->store);
	g_free(f->behind_host);
}

static char *body_of(const char *name, uint64_t version)
{
	return g_strdup_printf(
		"{\"namespace\": \"%s\", \"services\": {\"s\": {\"hosts\": "
		"[\"%s\"], \"group\": \"g\", \"rules\": [{\"name\": "
		"\"r\", \"deadline_ms\": %" G_GUINT64_FORMAT "}]}}}",
		name, name, version + 1);
}

static struct config_version version_of(const char *name, uint64_t version)
{
	struct config_version line = {.name = name, .version = version};
	char *body = body_of(name, version);

	config_body_sha256(body, strlen(body), line.sha256);
	g_free(body);
	return line;
}

static enum config_offer offer(struct fixture *f, const char *name,
			       uint64_t version)
{
	struct config_version line = version_of(name, version);
	char *body = body_of(name, version);
	enum config_offer result = config_store_offer(
		f->store, name, version, line.sha256, body, strlen(body));

	g_free(body);
	return result;
}

static uint32_t deadline_of(const struct config_snapshot *snapshot,
			    const char *host)
{
	const struct config_service *service;
	const struct config_rule *rule;

	if (!config_snapshot_match(snapshot, host, "GET", "/", &service, &rule))
		return 0;
	return rule->deadline_ms;
}

/*
 * Guards against a return to replaced rules: offers come from many peers in any
 * order, some with long delays, and an old one must not be adopted.
 */
static void test_versions_never_decrease(struct fixture *f, gconstpointer unused)
{
	uint64_t highest[3] = {0};

	(void)unused;
	for (int i = 0; i < 500; i++) {
		static const char *const names[] = {"a", "b", "c"};
		int n = g_test_rand_int_range(0, 3);
		uint64_t version = (uint64_t)g_test_rand_int_range(0, 40);
		bool newer = version > highest[n];

		g_assert_cmpint(offer(f, names[n], version), ==,
				newer ? CONFIG_OFFER_ADOPTED :
					CONFIG_OFFER_NOT_NEWER);
		highest[n] = MAX(highest[n], version);
		if (highest[n])
			g_assert_cmpuint(
				deadline_of(config_store_current(f->store),
					    names[n]),
				==, highest[n] + 1);
	}
}

/* Guards against a rule that changes under a request in flight. */
static void test_requests_keep_their_snapshot(struct fixture *f,
					      gconstpointer unused)
{
	struct config_snapshot *mine;

	(void)unused;
	offer(f, "a", 1);
	mine = config_snapshot_ref(config_store_current(f->store));
	offer(f, "a", 2);
	g_assert_cmpuint(deadline_of(mine, "a"), ==, 2);
	g_assert_cmpuint(deadline_of(config_store_current(f->store), "a"), ==, 3);
	g_assert_cmpuint(f->changed, ==, 2);
	config_snapshot_unref(mine);
}

/* Guards against bodies that a peer has truncated or that belong to another
 * namespace. */
static void test_bad_offers_change_nothing(struct fixture *f, gconstpointer unused)
{
	struct config_version line = version_of("a", 1);
	char *body = body_of("a", 1);
	char hash[65];

	(void)unused;
	g_assert_cmpint(config_store_offer(f->store, "a", 1, line.sha256, body,
					   strlen(body) - 1),
			==, CONFIG_OFFER_BAD_HASH);
	g_assert_cmpint(config_store_offer(f->store, "b", 1, line.sha256, body,
					   strlen(body)),
			==, CONFIG_OFFER_BAD_CONTENT);
	config_body_sha256("{}", 2, hash);
	g_assert_cmpint(config_store_offer(f->store, "a", 1, hash, "{}", 2), ==,
			CONFIG_OFFER_BAD_CONTENT);
	g_assert_cmpuint(f->changed, ==, 0);
	g_free(body);
}

/*
 * Guards against a daemon that is ready too early. A restarted daemon holds
 * nothing, and before it has everything in the listing it would answer for
 * services it lacks.
 */
static void test_head_advances_with_last_body(struct fixture *f,
					      gconstpointer unused)
{
	struct config_version listing[] = {version_of("a", 4),
					   version_of("b", 2)};
	GArray *missing;

	(void)unused;
	g_assert_false(config_store_is_ready(f->store));
	config_store_note_head(f->store, 6, "esja-01");
	g_assert_cmpuint(f->behind, ==, 1);
	g_assert_cmpstr(f->behind_host, ==, "esja-01");
	config_store_note_listing(f->store, 6, listing, 2);
	config_store_note_listing(f->store, 5, listing, 0);
	offer(f, "a", 5);
	missing = config_store_missing(f->store);
	g_assert_cmpuint(missing->len, ==, 1);
	g_array_unref(missing);
	g_assert_false(config_store_is_ready(f->store));
	offer(f, "b", 2);
	g_assert_true(config_store_is_ready(f->store));
	g_assert_cmpuint(config_store_head(f->store), ==, 6);
	config_store_note_head(f->store, 6, "esja-01");
	g_assert_cmpuint(f->behind, ==, 1);
}

/* Guards against a wrong age of the last confirmation. A peer's confirmation of
 * a head that is not reached yet counts once it is reached; a confirmation of
 * an older head counts at once. */
static void test_told_age_of_peers_is_kept(struct fixture *f, gconstpointer unused)
{
	struct config_version listing[] = {version_of("a", 4)};

	(void)unused;
	g_assert_cmpint(config_store_confirmed_age_us(f->store), ==, -1);
	config_store_note_listing(f->store, 0, NULL, 0);
	config_store_note_confirmed(f->store, 4, 3 * US_PER_S);
	config_store_note_head(f->store, 4, "esja-01");
	g_assert_cmpint(config_store_confirmed_age_us(f->store), ==, -1);
	g_assert_cmpint(config_store_get_doubt(f->store), ==,
			CONFIG_DOUBT_BEHIND);
	config_store_note_listing(f->store, 4, listing, 1);
	g_assert_cmpint(config_store_get_doubt(f->store), ==,
			CONFIG_DOUBT_BEHIND);
	offer(f, "a", 4);
	g_assert_cmpint(config_store_get_doubt(f->store), ==, CONFIG_DOUBT_NONE);
	g_assert_cmpint(config_store_confirmed_age_us(f->store), >=,
			3 * US_PER_S);
	config_store_note_confirmed(f->store, 2, US_PER_S);
	g_assert_cmpint(config_store_confirmed_age_us(f->store), <, 3 * US_PER_S);
	config_store_note_confirmed(f->store, 4, 9 * US_PER_S);
	g_assert_cmpint(config_store_confirmed_age_us(f->store), <, 3 * US_PER_S);
}

/*
 * Guards against endless doubt after a peer names a head that the platform does
 * not have, because its rows were rolled back or the peer was wrong. Every
 * request without a rule would be told to come back for ever. An answer of the
 * platform drops the head if the platform was asked after the peer named it.
 */
static void test_false_head_is_dropped(struct fixture *f, gconstpointer unused)
{
	struct config_version held[] = {version_of("a", 7)};
	struct config_version listing[] = {version_of("a", 9)};
	int64_t before_us = clock_boot_us() - 1;

	(void)unused;
	config_store_note_listing(f->store, 7, held, 1);
	offer(f, "a", 7);
	config_store_note_head(f->store, 9, "esja-01");
	config_store_note_listing(f->store, 9, listing, 1);
	config_store_note_newest(f->store, 7, before_us);
	g_assert_cmpint(config_store_get_doubt(f->store), ==,
			CONFIG_DOUBT_BEHIND);
	config_store_note_newest(f->store, 7, clock_boot_us() + 1);
	g_assert_cmpint(config_store_get_doubt(f->store), ==, CONFIG_DOUBT_NONE);
	config_store_note_head(f->store, 9, "esja-01");
	g_assert_cmpint(config_store_get_doubt(f->store), ==,
			CONFIG_DOUBT_BEHIND);
}

/* Guards against a missed update when a listing alone shows it and no higher
 * head was named. */
static void test_listing_alone_raises_doubt(struct fixture *f,
					    gconstpointer unused)
{
	struct config_version listing[] = {version_of("a", 4)};

	(void)unused;
	config_store_note_listing(f->store, 4, listing, 1);
	offer(f, "a", 4);
	g_assert_cmpint(config_store_get_doubt(f->store), ==, CONFIG_DOUBT_NONE);
	listing[0] = version_of("a", 5);
	config_store_note_listing(f->store, 4, listing, 1);
	g_assert_cmpuint(config_store_known_head(f->store), ==, 4);
	g_assert_cmpint(config_store_get_doubt(f->store), ==,
			CONFIG_DOUBT_BEHIND);
}

static void test_empty_platform_makes_ready(struct fixture *f,
					    gconstpointer unused)
{
	(void)unused;
	config_store_note_listing(f->store, 0, NULL, 0);
	g_assert_true(config_store_is_ready(f->store));
}

static void test_file_is_replaced_by_a_version(struct fixture *f,
					       gconstpointer unused)
{
	char *file = g_build_filename(g_getenv("COMFREYDOCK_SOURCE"), "docs",
				      "operators", "lookup.sample.json", NULL);
	struct findings findings;
	GArray *all;

	(void)unused;
	findings_init(&findings);
	g_assert_true(config_store_load_file(f->store, file, &findings));
	g_assert_true(config_store_is_ready(f->store));
	g_assert_cmpint(offer(f, "spurningalina", 0), ==, CONFIG_OFFER_NOT_NEWER);
	g_assert_cmpint(offer(f, "spurningalina", 1), ==, CONFIG_OFFER_ADOPTED);
	all = config_store_held_versions(f->store);
	g_assert_cmpuint(all->len, ==, 1);
	g_assert_cmpuint(g_array_index(all, struct config_version, 0).version,
			 ==, 1);
	g_array_unref(all);
	findings_finish(&findings);
	g_free(file);
}

#define ADD(path, function) \
	g_test_add(path, struct fixture, NULL, setup, function, teardown)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/store/never-decrease", test_versions_never_decrease);
	ADD("/store/in-flight", test_requests_keep_their_snapshot);
	ADD("/store/bad-offers", test_bad_offers_change_nothing);
	ADD("/store/head", test_head_advances_with_last_body);
	ADD("/store/told-age", test_told_age_of_peers_is_kept);
	ADD("/store/false-head", test_false_head_is_dropped);
	ADD("/store/listing", test_listing_alone_raises_doubt);
	ADD("/store/empty-platform", test_empty_platform_makes_ready);
	ADD("/store/file", test_file_is_replaced_by_a_version);
	return g_test_run();
}
