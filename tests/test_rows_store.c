#include <ev.h>
#include <glib.h>

#include "comfreydockd/platform/platform.h"
#include "comfreydockd/platform/rows_store.h"
#include "common/http_client.h"
#include "common/log.h"

#define UNUSED_URL "http://127.0.0.1:1"

struct answers {
	unsigned int reads;
	unsigned int writes;
	enum rows_status status;
};

static void handle_rows(enum rows_status status, const struct rows_row *rows,
			size_t count, void *data)
{
	struct answers *answers = data;

	(void)rows;
	g_assert_cmpuint(count, ==, 0);
	answers->reads++;
	answers->status = status;
}

static void handle_done(enum rows_status status, void *data)
{
	struct answers *answers = data;

	answers->writes++;
	answers->status = status;
}

/* Guards against callers that wait for ever, and against lost memory, if a
 * daemon ends while a call is open. */
static void test_destroy_ends_open_calls(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct http_client *http = http_client_create(loop);
	struct platform *platform = platform_create(http, UNUSED_URL);
	struct rows_store *store = rows_store_create(platform);
	struct answers read = {0};
	struct answers list = {0};
	struct answers write = {0};

	rows_store_ops.get_range(store, ROWS_PREFIX "a", ROWS_PREFIX "a!", 1,
				 handle_rows, &read);
	rows_store_ops.get_range(store, ROWS_PREFIX "a", ROWS_PREFIX "b", 9,
				 handle_rows, &list);
	rows_store_ops.put_if(store, ROWS_PREFIX "a", "{}", 0, handle_done,
			      &write);
	platform_destroy(platform);
	rows_store_destroy(store);
	g_assert_cmpuint(read.reads, ==, 1);
	g_assert_cmpint(read.status, ==, ROWS_UNAVAILABLE);
	g_assert_cmpuint(list.reads, ==, 1);
	g_assert_cmpuint(write.writes, ==, 1);
	g_assert_cmpint(write.status, ==, ROWS_UNKNOWN);
	http_client_destroy(http);
	ev_loop_destroy(loop);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/rows-store/destroy", test_destroy_ends_open_calls);
	return g_test_run();
}
