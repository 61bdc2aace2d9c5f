#include "comfreydockd/decide/rate_window.h"

#include <glib.h>
#include <string.h>

#define LONG_AGO_US (INT64_MIN / 2)

/* RETURN VALUE: when the request of this rank came; 0 is the oldest. */
static int64_t time_at(const struct rate_window *window, uint32_t rank)
{
	return window->times_us[(window->oldest + rank) % window->capacity];
}

/* Copies the latest times to a ring of another size. One that isn't known any
 * more is at most as late as the oldest that is. */
static void resize(struct rate_window *window, uint32_t capacity)
{
	int64_t *times_us = g_new(int64_t, MAX(capacity, 1));
	uint32_t kept = MIN(window->capacity, capacity);

	if (capacity > kept && kept > 0)
		window->since_us = MAX(window->since_us, time_at(window, 0));
	for (uint32_t i = 0; i < capacity - kept; i++)
		times_us[i] = window->since_us;
	for (uint32_t i = 0; i < kept; i++)
		times_us[capacity - kept + i] =
			time_at(window, window->capacity - kept + i);
	g_free(window->times_us);
	window->times_us = times_us;
	window->capacity = capacity;
	window->oldest = 0;
}

void rate_window_init(struct rate_window *window, uint32_t history,
		      int64_t since_us)
{
	memset(window, 0, sizeof(*window));
	window->history = history;
	window->since_us = since_us;
	resize(window, history);
}

void rate_window_finish(struct rate_window *window)
{
	g_free(window->times_us);
	window->times_us = NULL;
}

void rate_window_set(struct rate_window *window, uint32_t limit, int64_t window_us)
{
	uint32_t capacity = MAX(limit, window->history);

	window->limit = limit;
	window->window_us = window_us;
	if (capacity != window->capacity)
		resize(window, capacity);
}

void rate_window_forget(struct rate_window *window)
{
	for (uint32_t i = 0; i < window->capacity; i++)
		window->times_us[i] = LONG_AGO_US;
	window->since_us = LONG_AGO_US;
}

void rate_window_forget_unknown(struct rate_window *window)
{
	for (uint32_t i = 0; i < window->capacity; i++) {
		if (window->times_us[i] <= window->since_us)
			window->times_us[i] = LONG_AGO_US;
	}
	window->since_us = LONG_AGO_US;
}

void rate_window_begin(struct rate_window *window)
{
	window->on_way++;
}

void rate_window_note_unsent(struct rate_window *window)
{
	if (window->on_way > 0)
		window->on_way--;
}

void rate_window_note_arrived(struct rate_window *window, int64_t now_us)
{
	rate_window_note_unsent(window);
	rate_window_note(window, now_us);
}

void rate_window_note(struct rate_window *window, int64_t now_us)
{
	if (!window->capacity) {
		window->since_us = now_us;
		return;
	}
	window->times_us[window->oldest] = now_us;
	window->oldest = (window->oldest + 1) % window->capacity;
}

/* Each request allows another one a window later, and so on for those behind
 * it. One on its way may arrive at any moment. */
int64_t rate_window_wait_us(const struct rate_window *window, uint32_t ahead,
			    int64_t now_us)
{
	uint32_t rank = window->on_way + ahead;
	int64_t at_us;

	if (!window->limit)
		return 0;
	at_us = time_at(window,
			window->capacity - window->limit + rank % window->limit);
	at_us = MAX(at_us + window->window_us, now_us) +
		rank / window->limit * window->window_us;
	return at_us - now_us;
}

uint32_t rate_window_slots(const struct rate_window *window, uint32_t slots,
			   int64_t service_us)
{
	int64_t busy;

	if (!window->limit)
		return slots;
	busy = window->limit * service_us / window->window_us;
	return (uint32_t)CLAMP(busy, 1, (int64_t)slots);
}
