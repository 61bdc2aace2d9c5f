#include "bench/decide/events.h"

#include <string.h>

static struct event_item *item_at(struct events *events, guint i)
{
	return &g_array_index(events->heap, struct event_item, i);
}

static bool is_before(const struct event_item *a, const struct event_item *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void swap(struct events *events, guint a, guint b)
{
	struct event_item item = *item_at(events, a);

	*item_at(events, a) = *item_at(events, b);
	*item_at(events, b) = item;
}

void events_init(struct events *events, void *context)
{
	memset(events, 0, sizeof(*events));
	events->context = context;
	events->heap = g_array_new(FALSE, FALSE, sizeof(struct event_item));
}

void events_finish(struct events *events)
{
	g_array_free(events->heap, TRUE);
}

void events_add(struct events *events, int64_t at_us,
		void (*handle)(void *context, void *data), void *data)
{
	struct event_item item = {at_us, events->added++, handle, data};
	guint i = events->heap->len;

	g_array_append_val(events->heap, item);
	while (i > 0 &&
	       is_before(item_at(events, i), item_at(events, (i - 1) / 2))) {
		swap(events, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct events *events)
{
	guint len = events->heap->len;
	guint i = 0;

	for (;;) {
		guint first = i;

		for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < len && is_before(item_at(events, child),
						     item_at(events, first)))
				first = child;
		}
		if (first == i)
			return;
		swap(events, i, first);
		i = first;
	}
}

void events_run(struct events *events)
{
	while (events->heap->len > 0) {
		struct event_item item = *item_at(events, 0);

		swap(events, 0, events->heap->len - 1);
		g_array_set_size(events->heap, events->heap->len - 1);
		sift_down(events);
		events->now_us = item.at_us;
		item.handle(events->context, item.data);
	}
}
