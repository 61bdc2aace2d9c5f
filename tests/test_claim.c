#include <ev.h>
#include <glib.h>
#include <string.h>

#include "comfreydockd/caller/claim.h"
#include "comfreydockd/caller/claim_sweep.h"
#include "comfreydockd/platform/platform.h"
#include "common/clock.h"
#include "paused_clock.h"

#define CALLERS 6
#define STEP_US (5 * US_PER_MS)

/* A platform of one table. Percentages say what becomes of a call. */
struct platform {
	GTree *rows; /* key -> struct platform_row */
	uint64_t last_version;
	int unavailable;
	int lost; /* the answer: half the time it took effect */
	int late; /* the answer is lost and the effect comes seconds after */
	int slow_ms;
	unsigned int open;
};

struct call {
	ev_timer timer;
	struct platform *platform;
	char *key;
	enum platform_op_kind kind;
	int64_t if_version;
	char *value;
	bool is_list;
	bool is_write;
	bool fails; /* without effect */
	bool is_lost;
	platform_handler handler; /* NULL: a late effect, nobody listens */
	void *data;
};

static struct ev_loop *loop;

static void free_row(gpointer data)
{
	struct platform_row *row = data;

	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

static void platform_init(struct platform *p)
{
	memset(p, 0, sizeof(*p));
	p->rows = g_tree_new_full((GCompareDataFunc)(void *)strcmp, NULL, NULL,
				  free_row);
}

static enum platform_status write_row(struct call *call,
				      struct platform_row *result)
{
	struct platform *p = call->platform;
	struct platform_row *row = g_tree_lookup(p->rows, call->key);

	if (call->if_version != PLATFORM_ANY_VERSION &&
	    (int64_t)(row ? row->version : 0) != call->if_version)
		return PLATFORM_CONFLICT;
	if (call->kind == PLATFORM_DELETE) {
		g_tree_remove(p->rows, call->key);
		return PLATFORM_OK;
	}
	row = g_new0(struct platform_row, 1);
	row->key = g_strdup(call->key);
	row->value = g_strdup(call->value);
	row->version = ++p->last_version;
	g_tree_replace(p->rows, row->key, row);
	*result = *row;
	return PLATFORM_OK;
}

static gboolean collect(gpointer key, gpointer value, gpointer data)
{
	const struct platform_row *row = value;

	(void)key;
	g_array_append_val((GArray *)data, *row);
	return FALSE;
}

static void answer_read(struct call *call)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct platform_row));
	const struct platform_row *row =
		g_tree_lookup(call->platform->rows, call->key);
	struct platform_answer answer = {.status = PLATFORM_OK};

	if (call->is_list)
		g_tree_foreach(call->platform->rows, collect, rows);
	else if (row)
		g_array_append_val(rows, *row);
	else
		answer.status = PLATFORM_NOT_FOUND;
	if (call->fails || call->is_lost)
		answer.status = PLATFORM_UNAVAILABLE;
	answer.rows = (const struct platform_row *)rows->data;
	answer.row_count = answer.status == PLATFORM_OK ? rows->len : 0;
	call->handler(&answer, call->data);
	g_array_unref(rows);
}

static void answer_write(struct call *call)
{
	struct platform_row row = {NULL};
	struct platform_answer answer = {
		.status = PLATFORM_UNAVAILABLE,
		.rows = &row,
	};

	if (!call->fails)
		answer.status = write_row(call, &row);
	if (call->is_lost)
		answer.status = PLATFORM_UNKNOWN;
	answer.row_count = answer.status == PLATFORM_OK;
	if (call->handler)
		call->handler(&answer, call->data);
}

static void handle_due(struct ev_loop *l, ev_timer *timer, int events)
{
	struct call *call = timer->data;

	(void)l;
	(void)events;
	if (call->is_write)
		answer_write(call);
	else
		answer_read(call);
	call->platform->open--;
	g_free(call->key);
	g_free(call->value);
	g_free(call);
}

static bool happens(int percent)
{
	return g_test_rand_int_range(0, 100) < percent;
}

static void start(struct call call, int ms)
{
	struct call *copy = g_new(struct call, 1);

	*copy = call;
	copy->platform->open++;
	ev_timer_init(&copy->timer, handle_due, ms / 1000.0, 0.0);
	copy->timer.data = copy;
	ev_timer_start(loop, &copy->timer);
}

