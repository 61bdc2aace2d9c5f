#include "config_platform_fake.h"

#include <string.h>

#include "common/clock.h"
#include "paused_clock.h"

#define ROWS 3 /* of a transaction: namespace, head and recent row */

/* One call, or the delayed effect of one. */
struct task {
	int64_t at_us;
	struct fake_platform *platform;
	char *keys[ROWS];
	uint64_t row_versions[ROWS];
	char *values[ROWS];
	bool is_object;
	bool writes;
	bool silent;
	enum config_platform_status status;
	config_get_handler get;
	config_done_handler done;
	void (*wait)(void *data);
	void *data;
};

static void free_row(gpointer data)
{
	struct fake_row *row = data;

	g_free(row->value);
	g_free(row);
}

static gint compare_tasks(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct task *left = a;
	const struct task *right = b;

	(void)unused;
	return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

static void post(struct fake_platform *p, struct task task, int64_t ms)
{
	struct task *copy = g_new(struct task, 1);

	*copy = task;
	copy->platform = p;
	copy->at_us = clock_mono_us() + ms * US_PER_MS;
	g_queue_insert_sorted(&p->tasks, copy, compare_tasks, NULL);
}

static bool write_rows(struct task *task)
{
	GHashTable *rows = task->platform->rows;

	for (int i = 0; i < ROWS && !task->is_object; i++) {
		struct fake_row *row = g_hash_table_lookup(rows, task->keys[i]);

		if (task->row_versions[i] != CONFIG_ANY_VERSION &&
		    (row ? row->version : 0) != task->row_versions[i])
			return false;
	}
	for (int i = 0; i < ROWS && !task->is_object; i++) {
		struct fake_row *row = g_new0(struct fake_row, 1);

		row->version = task->row_versions[i] + 1;
		row->value = g_strdup(task->values[i]);
		g_hash_table_replace(rows, g_strdup(task->keys[i]), row);
	}
	if (task->is_object)
		g_hash_table_replace(task->platform->objects,
				     g_strdup(task->keys[0]),
				     g_strdup(task->values[0]));
	task->platform->transactions += !task->is_object;
	return true;
}

static void run_task(struct task *task)
{
	struct fake_row *row;

	if (task->wait) {
		task->wait(task->data);
	} else if (task->get) {
		row = g_hash_table_lookup(task->platform->rows, task->keys[0]);
		task->get(task->status, row ? row->version : 0,
			  row ? row->value : NULL, 0, task->data);
	} else {
		if (task->writes && !write_rows(task) &&
		    task->status == CONFIG_PLATFORM_OK)
			task->status = CONFIG_PLATFORM_CONFLICT;
		if (!task->silent)
			task->done(task->status, task->data);
	}
	for (int i = 0; i < ROWS; i++) {
		g_free(task->keys[i]);
		g_free(task->values[i]);
	}
	g_free(task);
}

void fake_platform_run(struct fake_platform *p)
{
	struct task *task;

	while ((task = g_queue_pop_head(&p->tasks))) {
		paused_clock_advance_us(MAX(task->at_us - clock_mono_us(), 0));
		run_task(task);
	}
}

static bool chance(int percent)
{
	return g_test_rand_int_range(0, 100) < percent;
}

/* Draws a fault for a call at random and queues the call. */
static void post_faulty(struct fake_platform *p, struct task task)
{
	int64_t ms = g_test_rand_int_range(1, 2 + p->faults.slow_ms);
	struct task late = task;

	if (chance(p->faults.unavailable)) {
		task.status = CONFIG_PLATFORM_UNAVAILABLE;
		task.writes = false;
	} else if (chance(p->faults.lost)) {
		task.status = CONFIG_PLATFORM_UNKNOWN;
		task.writes = task.writes && chance(50);
	} else if (task.writes && chance(p->faults.late)) {
		for (int i = 0; i < ROWS; i++) {
			late.keys[i] = g_strdup(task.keys[i]);
			late.values[i] = g_strdup(task.values[i]);
		}
		late.silent = true;
		post(p, late, ms + g_test_rand_int_range(1, 5000));
		task.status = CONFIG_PLATFORM_UNKNOWN;
		task.writes = false;
	}
	post(p, task, ms);
}

static void fake_get(void *platform, const char *key,
		     config_get_handler handler, void *data)
{
	struct task task = {.keys = {g_strdup(key)}, .get = handler, .data = data};

	post_faulty(platform, task);
}

static void fake_transact(void *platform, const struct config_write *writes,
			  size_t count, config_done_handler handler, void *data)
{
	struct task task = {.writes = true, .done = handler, .data = data};

	g_assert_cmpuint(count, ==, ROWS);
	for (size_t i = 0; i < count; i++) {
		task.keys[i] = g_strdup(writes[i].key);
		task.values[i] = g_strdup(writes[i].value);
		task.row_versions[i] = writes[i].row_version;
	}
	post_faulty(platform, task);
}

static void fake_put(void *platform, const char *key, const char *body,
		     size_t size, config_done_handler handler, void *data)
{
	struct task task = {
		.keys = {g_strdup(key)},
		.values = {g_strndup(body, size)},
		.is_object = true,
		.writes = true,
		.done = handler,
		.data = data,
	};

	post_faulty(platform, task);
}

static void fake_wait(void *platform, uint32_t ms, void (*handler)(void *),
		      void *data)
{
	struct task task = {.wait = handler, .data = data};

	post(platform, task, ms);
}

const struct config_platform_ops fake_platform_ops = {
	.get = fake_get,
	.transact = fake_transact,
	.put_object = fake_put,
	.wait = fake_wait,
};

void fake_platform_init(struct fake_platform *p)
{
	memset(p, 0, sizeof(*p));
	p->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
	p->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void fake_platform_finish(struct fake_platform *p)
{
	g_hash_table_destroy(p->rows);
	g_hash_table_destroy(p->objects);
}
