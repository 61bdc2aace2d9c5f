#include <glib.h>
#include <string.h>

#include "comfreydockd/config/rule_check.h"
#include "comfreydockd/config/store.h"
#include "common/clock.h"
#include "paused_clock.h"

/* Version 1 sends /a/ to group g, version 2 to group h. */
#define BODY                                                                   \
	"{\"namespace\":\"n\",\"services\":{\"s\":{\"hosts\":[\"a.example\"]," \
	"\"rules\":[{\"name\":\"r\",\"path_prefix\":\"%s\",\"deadline_ms\":9," \
	"\"to\":[{\"group\":\"%s\",\"weight\":1},"                             \
	"{\"group\":\"unused\",\"weight\":0}]}]}}}"

#define KEY_DIGEST \
	"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define OTHER_DIGEST \
	"ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define BODY_WITH_KEY                                                         \
	"{\"namespace\":\"n\",\"organisations\":{\"acme\":{\"key_digests\":[" \
	"\"" KEY_DIGEST                                                       \
	"\"]}},\"services\":{\"s\":{\"hosts\":[\"a.example\"],\"rules\":["    \
	"{\"name\":\"r\",\"deadline_ms\":9,\"to\":[{\"group\":\"g\"}]}]}}}"

static void adopt_text(struct config_store *store, uint64_t version,
		       const char *body)
{
	struct config_version line = {
		.name = "n", .version = version, .at = version};

	config_body_sha256(body, strlen(body), line.sha256);
	config_store_note_listing(store, version, &line, 1);
	g_assert_cmpint(config_store_offer(store, "n", version, line.sha256,
					   body, strlen(body)),
			==, CONFIG_OFFER_ADOPTED);
}

static void adopt(struct config_store *store, uint64_t version,
		  const char *prefix, const char *group)
{
	char *body = g_strdup_printf(BODY, prefix, group);

	adopt_text(store, version, body);
	g_free(body);
}

static enum rule_check_result check(const struct config_store *store,
				    const char *group, uint64_t head,
				    uint64_t required_head)
{
	struct rule_check request = {
		.host = "A.example:80",
		.method = "GET",
		.target = "/a/1?q",
		.group = group,
		.key_digest = "",
		.head = head,
		.required_head = required_head,
	};

	return rule_check_run(store, &request);
}

/* Guards against a request that is run by a service from which a newer
 * configuration has moved its route. */
static void test_replaced_rule_is_refused(void)
{
	struct config_store *store = config_store_create();

	adopt(store, 1, "/a/", "g");
	paused_clock_advance_us(US_PER_S);
	adopt(store, 2, "/a/", "h");
	/* Further changes don't extend the time. */
	paused_clock_advance_us(CONFIG_STALE_AFTER_US / 2);
	adopt(store, 3, "/a/", "h");
	paused_clock_advance_us(CONFIG_STALE_AFTER_US / 2 - 1);
	g_assert_cmpint(check(store, "g", 1, 0), ==, RULE_CHECK_OK);
	paused_clock_advance_us(1);
	g_assert_cmpint(check(store, "g", 1, 0), ==, RULE_CHECK_REPLACED);
	g_assert_cmpint(check(store, "h", 1, 0), ==, RULE_CHECK_OK);
	g_assert_cmpint(check(store, "unused", 1, 0), ==, RULE_CHECK_REPLACED);
	g_assert_cmpint(check(store, "g", 2, 0), ==, RULE_CHECK_OK);
	g_assert_cmpint(check(store, "g", 0, 0), ==, RULE_CHECK_OK);
	adopt(store, 4, "/b/", "h");
	g_assert_cmpint(check(store, "g", 1, 0), ==, RULE_CHECK_REPLACED);
	config_store_destroy(store);
}

/* Guards against a request with a key that a newer configuration has removed. */
static void test_removed_key_is_refused(void)
{
	struct config_store *store = config_store_create();
	struct rule_check request = {
		.host = "a.example",
		.method = "GET",
		.target = "/a/1",
		.group = "g",
		.key_digest = KEY_DIGEST,
		.head = 1,
	};

	adopt(store, 1, "/a/", "g");
	adopt_text(store, 2, BODY_WITH_KEY);
	paused_clock_advance_us(CONFIG_STALE_AFTER_US);
	g_assert_cmpint(rule_check_run(store, &request), ==, RULE_CHECK_OK);
	request.key_digest = OTHER_DIGEST;
	g_assert_cmpint(rule_check_run(store, &request), ==, RULE_CHECK_REPLACED);
	request.key_digest = "";
	g_assert_cmpint(rule_check_run(store, &request), ==, RULE_CHECK_OK);
	config_store_destroy(store);
}

/* Guards against two hosts that are behind and confirm an old rule to each
 * other. */
static void test_required_head_is_checked(void)
{
	struct config_store *store = config_store_create();

	adopt(store, 1, "/a/", "g");
	g_assert_cmpint(check(store, "g", 1, 2), ==, RULE_CHECK_BEHIND);
	adopt(store, 2, "/a/", "g");
	g_assert_cmpint(check(store, "g", 1, 2), ==, RULE_CHECK_OK);
	config_store_destroy(store);
}

/* Guards against a host that refuses everything because the only host that
 * named a newer version is gone, or because it is cut off itself. */
static void test_head_is_required_while_it_is_named(void)
{
	struct config_store *store = config_store_create();

	adopt(store, 1, "/a/", "g");
	config_store_note_head(store, 2, "esja-01");
	g_assert_cmpuint(config_store_required_head(store), ==, 0);
	paused_clock_advance_us(CONFIG_STALE_AFTER_US);
	g_assert_cmpuint(config_store_required_head(store), ==, 2);
	paused_clock_advance_us(CONFIG_HEAD_NAMED_MAX_AGE_US);
	g_assert_cmpuint(config_store_required_head(store), ==, 0);
	config_store_note_head(store, 2, "esja-01");
	g_assert_cmpuint(config_store_required_head(store), ==, 2);
	adopt(store, 2, "/a/", "g");
	g_assert_cmpuint(config_store_required_head(store), ==, 0);
	config_store_destroy(store);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rule-check/replaced", test_replaced_rule_is_refused);
	g_test_add_func("/rule-check/removed-key", test_removed_key_is_refused);
	g_test_add_func("/rule-check/required-head",
			test_required_head_is_checked);
	g_test_add_func("/rule-check/not-named",
			test_head_is_required_while_it_is_named);
	return g_test_run();
}
