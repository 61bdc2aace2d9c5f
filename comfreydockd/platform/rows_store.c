#include "comfreydockd/platform/rows_store.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#include "comfreydockd/platform/platform.h"

struct rows_store {
	struct platform *platform;
	LIST_HEAD(, store_call) calls;
};

struct store_call {
	LIST_ENTRY(store_call) link;
	rows_range_handler handle_rows;
	rows_done_handler handle_done;
	void *data;
};

struct rows_store *rows_store_create(struct platform *platform)
{
	struct rows_store *store = g_new0(struct rows_store, 1);

	store->platform = platform;
	LIST_INIT(&store->calls);
	return store;
}

static struct store_call *call_begin(struct rows_store *store, void *data)
{
	struct store_call *call = g_new0(struct store_call, 1);

	call->data = data;
	LIST_INSERT_HEAD(&store->calls, call, link);
	return call;
}

static void call_end(struct store_call *call)
{
	LIST_REMOVE(call, link);
	g_free(call);
}

/* Ends a call that the platform will not answer any more. */
static void call_abandon(struct store_call *call)
{
	if (call->handle_rows)
		call->handle_rows(ROWS_UNAVAILABLE, NULL, 0, call->data);
	else
		call->handle_done(ROWS_UNKNOWN, call->data);
	call_end(call);
}

void rows_store_destroy(struct rows_store *store)
{
	struct store_call *call;

	if (!store)
		return;
	while ((call = LIST_FIRST(&store->calls)))
		call_abandon(call);
	g_free(store);
}

static enum rows_status status_of(enum platform_status status)
{
	switch (status) {
	case PLATFORM_OK:
	case PLATFORM_NOT_FOUND:
		return ROWS_OK;
	case PLATFORM_CONFLICT:
		return ROWS_CONFLICT;
	case PLATFORM_REJECTED:
	case PLATFORM_HISTORY_GONE:
	case PLATFORM_UNAVAILABLE:
		return ROWS_UNAVAILABLE;
	case PLATFORM_UNKNOWN:
		break;
	}
	return ROWS_UNKNOWN;
}

static void handle_rows(const struct platform_answer *answer, void *data)
{
	struct store_call *call = data;
	size_t count = answer->status == PLATFORM_OK ? answer->row_count : 0;
	struct rows_row *rows = g_new0(struct rows_row, count + 1);

	for (size_t i = 0; i < count; i++) {
		rows[i].key = answer->rows[i].key;
		rows[i].value = answer->rows[i].value;
		rows[i].size = answer->rows[i].size;
		rows[i].version = answer->rows[i].version;
	}
	call->handle_rows(status_of(answer->status), rows, count, call->data);
	g_free(rows);
	call_end(call);
}

static void handle_done(const struct platform_answer *answer, void *data)
{
	struct store_call *call = data;

	call->handle_done(status_of(answer->status), call->data);
	call_end(call);
}

/* A range of one key is a single read. Other ranges need no check of the end,
 * because member/rows asks only up to the end of its prefix. */
static void get_range(void *store, const char *first, const char *end,
		      unsigned int limit, rows_range_handler handler, void *data)
{
	struct platform *platform = ((struct rows_store *)store)->platform;
	struct store_call *call = call_begin(store, data);

	(void)end;
	call->handle_rows = handler;
	if (limit == 1)
		platform_get(platform, first, handle_rows, call);
	else
		platform_list(platform, ROWS_TABLE, first + strlen(ROWS_PREFIX),
			      limit, handle_rows, call);
}

static void transact(struct rows_store *store, const struct platform_op *op,
		     rows_done_handler handler, void *data)
{
	struct store_call *call = call_begin(store, data);

	call->handle_done = handler;
	platform_transact(store->platform, op, 1, handle_done, call);
}

static void put_if(void *store, const char *key, const char *value,
		   uint64_t version, rows_done_handler handler, void *data)
{
	struct platform_op op = {
		.kind = PLATFORM_PUT,
		.key = key,
		.if_version = (int64_t)version, /* 0 equals PLATFORM_ABSENT */
		.value = value,
	};

	transact(store, &op, handler, data);
}

static void delete_if(void *store, const char *key, uint64_t version,
		      rows_done_handler handler, void *data)
{
	struct platform_op op = {
		.kind = PLATFORM_DELETE,
		.key = key,
		.if_version = (int64_t)version,
	};

	transact(store, &op, handler, data);
}

const struct rows_store_ops rows_store_ops = {
	.get_range = get_range,
	.put_if = put_if,
	.delete_if = delete_if,
};
