#include "common/clock.h"
#include "rows_internal.h"

/* The first page is read after the own row was written, or at a random time
 * below this if the row could not be written by then. */
#define FIRST_PAGE_DELAY_MAX_US (1000 * US_PER_MS)

int64_t rows_random_us(struct rows *rows, int64_t below_us)
{
	return (int64_t)(g_rand_double(rows->rand) * (double)below_us);
}

void rows_timer_set(struct rows *rows, ev_timer *timer, int64_t us)
{
	ev_timer_stop(rows->options.loop, timer);
	ev_timer_set(timer, (double)us / US_PER_S, 0);
	ev_timer_start(rows->options.loop, timer);
}

int64_t rows_backoff(struct rows *rows, int64_t *backoff_us)
{
	*backoff_us =
		CLAMP(*backoff_us * 2, ROWS_BACKOFF_MIN_US, ROWS_BACKOFF_MAX_US);
	return *backoff_us / 2 + rows_random_us(rows, *backoff_us);
}

static struct rows_call *rows_call_create(struct rows *rows)
{
	struct rows_call *call = g_new0(struct rows_call, 1);

	call->rows = rows;
	LIST_INSERT_HEAD(&rows->calls, call, link);
	return call;
}

static void call_handle_rows(enum rows_status status,
			     const struct rows_row *found, size_t count,
			     void *data)
{
	struct rows_call *call = data;

	if (call->rows) {
		LIST_REMOVE(call, link);
		call->handle_rows(call->rows, status, found, count);
	}
	g_free(call);
}

static void call_handle_done(enum rows_status status, void *data)
{
	struct rows_call *call = data;

	if (call->rows) {
		LIST_REMOVE(call, link);
		call->handle_done(call->rows, status);
	}
	g_free(call);
}

void rows_get(struct rows *rows, const char *first, const char *end,
	      unsigned int limit,
	      void (*handle_rows)(struct rows *rows, enum rows_status status,
				  const struct rows_row *found, size_t count))
{
	struct rows_call *call = rows_call_create(rows);

	call->handle_rows = handle_rows;
	rows->options.ops->get_range(rows->options.store, first, end, limit,
				     call_handle_rows, call);
}

void rows_put(struct rows *rows, const char *value, uint64_t version,
	      void (*handle_done)(struct rows *rows, enum rows_status status))
{
	struct rows_call *call = rows_call_create(rows);

	call->handle_done = handle_done;
	rows->options.ops->put_if(rows->options.store, rows->own_key, value,
				  version, call_handle_done, call);
}

void rows_delete(struct rows *rows, const char *key, uint64_t version,
		 void (*handle_done)(struct rows *rows, enum rows_status status))
{
	struct rows_call *call = rows_call_create(rows);

	call->handle_done = handle_done;
	rows->options.ops->delete_if(rows->options.store, key, version,
				     call_handle_done, call);
}

static void handle_own_timer(struct ev_loop *loop G_GNUC_UNUSED,
			     ev_timer *timer, int events G_GNUC_UNUSED)
{
	rows_own_check(timer->data);
}

static void handle_page_timer(struct ev_loop *loop G_GNUC_UNUSED,
			      ev_timer *timer, int events G_GNUC_UNUSED)
{
	struct rows *rows = timer->data;

	if (!rows->pages_started)
		rows_page_start(rows);
	else
		rows_page_read(rows);
}

struct rows *rows_create(const struct rows_options *options)
{
	struct rows *rows = g_new0(struct rows, 1);

	rows->options = *options;
	rows->rand = g_rand_new_with_seed((guint32)options->seed);
	rows->own_key = g_strconcat(ROWS_PREFIX, options->self->host, NULL);
	rows->own_row_incarnation = options->self->incarnation;
	rows->page_start_key = g_strdup(rows->own_key);
	LIST_INIT(&rows->calls);
	ev_init(&rows->own_timer, handle_own_timer);
	ev_init(&rows->page_timer, handle_page_timer);
	rows->own_timer.data = rows;
	rows->page_timer.data = rows;
	rows_timer_set(rows, &rows->own_timer,
		       rows_random_us(rows, ROWS_START_JITTER_US));
	rows_timer_set(rows, &rows->page_timer,
		       rows_random_us(rows, FIRST_PAGE_DELAY_MAX_US));
	return rows;
}

void rows_destroy(struct rows *rows)
{
	struct rows_call *call;

	if (!rows)
		return;
	ev_timer_stop(rows->options.loop, &rows->own_timer);
	ev_timer_stop(rows->options.loop, &rows->page_timer);
	/* The store still answers each call, and the answer frees it. The list
	 * head is freed here, so the calls are unlinked first. */
	while ((call = LIST_FIRST(&rows->calls))) {
		LIST_REMOVE(call, link);
		call->rows = NULL;
	}
	g_rand_free(rows->rand);
	g_free(rows->own_key);
	g_free(rows->page_start_key);
	g_free(rows->unknown_row_key);
	g_free(rows);
}

void rows_leave(struct rows *rows,
		void (*handle_leave_done)(bool is_deleted, void *data),
		void *data)
{
	rows->is_leaving = true;
	rows->handle_leave_done = handle_leave_done;
	rows->leave_done_data = data;
	ev_timer_stop(rows->options.loop, &rows->page_timer);
	rows_timer_set(rows, &rows->own_timer, 0);
}
