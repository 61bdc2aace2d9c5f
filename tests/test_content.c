#include <glib.h>

#include "comfreydockd/caller/content.h"

static const struct content base_request = {
	.service = "desk.example",
	.method = "GET",
	.target = "/listing?name=a",
	.caller = "lookup-desk",
	.body = "",
};

static uint64_t key_of(struct content content)
{
	return content_key(&content, 7);
}

static void test_equal_requests_share_a_key(void)
{
	g_assert_cmpuint(key_of(base_request), ==, key_of(base_request));
	g_assert_cmpuint(key_of(base_request), !=, 0);
}

/* Guards against two different requests with one key: a caller would be refused
 * for what another caller's request did. */
static void test_each_field_changes_the_key(void)
{
	uint64_t key = key_of(base_request);
	struct content other = base_request;

	other.service = "feed.example";
	g_assert_cmpuint(key_of(other), !=, key);
	other = base_request;
	other.method = "HEAD";
	g_assert_cmpuint(key_of(other), !=, key);
	other = base_request;
	other.target = "/listing?name=b";
	g_assert_cmpuint(key_of(other), !=, key);
	other = base_request;
	other.caller = "archive-feed";
	g_assert_cmpuint(key_of(other), !=, key);
	other = base_request;
	other.body = "b";
	other.body_size = 1;
	g_assert_cmpuint(key_of(other), !=, key);
	other = base_request;
	other.service = "desk.exampleGET";
	other.method = "";
	g_assert_cmpuint(key_of(other), !=, key);
}

/* Guards against a caller that crafts a request with the key of another one. */
static void test_seed_depends_on_the_shared_key(void)
{
	uint64_t seed = content_seed("secret", 6);

	g_assert_cmpuint(seed, ==, content_seed("secret", 6));
	g_assert_cmpuint(seed, !=, content_seed("secreu", 6));
	g_assert_cmpuint(content_key(&base_request, seed), !=,
			 key_of(base_request));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/content/equal", test_equal_requests_share_a_key);
	g_test_add_func("/content/fields", test_each_field_changes_the_key);
	g_test_add_func("/content/seed", test_seed_depends_on_the_shared_key);
	return g_test_run();
}
