#include "comfreydockd/platform/evacuation_rows.h"

#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "comfreydockd/decide/random.h"
#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/member.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/jsonc.h"
#include "common/timer.h"

/* One more than fit shows that there are too many. */
#define ROWS_MAX (EVACUATION_DOMAINS_MAX + 1)

struct evacuation_rows {
	struct evacuation_rows_options options;
	struct random_state random;
	ev_timer timer;
};

/* A read or a write that an operator waits for. */
struct pending {
	struct evacuation_rows *rows;
	evacuation_list_handler handle_list;
	evacuation_change_handler handle_change;
	enum platform_status status; /* of the change */
	void *data;
};

static bool is_evacuation(const struct evacuation_rows *rows,
			  const struct platform_row *row)
{
	return g_str_has_prefix(row->key, rows->options.prefix);
}

/* Takes over the list. Rows of other kinds may follow in the same table. */
static void take_answer(struct evacuation_rows *rows,
			const struct platform_answer *answer)
{
	uint64_t keys[ROWS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < answer->row_count && count < ROWS_MAX; i++) {
		if (is_evacuation(rows, &answer->rows[i]))
			keys[count++] =
				evacuation_key(answer->rows[i].key +
					       strlen(rows->options.prefix));
	}
	evacuation_replace(rows->options.evacuation, answer->version, keys,
			   count, clock_mono_us());
}

static void read_rows(struct evacuation_rows *rows, platform_handler handler,
		      void *data)
{
	counters.evacuation_reads++;
	platform_get_from(rows->options.platform, rows->options.prefix,
			  ROWS_MAX, handler, data);
}

static void schedule_poll(struct evacuation_rows *rows)
{
	int64_t all_us = (int64_t)member_table_size(rows->options.members) *
			 EVACUATION_ROWS_SPACING_US;
	int64_t mean_us = MAX(all_us, EVACUATION_ROWS_INTERVAL_MIN_US);

	timer_restart_us(rows->options.loop, &rows->timer,
			 mean_us / 2 + (int64_t)random_below(&rows->random,
							     (uint64_t)mean_us));
}

static void handle_polled(const struct platform_answer *answer, void *data)
{
	struct evacuation_rows *rows = data;

	if (answer->status == PLATFORM_OK)
		take_answer(rows, answer);
	schedule_poll(rows);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	read_rows(timer->data, handle_polled, timer->data);
}

struct evacuation_rows *
evacuation_rows_create(const struct evacuation_rows_options *options)
{
	struct evacuation_rows *rows = g_new0(struct evacuation_rows, 1);

	rows->options = *options;
	rows->random.state = options->seed;
	ev_init(&rows->timer, handle_timer);
	rows->timer.data = rows;
	if (options->is_polled)
		timer_restart_us(options->loop, &rows->timer, 0);
	return rows;
}

void evacuation_rows_destroy(struct evacuation_rows *rows)
{
	if (!rows)
		return;
	ev_timer_stop(rows->options.loop, &rows->timer);
	g_free(rows);
}

static struct pending *pending_create(struct evacuation_rows *rows, void *data)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->rows = rows;
	pending->data = data;
	return pending;
}

/* The value has "by" and "at_ms" if an operator wrote it through a daemon. The
 * strings of the row belong to *value. */
static void decode_row(const struct platform_row *from, size_t prefix_size,
		       json_object **value, struct evacuation_row *to)
{
	*value = json_tokener_parse(from->value);
	to->domain = from->key + prefix_size;
	to->by = jsonc_get_text(*value, "by");
	to->asked_ms = (int64_t)jsonc_get_uint(*value, "at_ms");
}

static void handle_listed(const struct platform_answer *answer, void *data)
{
	struct pending *pending = data;
	struct evacuation_rows *rows = pending->rows;
	bool is_answered = answer->status == PLATFORM_OK;
	struct evacuation_row list[ROWS_MAX] = {{.domain = NULL}};
	json_object *values[ROWS_MAX];
	size_t count = 0;

	if (is_answered)
		take_answer(rows, answer);
	for (size_t i = 0; is_answered && i < answer->row_count &&
			   count < EVACUATION_DOMAINS_MAX;
	     i++) {
		if (!is_evacuation(rows, &answer->rows[i]))
			continue;
		decode_row(&answer->rows[i], strlen(rows->options.prefix),
			   &values[count], &list[count]);
		count++;
	}
	pending->handle_list(is_answered, list, count, pending->data);
	for (size_t i = 0; i < count; i++)
		json_object_put(values[i]);
	g_free(pending);
}

void evacuation_rows_list(struct evacuation_rows *rows,
			  evacuation_list_handler handler, void *data)
{
	struct pending *pending = pending_create(rows, data);

	pending->handle_list = handler;
	read_rows(rows, handle_listed, pending);
}

static void end_change(struct pending *pending)
{
	pending->handle_change(pending->status, pending->data);
	g_free(pending);
}

/* The change is in the store, so it is in force also if this read fails. */
static void handle_read_after_change(const struct platform_answer *answer,
				     void *data)
{
	struct pending *pending = data;

	if (answer->status == PLATFORM_OK)
		take_answer(pending->rows, answer);
	end_change(pending);
}

static void handle_changed(const struct platform_answer *answer, void *data)
{
	struct pending *pending = data;

	pending->status = answer->status;
	/* After a lost answer the read tells this daemon what is in force. */
	if (answer->status == PLATFORM_OK || answer->status == PLATFORM_UNKNOWN)
		read_rows(pending->rows, handle_read_after_change, pending);
	else
		end_change(pending);
}

static char *encode_value(const char *by)
{
	json_object *value = json_object_new_object();
	char *text;

	jsonc_add_text(value, "by", by);
	jsonc_add_uint(value, "at_ms", (uint64_t)(clock_wall_us() / US_PER_MS));
	text = jsonc_to_text(value);
	return text;
}

void evacuation_rows_change(struct evacuation_rows *rows, const char *domain,
			    const char *by, evacuation_change_handler handler,
			    void *data)
{
	struct pending *pending = pending_create(rows, data);
	char *key = g_strconcat(rows->options.prefix, domain, NULL);
	char *value = by ? encode_value(by) : NULL;
	struct platform_op op = {
		.kind = by ? PLATFORM_PUT : PLATFORM_DELETE,
		.key = key,
		.if_version = PLATFORM_ANY_VERSION,
		.value = value,
	};

	pending->handle_change = handler;
	platform_transact(rows->options.platform, &op, 1, handle_changed,
			  pending);
	g_free(value);
	g_free(key);
}
