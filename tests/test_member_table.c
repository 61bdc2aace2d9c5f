#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "comfreydockd/member/member.h"

static struct member record(const char *host, uint64_t incarnation,
			    enum member_state state)
{
	static char *groups[] = {"lookup-desk", "archive-feed", NULL};
	struct member member = {.incarnation = incarnation,
				.state = state,
				.domain = "hall-esja",
				.region = "reykjavik",
				.service_state = MEMBER_SERVICE_UP,
				.groups = groups};

	snprintf(member.host, sizeof(member.host), "%s", host);
	return member;
}

static void update_and_expect(struct member_table *table, const char *host,
			      uint64_t incarnation, enum member_state state,
			      bool changes)
{
	struct member member = record(host, incarnation, state);

	g_assert_cmpint(member_table_update(table, &member, 1000), ==, changes);
}

/*
 * A delayed packet says that a host is alive that has since been declared dead.
 * If the table accepted it, calls would be sent to a dead host. Only the host
 * itself can return, with a higher incarnation.
 */
static void test_outdated_record_is_ignored(void)
{
	struct member_table *table = member_table_create();

	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, true);
	update_and_expect(table, "esja-1", 5, MEMBER_SUSPECT, true);
	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, false);
	update_and_expect(table, "esja-1", 5, MEMBER_DEAD, true);
	update_and_expect(table, "esja-1", 5, MEMBER_LEFT, false);
	update_and_expect(table, "esja-1", 4, MEMBER_ALIVE, false);
	update_and_expect(table, "esja-1", 6, MEMBER_ALIVE, true);
	g_assert_cmpint(member_table_find(table, "esja-1")->state, ==,
			MEMBER_ALIVE);
	member_table_destroy(table);
}

static void test_group_index_follows_records(void)
{
	struct member_table *table = member_table_create();
	struct member member = record("esja-1", 7, MEMBER_ALIVE);
	char *one[] = {"lookup-desk", "lookup-desk", NULL};

	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, true);
	update_and_expect(table, "katla-1", 5, MEMBER_ALIVE, true);
	g_assert_cmpuint(member_table_group(table, "archive-feed")->len, ==, 2);
	member.groups = one;
	g_assert_true(member_table_update(table, &member, 1000));
	g_assert_cmpuint(member_table_group(table, "archive-feed")->len, ==, 1);
	g_assert_cmpuint(member_table_group(table, "lookup-desk")->len, ==, 2);
	member_table_remove(table, "katla-1");
	g_assert_cmpuint(member_table_group(table, "archive-feed")->len, ==, 0);
	g_assert_cmpuint(member_table_size(table), ==, 1);
	member_table_destroy(table);
}

static void count_change(struct member *member G_GNUC_UNUSED, void *data)
{
	(*(int *)data)++;
}

static void test_observers_are_called_on_changes_only(void)
{
	struct member_table *table = member_table_create();
	int changes = 0;
	struct member_observer observer = {.handle_changed = count_change,
					   .handle_removed = count_change,
					   .data = &changes};

	member_table_observe(table, &observer);
	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, true);
	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, false);
	member_table_remove(table, "esja-1");
	member_table_remove(table, "esja-1");
	g_assert_cmpint(changes, ==, 2);
	member_table_destroy(table);
}

static uint64_t digest_of_all(const struct member_table *table)
{
	uint64_t digest = 0;

	for (unsigned int i = 0; i < MEMBER_BUCKETS; i++)
		digest = digest * 31 + member_table_digest(table, i);
	return digest;
}

/* Guards against daemons that send each other the same records forever, when
 * their tables got the records in different orders or one of them still holds a
 * dead host. */
static void test_digest_covers_live_members_only(void)
{
	struct member_table *a = member_table_create();
	struct member_table *b = member_table_create();

	update_and_expect(a, "esja-1", 5, MEMBER_ALIVE, true);
	update_and_expect(a, "katla-1", 6, MEMBER_ALIVE, true);
	update_and_expect(b, "katla-1", 6, MEMBER_SUSPECT, true);
	g_assert_cmpuint(digest_of_all(a), !=, digest_of_all(b));
	update_and_expect(b, "esja-1", 4, MEMBER_ALIVE, true);
	update_and_expect(b, "esja-1", 5, MEMBER_ALIVE, true);
	update_and_expect(b, "hekla-1", 1, MEMBER_ALIVE, true);
	update_and_expect(b, "hekla-1", 1, MEMBER_DEAD, true);
	g_assert_cmpuint(digest_of_all(a), ==, digest_of_all(b));
	member_table_destroy(a);
	member_table_destroy(b);
}