static void start_faulty(struct call call)
{
	struct platform *p = call.platform;
	int ms = g_test_rand_int_range(1, 3 + p->slow_ms);

	if (happens(p->unavailable)) {
		call.fails = true;
	} else if (happens(p->lost)) {
		call.is_lost = true;
		call.fails = happens(50);
	} else if (call.is_write && happens(p->late)) {
		struct call late = call;

		late.key = g_strdup(call.key);
		late.value = g_strdup(call.value);
		late.handler = NULL;
		start(late, ms + g_test_rand_int_range(1, 5000));
		call.is_lost = true;
		call.fails = true;
	}
	start(call, ms);
}

void platform_get(struct platform *p, const char *key, platform_handler handler,
		  void *data)
{
	start_faulty((struct call){.platform = p,
				   .key = g_strdup(key),
				   .handler = handler,
				   .data = data});
}

void platform_list(struct platform *p, const char *prefix, const char *after,
		   unsigned int limit, platform_handler handler, void *data)
{
	(void)after;
	(void)limit;
	start_faulty((struct call){.platform = p,
				   .key = g_strdup(prefix),
				   .is_list = true,
				   .handler = handler,
				   .data = data});
}

void platform_transact(struct platform *p, const char *id,
		       const struct platform_op *ops, size_t count,
		       platform_handler handler, void *data)
{
	g_assert_nonnull(id);
	g_assert_cmpuint(count, ==, 1);
	start_faulty((struct call){.platform = p,
				   .key = g_strdup(ops->key),
				   .kind = ops->kind,
				   .if_version = ops->if_version,
				   .value = g_strdup(ops->value),
				   .is_write = true,
				   .handler = handler,
				   .data = data});
}

static void run_ms(int64_t ms)
{
	for (int64_t us = 0; us < ms * US_PER_MS; us += STEP_US) {
		paused_clock_advance_us(STEP_US);
		ev_run(loop, EVRUN_NOWAIT);
	}
}

struct caller {
	struct claim *claim;
	int result; /* -1: none yet */
	unsigned int status;
};

static void handle_result(enum claim_result result, unsigned int status,
			  void *data)
{
	struct caller *caller = data;

	g_assert_cmpint(caller->result, ==, -1);
	caller->result = (int)result;
	caller->status = status;
	if (result != CLAIM_TAKEN)
		caller->claim = NULL;
}

static void take(struct claims *claims, struct caller *caller, uint32_t lifetime_s)
{
	struct claim_request request = {"t", "s", "booking-1", lifetime_s};

	caller->result = -1;
	caller->claim = claim_take(claims, &request, handle_result, caller);
}

/* RETURN VALUE: whether the request ran. */
static bool end_at_random(struct caller *caller)
{
	struct claim *claim = caller->claim;

	caller->claim = NULL;
	switch (g_test_rand_int_range(0, 3)) {
	case 0:
		claim_end_done(claim, 201);
		return true;
	case 1:
		claim_end_kept(claim);
		return true;
	default:
		claim_end_released(claim);
		return false;
	}
}

/* RETURN VALUE: how many of the callers' requests ran. */
static unsigned int race(struct claims *claims, struct caller *callers)
{
	unsigned int runs = 0;

	for (int i = 0; i < CALLERS; i++) {
		take(claims, &callers[i], 3600);
		run_ms(g_test_rand_int_range(0, 500));
		for (int j = 0; j <= i; j++) {
			if (callers[j].claim && callers[j].result == CLAIM_TAKEN)
				runs += end_at_random(&callers[j]);
			else if (callers[j].claim && happens(10))
				claim_end_released(
					g_steal_pointer(&callers[j].claim));
		}
	}
	run_ms(8000);
	for (int i = 0; i < CALLERS; i++) {
		if (callers[i].claim && callers[i].result == CLAIM_TAKEN)
			runs += end_at_random(&callers[i]);
	}
	return runs;
}

/*
 * A skydiver's client confirms, hears nothing, and confirms again, through
 * other daemons, while the platform loses answers and applies writes late. Two
 * that are both told "taken" would charge the card twice.
 */
static void test_a_key_runs_at_most_once(void)
{
	unsigned int all = 0;

	for (int round = 0; round < 60; round++) {
		struct caller callers[CALLERS] = {{NULL}};
		struct platform platform;
		struct claims *claims;
		unsigned int runs;

		platform_init(&platform);
		claims = claims_create(loop, &platform);
		platform.unavailable = g_test_rand_int_range(0, 30);
		platform.lost = g_test_rand_int_range(0, 40);
		platform.late = g_test_rand_int_range(0, 30);
		platform.slow_ms = g_test_rand_int_range(0, 300);
		runs = race(claims, callers);
		g_assert_cmpuint(runs, <=, 1);
		all += runs;
		run_ms(30000);
		g_assert_cmpuint(claims_busy(claims), ==, 0);
		g_assert_cmpuint(platform.open, ==, 0);
		claims_destroy(claims);
		g_tree_unref(platform.rows);
	}
	g_assert_cmpuint(all, >, 30);
}

