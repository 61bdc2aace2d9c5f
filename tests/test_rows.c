#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "rows_fixture.h"

static void store_leave_result(bool is_deleted, void *data)
{
	*(int *)data = is_deleted;
}

/*
 * The platform loses the answer to the first write, which took effect. A daemon
 * that repeated the write without reading the row would get conflicts forever.
 */
static void test_lost_write_answer_is_resolved(void)
{
	int left = -1;

	rows_begin(STORE_LOSES_ANSWERS);
	rows_run(120);
	g_assert_nonnull(rows_stored("hosts/surco-1"));
	g_assert_cmpuint(fixture.store.writes, ==, 1);
	rows_leave(fixture.rows, store_leave_result, &left);
	rows_run(5);
	g_assert_cmpint(left, ==, 1);
	g_assert_null(rows_stored("hosts/surco-1"));
	rows_run(2 * HOUR);
	g_assert_null(rows_stored("hosts/surco-1"));
	rows_finish();
}

/*
 * The platform is unavailable for six hours while 22,000 daemons try to reach
 * it. If each retried every second, their load would keep it down. If they gave
 * up, hosts that start later would not find them.
 */
static void test_store_outage_backs_off(void)
{
	int left = -1;

	rows_begin(STORE_DOWN);
	rows_run(6 * HOUR);
	g_assert_cmpuint(fixture.store.reads, <, 2 * 6 * HOUR / 150 + 40);
	fixture.store.mode = STORE_UP;
	rows_run(600);
	g_assert_nonnull(rows_stored("hosts/surco-1"));
	fixture.store.mode = STORE_DOWN;
	rows_leave(fixture.rows, store_leave_result, &left);
	rows_run(10);
	g_assert_cmpint(left, ==, 0);
	rows_finish();
}

static void test_peers_are_found_page_by_page(void)
{
	char host[32];

	rows_begin(STORE_UP);
	for (int i = 0; i < 120; i++) {
		snprintf(host, sizeof(host), "callao-%03d", i);
		rows_put_row(host, 5);
	}
	rows_put_row("surco-2", 5);
	rows_run(5);
	g_assert_cmpuint(fixture.joined->len, >, 0);
	rows_run(60);
	rows_add_member("surco-2", 5, MEMBER_ALIVE);
	rows_run(60);
	fixture.store.reads = 0;
	rows_run(6 * HOUR);
	/* The own row, a page and the row of an unknown host, each about every
	 * 10 minutes. */
	g_assert_cmpuint(fixture.store.reads, <, 3 * 6 * HOUR / 600 + 15);
	rows_finish();
}

/*
 * A failure domain comes back, and its hosts find peers through their settings.
 * If each still read a page at once, the platform would get all these reads
 * within half a second, and the operators' applies would wait behind them.
 */
static void test_host_with_peers_delays_first_page(void)
{
	rows_begin(STORE_UP);
	rows_put_row("zarate-1", 5);
	rows_add_member("surco-2", 5, MEMBER_ALIVE);
	rows_run(4);
	g_assert_cmpuint(fixture.joined->len, ==, 0);
	rows_run(60);
	/* Only the own row was read. */
	g_assert_cmpuint(fixture.store.reads, ==, 1);
	rows_run(1200);
	/* A page is still read at the regular interval. */
	g_assert_cmpuint(fixture.joined->len, >, 0);
	rows_finish();
}

/*
 * A host dies and leaves its row behind, and its successor with the same id
 * writes a new one. If the death of the old incarnation still counted, the
 * successor's row would be deleted and daemons that start would not find it.
 */
static void test_stale_rows_are_deleted_by_incarnation(void)
{
	rows_begin(STORE_UP);
	rows_put_row("callao-1", 5);
	rows_put_row("callao-2", 9);
	rows_put_row("callao-3", 5);
	rows_add_member("callao-1", 5, MEMBER_DEAD);
	rows_add_member("callao-2", 5, MEMBER_DEAD);
	rows_add_member("callao-3", 5, MEMBER_ALIVE);
	rows_run(5 * HOUR);
	g_assert_nonnull(rows_stored("hosts/callao-1"));
	rows_run(3 * HOUR);
	g_assert_null(rows_stored("hosts/callao-1"));
	g_assert_nonnull(rows_stored("hosts/callao-2"));
	g_assert_nonnull(rows_stored("hosts/callao-3"));
	rows_finish();
}

static void test_unknown_hosts_row_is_deleted(void)
{
	rows_begin(STORE_UP);
	rows_put_row("callao-3", 5);
	rows_put_row("callao-4", 5);
	rows_add_member("callao-3", 5, MEMBER_ALIVE);
	rows_run(5 * HOUR);
	g_assert_nonnull(rows_stored("hosts/callao-4"));
	rows_run(4 * HOUR);
	g_assert_null(rows_stored("hosts/callao-4"));
	rows_finish();
}

/*
 * A daemon was suspended, and its host's id was given to another host, which
 * writes its row from time to time. The old daemon must neither overwrite that
 * row when it resumes nor delete it when it leaves, or daemons that start would
 * not find the new host.
 */
static void test_row_of_later_start_is_kept(void)
{
	int left = -1;

	rows_begin(STORE_UP);
	for (int i = 0; i < 20; i++) {
		rows_put_row("surco-1", 60 + i);
		rows_run(300);
	}
	g_assert_cmpuint(fixture.store.writes, ==, 0);
	rows_leave(fixture.rows, store_leave_result, &left);
	rows_run(5);
	g_assert_cmpint(left, ==, 1);
	g_assert_cmpuint(fixture.store.deletes, ==, 0);
	rows_finish();
}