/*
 * An entry caches the upstreams of a service and compares the group's version
 * to detect changes. If the version stayed the same when a host moves to
 * another group or is removed, calls would still be sent to that host.
 */
static void test_group_version_changes_with_members(void)
{
	struct member_table *table = member_table_create();
	struct member member = record("esja-1", 6, MEMBER_ALIVE);
	char *moved[] = {"lookup-desk", NULL};
	uint64_t lookup;
	uint64_t archive;

	g_assert_cmpuint(member_table_group_version(table, "lookup-desk"), ==, 0);
	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, true);
	lookup = member_table_group_version(table, "lookup-desk");
	archive = member_table_group_version(table, "archive-feed");
	g_assert_cmpuint(lookup, !=, 0);
	member.groups = moved;
	member_table_update(table, &member, 1000);
	g_assert_cmpuint(member_table_group_version(table, "lookup-desk"), !=,
			 lookup);
	g_assert_cmpuint(member_table_group_version(table, "archive-feed"), ==,
			 0);
	lookup = member_table_group_version(table, "lookup-desk");
	update_and_expect(table, "esja-1", 6, MEMBER_SUSPECT, true);
	g_assert_cmpuint(member_table_group_version(table, "lookup-desk"), !=,
			 lookup);
	member_table_remove(table, "esja-1");
	g_assert_cmpuint(member_table_group_version(table, "lookup-desk"), ==, 0);
	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, true);
	g_assert_cmpuint(member_table_group_version(table, "archive-feed"), !=,
			 archive);
	g_assert_cmpuint(member_table_group_version(table, "lookup-desk"), !=,
			 lookup);
	member_table_destroy(table);
}

/* A change in one group must not make entries rebuild their other groups. */
static void test_other_groups_keep_their_version(void)
{
	struct member_table *table = member_table_create();
	struct member member = record("esja-2", 5, MEMBER_ALIVE);
	char *other[] = {"videos", NULL};
	uint64_t version;

	update_and_expect(table, "esja-1", 5, MEMBER_ALIVE, true);
	version = member_table_group_version(table, "lookup-desk");
	member.groups = other;
	member_table_update(table, &member, 1000);
	member_table_remove(table, "esja-2");
	g_assert_cmpuint(member_table_group_version(table, "lookup-desk"), ==,
			 version);
	member_table_destroy(table);
}

/* Guards against none or all of the daemons being elected: each live one has a
 * place of its own, and others' places don't count. */
static void test_live_members_have_one_order(void)
{
	static const char *const hosts[] = {"esja-1", "esja-2", "esja-3"};
	struct member_table *table = member_table_create();
	bool is_taken[G_N_ELEMENTS(hosts)] = {false};

	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++)
		update_and_expect(table, hosts[i], 5, MEMBER_ALIVE, true);
	update_and_expect(table, "esja-4", 5, MEMBER_SUSPECT, true);
	update_and_expect(table, "esja-5", 5, MEMBER_DEAD, true);
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
		unsigned int place = member_table_count_before(
			table, hosts[i], "key", "hall-esja", 9);

		g_assert_cmpuint(place, <, G_N_ELEMENTS(hosts));
		g_assert_false(is_taken[place]);
		is_taken[place] = true;
		g_assert_cmpuint(member_table_count_before(table, hosts[i],
							   "key", NULL, 9),
				 ==, place);
		g_assert_cmpuint(member_table_count_before(table, hosts[i],
							   "key", NULL, 1),
				 ==, MIN(place, 1));
		g_assert_cmpuint(member_table_count_before(table, hosts[i], "key",
							   "hall-katla", 9),
				 ==, 0);
	}
	member_table_destroy(table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member_table/outdated-record",
			test_outdated_record_is_ignored);
	g_test_add_func("/member_table/groups", test_group_index_follows_records);
	g_test_add_func("/member_table/observers",
			test_observers_are_called_on_changes_only);
	g_test_add_func("/member_table/digest",
			test_digest_covers_live_members_only);
	g_test_add_func("/member_table/group-versions",
			test_group_version_changes_with_members);
	g_test_add_func("/member_table/other-groups",
			test_other_groups_keep_their_version);
	g_test_add_func("/member_table/order", test_live_members_have_one_order);
	return g_test_run();
}
