#include <glib.h>

#include "comfreydockd/upstream/owner.h"
#include "comfreydockd/upstream/probe.h"
#include "comfreydockd/upstream/report.h"
#include "owner_fixture.h"
#include "platform/headers.h"

/* The starts of an upstream, as its owner learns of them from reports and from the
 * port. */

#define OTHER_GROUP "other"
/* The probe tries the port several times a second. */
#define PROBE_MS 1000

static void report(struct owner_fixture *f, const char *instance,
		   const char *group, uint64_t sequence)
{
	struct report report = {
		.instance = instance,
		.group = group,
		.address = "127.0.0.1",
		.port = f->port,
		.slots = 4,
		.sequence = sequence,
	};

	owner_handle_report(f->owner, &report);
}

/* Reports until the start is confirmed. No health path is configured here. */
static void report_start(struct owner_fixture *f, const char *instance,
			 const char *group)
{
	for (uint64_t i = 1; i <= REPORT_CONFIRM_COUNT; i++)
		report(f, instance, group, i);
}

/* Sends an attempt to the first group. RETURN VALUE: whether it was refused and did
 * not run. */
static bool is_refused(struct owner_fixture *f, uint64_t seq)
{
	owner_fixture_send(f, seq, (int)seq, true);
	owner_fixture_run_for(f, 100);
	return f->was_refused[seq] && f->runs[seq] == 0;
}

static void crash(struct owner_fixture *f)
{
	owner_fixture_stop_listening(f);
	for (uint64_t seq = 1; seq <= PROBE_REFUSALS; seq++)
		g_assert_true(is_refused(f, seq));
}

/* Guards against requests that run at an upstream of another service, which has got
 * the address and isn't confirmed yet, once its port accepts connections. */
static void test_address_of_another_service(struct owner_fixture *f,
					    gconstpointer unused)
{
	(void)unused;
	report_start(f, "i-1", OWNER_FIXTURE_GROUP);
	crash(f);
	report(f, "i-2", OTHER_GROUP, 1);
	owner_fixture_listen_again(f);
	owner_fixture_run_for(f, PROBE_MS);
	g_assert_true(is_refused(f, 5));
	report_start(f, "i-2", OTHER_GROUP);
	g_assert_true(is_refused(f, 6));
}

/* The same where the operator takes the drained host back in at that moment. */
static void test_resumed_before_the_new_start(struct owner_fixture *f,
					      gconstpointer unused)
{
	(void)unused;
	report_start(f, "i-1", OWNER_FIXTURE_GROUP);
	owner_drain(f->owner);
	report(f, "i-2", OTHER_GROUP, 1);
	owner_resume(f->owner);
	g_assert_true(is_refused(f, 5));
}

/* Guards against an upstream that gets nothing for good after its port refused
 * connections for a moment, or after a start of it was confirmed. */
static void test_known_start_returns(struct owner_fixture *f, gconstpointer unused)
{
	(void)unused;
	report_start(f, "i-1", OWNER_FIXTURE_GROUP);
	crash(f);
	owner_fixture_listen_again(f);
	owner_fixture_run_for(f, PROBE_MS);
	g_assert_false(is_refused(f, 5));
	report_start(f, "i-2", OWNER_FIXTURE_GROUP);
	g_assert_false(is_refused(f, 6));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/owner-starts/other-service", struct owner_fixture,
		   &platform_headers, owner_fixture_set_up,
		   test_address_of_another_service, owner_fixture_tear_down);
	g_test_add("/owner-starts/resumed", struct owner_fixture,
		   &platform_headers, owner_fixture_set_up,
		   test_resumed_before_the_new_start, owner_fixture_tear_down);
	g_test_add("/owner-starts/returns", struct owner_fixture,
		   &platform_headers, owner_fixture_set_up,
		   test_known_start_returns, owner_fixture_tear_down);
	return g_test_run();
}
