#include <ev.h>
#include <glib.h>

#include "comfreydockd/config/platform_ops.h"
#include "comfreydockd/platform/platform.h"

/* Answers each call with one status and records the operations of a
 * transaction. */
struct platform {
	struct platform_answer answer;
	struct platform_op ops[3];
	size_t count;
};

void platform_get(struct platform *p, const char *key, platform_handler handler,
		  void *data)
{
	g_assert_cmpstr(key, ==, "k");
	handler(&p->answer, data);
}

void platform_get_object(struct platform *p, const char *name,
			 platform_handler handler, void *data)
{
	g_assert_cmpstr(name, ==, "o");
	handler(&p->answer, data);
}

void platform_put_object(struct platform *p, const char *name, const char *body,
			 size_t size, platform_handler handler, void *data)
{
	g_assert_cmpstr(name, ==, "o");
	g_assert_cmpmem(body, size, "body", 4);
	handler(&p->answer, data);
}

void platform_transact(struct platform *p, const struct platform_op *ops,
		       size_t count, platform_handler handler, void *data)
{
	p->count = count;
	for (size_t i = 0; i < count; i++)
		p->ops[i] = ops[i];
	handler(&p->answer, data);
}

struct result {
	unsigned int times;
	enum config_platform_status status;
	uint64_t version;
	const char *value;
	size_t size;
};

static void handle_get(enum config_platform_status status, uint64_t row_version,
		       const char *value, size_t size, void *data)
{
	struct result *result = data;

	result->times++;
	result->status = status;
	result->version = row_version;
	result->value = value;
	result->size = size;
}

static void handle_done(enum config_platform_status status, void *data)
{
	handle_get(status, 0, NULL, 0, data);
}

static void handle_waited(void *data)
{
	handle_done(CONFIG_PLATFORM_OK, data);
}

static const enum config_platform_status expected_status[] = {
	[PLATFORM_OK] = CONFIG_PLATFORM_OK,
	[PLATFORM_NOT_FOUND] = CONFIG_PLATFORM_OK,
	[PLATFORM_CONFLICT] = CONFIG_PLATFORM_CONFLICT,
	[PLATFORM_HISTORY_GONE] = CONFIG_PLATFORM_UNAVAILABLE,
	[PLATFORM_REJECTED] = CONFIG_PLATFORM_UNAVAILABLE,
	[PLATFORM_UNAVAILABLE] = CONFIG_PLATFORM_UNAVAILABLE,
	[PLATFORM_UNKNOWN] = CONFIG_PLATFORM_UNKNOWN,
};

/*
 * Guards against a lost answer that is reported as "nothing was written": the
 * operator would be told "refused" for a file that is in force.
 */
static void test_each_call_ends_once_with_its_status(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct platform p = {.count = 0};
	struct config_platform *platform = config_platform_create(loop, &p);
	const struct config_platform_ops *ops = &config_platform_ops;
	const struct config_write write = {"k", 3, "{}"};

	for (size_t i = 0; i < G_N_ELEMENTS(expected_status); i++) {
		struct result result[4] = {{0}};

		p.answer.status = (enum platform_status)i;
		ops->get(platform, "k", handle_get, &result[0]);
		ops->get_object(platform, "o", handle_get, &result[1]);
		ops->put_object(platform, "o", "body", 4, handle_done,
				&result[2]);
		ops->transact(platform, &write, 1, handle_done, &result[3]);
		for (size_t j = 0; j < G_N_ELEMENTS(result); j++) {
			g_assert_cmpuint(result[j].times, ==, 1);
			g_assert_cmpint(result[j].status, ==, expected_status[i]);
		}
	}
	config_platform_destroy(platform);
}

static void test_rows_and_conditions_are_passed_through(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct platform_row row = {"k", 7, "{\"x\":1}", 7};
	struct platform p = {
		.answer = {.rows = &row, .row_count = 1, .body = "abc", .size = 3}};
	struct config_platform *platform = config_platform_create(loop, &p);
	const struct config_write writes[] = {
		{"k", 0, "{}"}, {"k", 3, "{}"}, {"k", CONFIG_ANY_VERSION, "{}"}};
	struct result result = {0};

	config_platform_ops.get(platform, "k", handle_get, &result);
	g_assert_cmpuint(result.version, ==, 7);
	g_assert_cmpstr(result.value, ==, row.value);
	config_platform_ops.get_object(platform, "o", handle_get, &result);
	g_assert_cmpmem(result.value, result.size, "abc", 3);
	config_platform_ops.transact(platform, writes, 3, handle_done, &result);
	g_assert_cmpint(p.ops[0].if_version, ==, PLATFORM_ABSENT);
	g_assert_cmpint(p.ops[1].if_version, ==, 3);
	g_assert_cmpint(p.ops[2].if_version, ==, PLATFORM_ANY_VERSION);
	config_platform_destroy(platform);
}

static void test_wait_calls_back_from_the_loop(void)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct platform p = {.count = 0};
	struct config_platform *platform = config_platform_create(loop, &p);
	struct result result = {0};

	config_platform_ops.wait(platform, 1, handle_waited, &result);
	g_assert_cmpuint(result.times, ==, 0);
	ev_run(loop, 0);
	g_assert_cmpuint(result.times, ==, 1);
	/* A wait that is open at the destruction is dropped. */
	config_platform_ops.wait(platform, 1, handle_waited, &result);
	config_platform_destroy(platform);
	ev_run(loop, 0);
	g_assert_cmpuint(result.times, ==, 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-platform/status",
			test_each_call_ends_once_with_its_status);
	g_test_add_func("/config-platform/rows",
			test_rows_and_conditions_are_passed_through);
	g_test_add_func("/config-platform/wait",
			test_wait_calls_back_from_the_loop);
	return g_test_run();
}
