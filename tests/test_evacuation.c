#include <glib.h>

#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/member.h"

static unsigned int changes;

static void count_change(const struct evacuation *evacuation, void *data)
{
	(void)evacuation;
	(void)data;
	changes++;
}

static struct evacuation create(void)
{
	struct evacuation evacuation = {.handle_changed = count_change};

	changes = 0;
	return evacuation;
}

static bool has(const struct evacuation *evacuation, const char *domain)
{
	return evacuation_has(evacuation, evacuation_key(domain));
}

static bool set(struct evacuation *evacuation, uint64_t version,
		const char *domain, bool is_evacuated, int64_t now_us)
{
	struct evacuation_change change = {version, evacuation_key(domain),
					   is_evacuated};

	return evacuation_apply(evacuation, version, &change, 1, now_us);
}

/* Guards against an old list from a peer that was partitioned: it would bring
 * requests back to a domain whose power is about to be cut. */
static void test_older_list_is_ignored(void)
{
	uint64_t keys[] = {evacuation_key("esja"), evacuation_key("katla")};
	struct evacuation evacuation = create();

	g_assert_true(evacuation_replace(&evacuation, 12, keys, 2, 0));
	g_assert_false(evacuation_replace(&evacuation, 11, NULL, 0, 0));
	g_assert_false(evacuation_replace(&evacuation, 12, NULL, 0, 0));
	g_assert_true(has(&evacuation, "katla"));
	g_assert_true(evacuation_replace(&evacuation, 13, keys, 1, 0));
	g_assert_false(has(&evacuation, "katla"));
	g_assert_cmpuint(changes, ==, 2);
}

/* A domain is evacuated and restored within a second, while another one stays
 * evacuated. */
static void test_changes_apply_in_order(void)
{
	struct evacuation evacuation = create();

	set(&evacuation, 5, "esja", true, 100);
	set(&evacuation, 7, "katla", true, 200);
	set(&evacuation, 8, "esja", false, 300);
	g_assert_false(set(&evacuation, 6, "esja", true, 400));
	g_assert_false(has(&evacuation, "esja"));
	g_assert_true(has(&evacuation, "katla"));
	g_assert_cmpuint(evacuation.count, ==, 1);
	g_assert_cmpint(evacuation.entries[0].since_us, ==, 200);
	evacuation_apply(&evacuation, 40, NULL, 0, 500);
	g_assert_cmpuint(evacuation.as_of, ==, 40);
	g_assert_cmpuint(changes, ==, 3);
}

/* Guards against the second change of a transaction being lost, and against a
 * list with the first alone, which would spread as the complete one. */
static void test_changes_of_a_transaction_apply_together(void)
{
	struct evacuation evacuation = create();
	const struct evacuation_change both[] = {
		{9, evacuation_key("esja"), false},
		{9, evacuation_key("katla"), true},
	};
	const struct evacuation_change known[] = {
		{8, evacuation_key("katla"), true},
		{9, evacuation_key("askja"), true},
	};
	uint64_t keys[] = {evacuation_key("katla")};

	set(&evacuation, 5, "esja", true, 0);
	g_assert_true(evacuation_apply(&evacuation, 9, both, 2, 0));
	g_assert_false(has(&evacuation, "esja"));
	g_assert_true(has(&evacuation, "katla"));
	g_assert_cmpuint(changes, ==, 2);
	/* A later list came by gossip before the answer of the store. */
	evacuation_replace(&evacuation, 10, keys, 0, 0);
	g_assert_false(evacuation_apply(&evacuation, 12, known, 2, 0));
	g_assert_cmpuint(evacuation.count, ==, 0);
	g_assert_cmpuint(evacuation.as_of, ==, 12);
}

/* A later list with the same domains is no change: nothing is logged, spread or
 * rebuilt for it. */
static void test_same_list_is_no_change(void)
{
	uint64_t keys[] = {2, 1, 2};
	uint64_t same[] = {1, 2};
	struct evacuation evacuation = create();

	g_assert_true(evacuation_replace(&evacuation, 1, keys, 3, 0));
	g_assert_cmpuint(evacuation.count, ==, 2);
	g_assert_false(evacuation_replace(&evacuation, 2, same, 2, 0));
	g_assert_cmpuint(evacuation.as_of, ==, 2);
	g_assert_cmpuint(changes, ==, 1);
}

/* Guards against a list that grows without bound. */
static void test_list_is_bounded(void)
{
	struct evacuation evacuation = create();

	for (uint64_t i = 0; i < 3 * EVACUATION_DOMAINS_MAX; i++) {
		struct evacuation_change change = {i + 1, i + 1, true};

		evacuation_apply(&evacuation, i + 1, &change, 1, 0);
	}
	g_assert_cmpuint(evacuation.count, ==, EVACUATION_DOMAINS_MAX);
}

static void add_member(struct member_table *table, const char *host,
		       const char *domain)
{
	static char *groups[] = {"desk", NULL};
	struct member member = {.incarnation = 1,
				.domain = domain,
				.region = "reykjavik",
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups};

	g_strlcpy(member.host, host, sizeof(member.host));
	member_table_update(table, &member, 1);
}

static bool is_usable(struct member_table *table, const char *host)
{
	return member_is_usable(member_table_find(table, host));
}

/* Guards against entries that go on sending to an evacuated domain, also to a
 * host there that they learn of only later. */
static void test_members_follow_the_evacuation(void)
{
	struct member_table *table = member_table_create();
	struct evacuation evacuation = create();
	uint64_t version;

	add_member(table, "esja-1", "esja");
	add_member(table, "katla-1", "katla");
	version = member_table_group_version(table, "desk");
	set(&evacuation, 1, "esja", true, 0);
	member_table_set_evacuation(table, &evacuation);
	add_member(table, "esja-2", "esja");
	g_assert_false(is_usable(table, "esja-1"));
	g_assert_false(is_usable(table, "esja-2"));
	g_assert_true(is_usable(table, "katla-1"));
	g_assert_cmpuint(member_table_group_version(table, "desk"), !=, version);
	set(&evacuation, 2, "esja", false, 0);
	member_table_set_evacuation(table, &evacuation);
	g_assert_true(is_usable(table, "esja-1"));
	member_table_destroy(table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/older", test_older_list_is_ignored);
	g_test_add_func("/evacuation/order", test_changes_apply_in_order);
	g_test_add_func("/evacuation/transaction",
			test_changes_of_a_transaction_apply_together);
	g_test_add_func("/evacuation/same", test_same_list_is_no_change);
	g_test_add_func("/evacuation/bounded", test_list_is_bounded);
	g_test_add_func("/evacuation/members",
			test_members_follow_the_evacuation);
	return g_test_run();
}