/*
 * The host's clock was set back between two starts, so that the row of the
 * earlier start has the higher incarnation. That row never changes again and
 * must be replaced, or daemons would find only the host's old address.
 */
static void test_row_of_earlier_start_is_replaced(void)
{
	rows_begin(STORE_UP);
	rows_put_row("surco-1", 60);
	rows_run(120);
	g_assert_cmpuint(fixture.store.writes, ==, 0);
	rows_run(1200);
	g_assert_cmpuint(fixture.store.writes, ==, 1);
	g_assert_nonnull(
		strstr(rows_stored("hosts/surco-1"), "\"incarnation\":61"));
	rows_finish();
}

static void test_deleted_row_is_written_again(void)
{
	rows_begin(STORE_UP);
	rows_run(120);
	g_tree_remove(fixture.store.rows, "hosts/surco-1");
	rows_run(1200);
	g_assert_nonnull(rows_stored("hosts/surco-1"));
	rows_finish();
}

/* Guards against hosts that have no row for minutes after the store was restored
 * from a copy. Daemons that start in this time would not find them. */
static void test_row_is_rewritten_after_restore(void)
{
	rows_begin(STORE_UP);
	rows_run(120);
	g_tree_remove(fixture.store.rows, "hosts/surco-1");
	rows_note_store_restored(fixture.rows);
	rows_run((int)(ROWS_RESTORED_CHECK_MAX_US / US_PER_S) + 1);
	g_assert_nonnull(rows_stored("hosts/surco-1"));
	rows_finish();
}

/* The daemon exits while the platform is slow, and the answer arrives later. */
static void test_late_answer_is_dropped(void)
{
	rows_begin(STORE_HOLDS_READS);
	rows_run(1);
	g_assert_cmpuint(fixture.store.held_answer_count, >, 0);
	rows_destroy(fixture.rows);
	fixture.rows = NULL;
	for (size_t i = 0; i < fixture.store.held_answer_count; i++)
		fixture.store.held_answers[i].handler(
			ROWS_OK, NULL, 0, fixture.store.held_answers[i].data);
	rows_finish();
}

static void test_malformed_rows_are_rejected(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"host\":\"a\"}",
		"{\"host\":\"a\",\"incarnation\":1,\"address\":\"a\","
		"\"peer_port\":1}",
		"{\"host\":\"a\",\"incarnation\":-1,\"address\":\"::1\","
		"\"peer_port\":1}",
		"{\"host\":\"a\",\"incarnation\":1,\"address\":\"::1\","
		"\"peer_port\":0}",
		"{\"host\":1,\"incarnation\":1,\"address\":\"::1\","
		"\"peer_port\":1}",
	};
	const char *good = "{\"host\":\"a\",\"incarnation\":1,"
			   "\"address\":\"::1\",\"peer_port\":1}";
	struct member member;

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(rows_decode(bad[i], strlen(bad[i]), &member));
	g_assert_true(rows_decode(good, strlen(good), &member));
}

#define ODD_ROW(incarnation, port, more)                     \
	"{\"host\":\"surco-5\",\"incarnation\":" incarnation \
	",\"address\":\"10.0.0.9\",\"peer_port\":" port more "}"

/* Guards against a daemon that ends, or stops following the table, at a row of
 * another writer. */
static void test_odd_row_among_others(void)
{
	char *nested = g_strnfill(100000, '[');
	char *nested_row =
		g_strconcat("{\"host\":\"surco-5\",\"more\":", nested, NULL);
	const char *const odd[] = {
		nested,
		nested_row,
		ODD_ROW("1e400", "7000", ""),
		ODD_ROW("18446744073709551616", "7000", ""),
		ODD_ROW("-9223372036854775809", "7000", ""),
		ODD_ROW("5", "65536", ""),
		ODD_ROW("5", "-1", ""),
		ODD_ROW("5", "1e400", ""),
		ODD_ROW("5", "7000", ",\"quarantine\":[[],{\"key\":1e400},7]"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		rows_begin(STORE_UP);
		rows_put_row("surco-4", 5);
		rows_put_text("surco-5", odd[i]);
		rows_put_row("surco-6", 5);
		rows_run(60);
		/* The good rows of a page, and the odd one where it is no worse
		 * than that of an unknown host. */
		g_assert_cmpuint(fixture.joined->len, >=,
				 2 * strlen("10.0.0.9:7000 "));
		g_string_truncate(fixture.joined, 0);
		rows_put_row("surco-7", 5);
		rows_run(60);
		g_assert_cmpuint(fixture.joined->len, >=,
				 3 * strlen("10.0.0.9:7000 "));
		rows_finish();
	}
	g_free(nested_row);
	g_free(nested);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/rows/lost-answer", test_lost_write_answer_is_resolved);
	g_test_add_func("/rows/outage", test_store_outage_backs_off);
	g_test_add_func("/rows/pages", test_peers_are_found_page_by_page);
	g_test_add_func("/rows/delayed-page",
			test_host_with_peers_delays_first_page);
	g_test_add_func("/rows/stale",
			test_stale_rows_are_deleted_by_incarnation);
	g_test_add_func("/rows/unknown-host", test_unknown_hosts_row_is_deleted);
	g_test_add_func("/rows/later-start", test_row_of_later_start_is_kept);
	g_test_add_func("/rows/earlier-start",
			test_row_of_earlier_start_is_replaced);
	g_test_add_func("/rows/deleted", test_deleted_row_is_written_again);
	g_test_add_func("/rows/restored", test_row_is_rewritten_after_restore);
	g_test_add_func("/rows/late-answer", test_late_answer_is_dropped);
	g_test_add_func("/rows/malformed", test_malformed_rows_are_rejected);
	g_test_add_func("/rows/odd", test_odd_row_among_others);
	return g_test_run();
}
