#include <ev.h>
#include <glib.h>
#include <stdbool.h>

#include "common/clock.h"
#include "common/slice.h"
#include "paused_clock.h"

#define STEP_US 1000 /* of work between two calls of slice_yield() */
#define STEPS 100

static struct slice_queue *slice_queue;
static GString *trace_text; /* start and end of each job, in order */
static unsigned int ticks;
static unsigned int freed;

static void handle_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	ticks++;
}

static void work(void *data)
{
	const char *name = data;

	g_string_append_printf(trace_text, "%s( ", name);
	for (int i = 0; i < STEPS; i++) {
		paused_clock_advance_us(STEP_US);
		slice_yield();
	}
	g_string_append_printf(trace_text, ")%s ", name);
}

static void note_freed(void *data)
{
	(void)data;
	freed++;
}

static void begin(ev_timer *timer)
{
	trace_text = g_string_new(NULL);
	ticks = 0;
	freed = 0;
	slice_queue = slice_queue_create(EV_DEFAULT);
	ev_timer_init(timer, handle_tick, 0.0, 0.01);
	ev_timer_again(EV_DEFAULT, timer);
}

static void finish(ev_timer *timer)
{
	ev_timer_stop(EV_DEFAULT, timer);
	slice_queue_destroy(slice_queue);
	g_string_free(trace_text, TRUE);
}

static void run_loop(void)
{
	for (int i = 0; i < 3 * STEPS; i++) {
		paused_clock_advance_us(10);
		ev_run(EV_DEFAULT, EVRUN_NOWAIT);
	}
}

/*
 * A host with a tenth of a core needs a second to adopt a configuration of
 * thousands of routes. The loop must run during that time, because otherwise all
 * calls that the host accepts, and those sent to its upstream, would wait.
 */
static void test_loop_runs_during_job(void)
{
	ev_timer timer;

	begin(&timer);
	slice_queue_add(slice_queue, work, note_freed, (void *)"a");
	g_assert_cmpstr(trace_text->str, ==, "");
	run_loop();
	g_assert_cmpstr(trace_text->str, ==, "a( )a ");
	g_assert_cmpuint(freed, ==, 1);
	g_assert_cmpuint(ticks, >=, STEPS * STEP_US / 10000 - 1);
	finish(&timer);
}

static void work_and_add(void *data)
{
	slice_queue_add(slice_queue, work, note_freed, (void *)"b");
	work(data);
}

/* A job that is added while another one runs must wait for its end, because both
 * may change the same data. */
static void test_jobs_run_one_at_a_time_in_order(void)
{
	ev_timer timer;

	begin(&timer);
	slice_queue_add(slice_queue, work_and_add, note_freed, (void *)"a");
	slice_queue_add(slice_queue, work, note_freed, (void *)"c");
	run_loop();
	g_assert_cmpstr(trace_text->str, ==, "a( )a c( )c b( )b ");
	g_assert_cmpuint(freed, ==, 3);
	finish(&timer);
}

/* Whether a handler runs, and how often it was entered while it did. */
static bool is_handling;
static unsigned int reentered;

static void handle_slowly(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	if (is_handling) {
		reentered++;
		return;
	}
	is_handling = true;
	for (int i = 0; i < STEPS; i++) {
		paused_clock_advance_us(STEP_US);
		slice_yield();
	}
	is_handling = false;
}

/* Guards against an event handler that is entered again, or interrupted by
 * another one, because it takes long while a job runs. */
static void test_handlers_are_not_interrupted(void)
{
	ev_timer tick, slow;

	begin(&tick);
	reentered = 0;
	ev_timer_init(&slow, handle_slowly, 0.0, 0.02);
	ev_timer_again(EV_DEFAULT, &slow);
	slice_queue_add(slice_queue, work, note_freed, (void *)"a");
	run_loop();
	g_assert_cmpstr(trace_text->str, ==, "a( )a ");
	g_assert_cmpuint(reentered, ==, 0);
	ev_timer_stop(EV_DEFAULT, &slow);
	finish(&tick);
}

static void stop_loop(void *data)
{
	ev_break(EV_DEFAULT, EVBREAK_ALL);
	work(data);
}

/* Guards against a stop that leaves a job half done, with the memory that the
 * job holds. */
static void test_begun_job_is_finished(void)
{
	ev_timer timer;

	begin(&timer);
	slice_queue_add(slice_queue, stop_loop, note_freed, (void *)"a");
	slice_queue_add(slice_queue, work, note_freed, (void *)"b");
	ev_run(EV_DEFAULT, 0);
	g_assert_cmpstr(trace_text->str, ==, "a( ");
	slice_queue_finish_job(slice_queue);
	g_assert_cmpstr(trace_text->str, ==, "a( )a ");
	g_assert_cmpuint(freed, ==, 1);
	finish(&timer);
	g_assert_cmpuint(freed, ==, 2);
}

static void test_yield_outside_jobs_does_nothing(void)
{
	ev_timer timer;

	begin(&timer);
	slice_queue_add(NULL, work, note_freed, (void *)"a");
	g_assert_cmpstr(trace_text->str, ==, "a( )a ");
	g_assert_cmpuint(freed, ==, 1);
	g_assert_cmpuint(ticks, ==, 0);
	slice_queue_add(slice_queue, work, note_freed, (void *)"b");
	finish(&timer);
	g_assert_cmpuint(freed, ==, 2);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slice/loop-runs", test_loop_runs_during_job);
	g_test_add_func("/slice/order", test_jobs_run_one_at_a_time_in_order);
	g_test_add_func("/slice/handlers", test_handlers_are_not_interrupted);
	g_test_add_func("/slice/finish", test_begun_job_is_finished);
	g_test_add_func("/slice/outside", test_yield_outside_jobs_does_nothing);
	return g_test_run();
}
