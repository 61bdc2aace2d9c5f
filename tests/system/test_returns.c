#include <glib.h>
#include <string.h>

#include "cluster.h"

/*
 * A call that no upstream has a free slot for, while the number of available
 * upstreams shrinks.
 */

#define ENTRY 0
#define OTHER 1
#define NEAR 2 /* in the failure domain of the entry, so it is preferred */
#define WAIT_UP_MS 15000
#define CALL_MS 10000
/* Some of these calls run on the other upstream and finish there soon. */
#define FILLERS 10
#define FILL_MS 100
#define DELAY "{\"delay_ms\": 200}"
/* Long enough that the call is on its way, and shorter than the delay of its
 * refusal. */
#define DRAIN_AFTER_MS 50

static const struct cluster_options options = {
	.count = 3,
	.config =
		"{\"namespace\": \"t\", \"services\": {\"s\": {\n"
		" \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"
		" \"rules\": [{\"name\": \"any\", \"deadline_ms\": 8000,\n"
		"  \"retry\": {\"max_attempts\": 3, \"budget_percent\": 50}}]\n"
		" }}}\n",
	.slots = "1",
	.service_time_us = "20000",
	.upstreams = 1u << OTHER | 1u << NEAR,
	.relayed = 1u << NEAR,
};
static struct cluster cluster;

static gpointer call_entry(gpointer data)
{
	(void)data;
	return cluster_call(&cluster, ENTRY, "POST", "/", "returns", NULL,
			    CALL_MS);
}

static gpointer call_near(gpointer data)
{
	(void)data;
	return cluster_call(&cluster, NEAR, "POST", "/", "fills", NULL, CALL_MS);
}

static bool near_is_full(void *data)
{
	char *status = rig_http_ok("GET", cluster.daemons[NEAR]->admin_port,
				   "/v1/status", NULL);
	bool full = rig_json_int(status, "running") == 1;

	(void)data;
	g_free(status);
	return full;
}

static void assert_run(struct rig_answer *answer)
{
	g_assert_true(answer->arrived);
	g_assert_cmpstr(cluster_outcome(answer), ==, "run");
	rig_answer_free(answer);
}

/*
 * A call is sent to a near upstream that turns out to be full. The owner
 * refuses it at once, because another upstream seemed to have a free slot, but
 * that one starts to drain before the refusal arrives. The entry must send the
 * call back to wait at the near upstream: if it answered "not run", the caller
 * would have to retry although the slot is free within a second.
 */
static void test_refused_call_returns_to_the_full_upstream(void)
{
	GThread *fillers[FILLERS];
	unsigned int count = 0;
	GThread *caller;

	/* The entry learns that both have free slots and that the other
	 * upstream is slower. */
	cluster_set_upstream(&cluster, OTHER, "{\"factor\": 5}");
	for (int i = 0; i < 20; i++)
		rig_answer_free(cluster_call(&cluster, ENTRY, "POST", "/",
					     "learns", NULL, CALL_MS));
	cluster_set_upstream(&cluster, NEAR, "{\"factor\": 75}");
	do
		fillers[count++] = g_thread_new("filler", call_near, NULL);
	while (!rig_wait_until(near_is_full, NULL, FILL_MS) && count < FILLERS);
	g_assert_true(near_is_full(NULL));
	cluster_set_upstream(&cluster, NEAR, "{\"factor\": 1}");
	cluster_set_relay(&cluster, NEAR, DELAY);
	caller = g_thread_new("caller", call_entry, NULL);
	rig_sleep_ms(DRAIN_AFTER_MS);
	g_free(rig_http_ok("POST", cluster.daemons[OTHER]->admin_port,
			   "/v1/upstream/drain", ""));
	assert_run(g_thread_join(caller));
	for (unsigned int i = 0; i < count; i++)
		assert_run(g_thread_join(fillers[i]));
}

int main(int argc, char **argv)
{
	int status;

	g_test_init(&argc, &argv, NULL);
	cluster_start(&cluster, &options);
	cluster_wait_up(&cluster, 2, WAIT_UP_MS);
	g_test_add_func("/returns/full-upstream",
			test_refused_call_returns_to_the_full_upstream);
	status = g_test_run();
	cluster_stop(&cluster);
	return status;
}
