#include <glib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "rows_fixture.h"

#define CRASHING_KEY 7

/* Marks a request with three crashes: one on this host, two on other hosts. */
static void quarantine_key_in(struct quarantine *quarantine, uint64_t key)
{
	static const char *const hosts[] = {"surco-1", "surco-2", "callao-1"};

	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++)
		quarantine_note_crash(
			quarantine, key,
			quarantine_crash_id(member_host_hash(hosts[i]), key),
			clock_mono_us());
}

static void quarantine_key(uint64_t key)
{
	quarantine_key_in(fixture.quarantine, key);
}

/* Guards against requests that crash upstreams again after all daemons that held
 * them were lost at once. */
static void test_quarantine_survives_power_loss(void)
{
	rows_begin(STORE_UP);
	rows_run(10);
	quarantine_key(CRASHING_KEY);
	rows_run(2);
	rows_stop();
	rows_start();
	g_assert_cmpuint(quarantine_held_count(fixture.quarantine), ==, 0);
	rows_run(2);
	g_assert_cmpuint(quarantine_held_count(fixture.quarantine), ==, 1);
	g_assert_cmpint(quarantine_judge(fixture.quarantine, CRASHING_KEY,
					 clock_mono_us())
				.verdict,
			==, QUARANTINE_HELD);
	rows_finish();
}

/* Guards against a request that is refused after a power loss although it had
 * been cleared. */
static void test_cleared_request_stays_cleared(void)
{
	rows_begin(STORE_UP);
	rows_run(10);
	quarantine_key(CRASHING_KEY);
	rows_run(2);
	quarantine_note_answer(fixture.quarantine, CRASHING_KEY, clock_mono_us());
	rows_run(2);
	rows_stop();
	rows_start();
	rows_run(10);
	g_assert_cmpuint(quarantine_held_count(fixture.quarantine), ==, 0);
	rows_finish();
}

/* Guards against a daemon that has lost all its peers and lets a request through
 * that crashed upstreams on their hosts. */
static void test_isolated_daemon_reads_peer_rows(void)
{
	struct quarantine *other =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);

	rows_begin(STORE_UP);
	rows_run(10);
	quarantine_key_in(other, CRASHING_KEY);
	rows_put_row_with("surco-2", 5, other);
	rows_run(3);
	g_assert_cmpuint(quarantine_held_count(fixture.quarantine), ==, 1);
	quarantine_destroy(other);
	rows_finish();
}

/* Guards against hosts that call the store for each crash on any host. */
static void test_unaffected_hosts_write_no_row(void)
{
	rows_begin(STORE_UP);
	rows_add_member("surco-2", 5, MEMBER_ALIVE);
	rows_run(10);
	fixture.store.reads = fixture.store.writes = 0;
	for (uint64_t key = 1; key <= QUARANTINE_RECORDS_MAX; key++) {
		for (uint32_t i = 0; i < QUARANTINE_CRASHES; i++)
			quarantine_note_crash(fixture.quarantine, key,
					      quarantine_crash_id(i, key),
					      clock_mono_us());
	}
	rows_run(10);
	g_assert_cmpuint(fixture.store.reads + fixture.store.writes, ==, 0);
	rows_finish();
}

/* Guards against a row that grows without bound with the held requests. */
static void test_row_size_is_bounded(void)
{
	enum {
		ROW_BYTES_MAX = 2048
	};

	rows_begin(STORE_UP);
	rows_run(10);
	fixture.store.writes = 0;
	for (uint64_t key = 1; key <= QUARANTINE_RECORDS_MAX; key++)
		quarantine_key(key);
	rows_run(10);
	g_assert_cmpuint(fixture.store.writes, ==, 1);
	g_assert_cmpuint(strlen(rows_stored("hosts/surco-1")), <, ROW_BYTES_MAX);
	rows_run(HOUR);
	g_assert_cmpuint(fixture.store.writes, ==, 1);
	rows_finish();
}

static void test_malformed_quarantine_is_skipped(void)
{
	static const char *const bad[] = {
		"{}",
		"{\"quarantine\":{}}",
		"{\"quarantine\":[1,{}]}",
		"{\"quarantine\":[{\"content\":\"0000000000000007\"}]}",
		"{\"quarantine\":[{\"content\":7,\"crashes\":[]}]}",
		"{\"quarantine\":[{\"content\":\"0000000000000007\","
		"\"crashes\":[1,2,3]}]}",
		"{\"quarantine\":[{\"content\":\"0000000000000007\","
		"\"crashes\":[\"0000000000000002\",\"0000000000000001\","
		"\"0000000000000003\"]}]}",
	};
	struct quarantine *taken =
		quarantine_create(QUARANTINE_TRIAL_US, NULL, NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpuint(rows_decode_quarantine(bad[i], strlen(bad[i]),
							taken, 0),
				 ==, 0);
	g_assert_cmpuint(quarantine_held_count(taken), ==, 0);
	quarantine_destroy(taken);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/rows-quarantine/power-loss",
			test_quarantine_survives_power_loss);
	g_test_add_func("/rows-quarantine/cleared",
			test_cleared_request_stays_cleared);
	g_test_add_func("/rows-quarantine/no-peers",
			test_isolated_daemon_reads_peer_rows);
	g_test_add_func("/rows-quarantine/unaffected-hosts",
			test_unaffected_hosts_write_no_row);
	g_test_add_func("/rows-quarantine/bounded", test_row_size_is_bounded);
	g_test_add_func("/rows-quarantine/malformed",
			test_malformed_quarantine_is_skipped);
	return g_test_run();
}
