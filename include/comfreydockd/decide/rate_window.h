/*
 * NAME
 *	rate_window - limits how many requests an upstream gets in a sliding
 *	window
 *
 * DESCRIPTION
 *	Keeps the times of the latest requests. Another one may start as soon as
 *	fewer than the limit lie within the window before it. Requests on their
 *	way, which may arrive at any moment, count as well.
 *
 *	Times from before since_us are not known; they count as since_us. A
 *	limit that is set later applies to the requests recorded before.
 *
 * GROUNDS
 *	A sliding window holds in each span of its length, also for bursts, and
 *	lets a burst use the whole limit at once.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_RATE_WINDOW_H
#define COMFREYDOCKD_DECIDE_RATE_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/* A higher limit has no effect; no upstream starts this many in a window. */
#define RATE_WINDOW_LIMIT_MAX 4096

struct rate_window {
	uint32_t limit; /* requests in a window; 0: not limited */
	int64_t window_us;
	uint32_t on_way; /* started, and perhaps not arrived yet */
	/* The latest requests, as a ring of max(limit, history). */
	int64_t *times_us;
	uint32_t capacity;
	uint32_t oldest; /* index in times_us */
	uint32_t history; /* requests recorded also without a limit */
	int64_t since_us; /* all requests after this time are in times_us */
};

/* Requests before since_us are not known. */
void rate_window_init(struct rate_window *window, uint32_t history,
		      int64_t since_us);
void rate_window_finish(struct rate_window *window);
void rate_window_set(struct rate_window *window, uint32_t limit,
		     int64_t window_us);

/* No request counts that came before this call. */
void rate_window_forget(struct rate_window *window);

/* The requests that are not known don't count. */
void rate_window_forget_unknown(struct rate_window *window);

/* A request is on its way. It ends with either of the other two. */
void rate_window_begin(struct rate_window *window);
void rate_window_note_arrived(struct rate_window *window, int64_t now_us);
void rate_window_note_unsent(struct rate_window *window);

/* Records a request that was not on its way before. */
void rate_window_note(struct rate_window *window, int64_t now_us);

/* RETURN VALUE: how long a request has to wait if ahead others start first; 0:
 * it may start now. */
int64_t rate_window_wait_us(const struct rate_window *window, uint32_t ahead,
			    int64_t now_us);

/* RETURN VALUE: the number of slots that the limit keeps busy if each request
 * takes service_us, from 1 to slots; slots if there is no limit. */
uint32_t rate_window_slots(const struct rate_window *window, uint32_t slots,
			   int64_t service_us);

#endif