static void test_second_is_told_what_became_of_the_first(void)
{
	struct caller first;
	struct caller second;
	struct platform platform;
	struct claims *claims;

	platform_init(&platform);
	claims = claims_create(loop, &platform);
	take(claims, &first, 10);
	run_ms(100);
	g_assert_cmpint(first.result, ==, CLAIM_TAKEN);
	take(claims, &second, 10);
	run_ms(100);
	g_assert_cmpint(second.result, ==, CLAIM_IN_USE);
	claim_end_done(first.claim, 201);
	run_ms(100);
	take(claims, &second, 10);
	run_ms(100);
	g_assert_cmpint(second.result, ==, CLAIM_DONE);
	g_assert_cmpuint(second.status, ==, 201);
	/* Past its time and the margin for clocks that differ. */
	paused_clock_advance_us((10 * 1000 + CLAIM_MARGIN_MS) * US_PER_MS);
	take(claims, &second, 10);
	run_ms(100);
	g_assert_cmpint(second.result, ==, CLAIM_TAKEN);
	claim_end_released(second.claim);
	run_ms(100);
	g_assert_cmpint(g_tree_nnodes(platform.rows), ==, 0);
	claims_destroy(claims);
	g_tree_unref(platform.rows);
}

/* With the platform down nobody can tell whether the key was taken, so the
 * request must not run. */
static void test_nothing_is_taken_without_the_platform(void)
{
	struct caller caller;
	struct platform platform;
	struct claims *claims;

	platform_init(&platform);
	platform.unavailable = 100;
	claims = claims_create(loop, &platform);
	take(claims, &caller, 10);
	run_ms(100);
	g_assert_cmpint(caller.result, ==, CLAIM_UNAVAILABLE);
	claims_destroy(claims);
	g_tree_unref(platform.rows);
}

/*
 * The platform is so slow that the caller is told "not run" before the claim's
 * write has landed. It lands after all. If it stayed, the caller who comes
 * back, as it was told to, would hear that its booking may have been made.
 */
static void test_late_claim_of_a_refused_request_is_deleted(void)
{
	struct platform platform;
	struct claims *claims;
	struct caller caller;

	platform_init(&platform);
	claims = claims_create(loop, &platform);
	platform.late = 100;
	take(claims, &caller, 3600);
	platform.late = 0;
	run_ms(100);
	claim_end_released(caller.claim);
	run_ms(15000);
	g_assert_cmpint(g_tree_nnodes(platform.rows), ==, 0);
	g_assert_cmpuint(claims_busy(claims), ==, 0);
	claims_destroy(claims);
	g_tree_unref(platform.rows);
}

static bool is_due(void *data)
{
	(void)data;
	return true;
}

static void test_sweep_deletes_what_has_expired(void)
{
	struct platform platform;
	struct claim_sweep *sweep;
	struct claims *claims;
	struct caller caller;

	platform_init(&platform);
	claims = claims_create(loop, &platform);
	sweep = claim_sweep_create(loop, &platform, is_due, NULL);
	take(claims, &caller, 10);
	run_ms(100);
	claim_end_kept(caller.claim);
	claim_sweep_run(sweep);
	run_ms(100);
	g_assert_cmpint(g_tree_nnodes(platform.rows), ==, 1);
	paused_clock_advance_us((10 * 1000 + CLAIM_MARGIN_MS) * US_PER_MS);
	run_ms((int64_t)(CLAIM_SWEEP_S * 3000));
	g_assert_cmpint(g_tree_nnodes(platform.rows), ==, 0);
	claim_sweep_destroy(sweep);
	claims_destroy(claims);
	while (platform.open)
		run_ms(10);
	g_tree_unref(platform.rows);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	loop = ev_default_loop(0);
	g_test_add_func("/claim/once", test_a_key_runs_at_most_once);
	g_test_add_func("/claim/second",
			test_second_is_told_what_became_of_the_first);
	g_test_add_func("/claim/late",
			test_late_claim_of_a_refused_request_is_deleted);
	g_test_add_func("/claim/no-platform",
			test_nothing_is_taken_without_the_platform);
	g_test_add_func("/claim/sweep", test_sweep_deletes_what_has_expired);
	return g_test_run();
}
