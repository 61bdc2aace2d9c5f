#include <math.h>

#include "common/clock.h"
#include "load.h"

bool burst_parse(const char *text, struct burst *burst)
{
	double at_ms;
	double for_ms;

	if (sscanf(text, "%lf:%lf:%lf", &at_ms, &for_ms, &burst->factor) != 3)
		return false;
	burst->at_us = (int64_t)(at_ms * (double)US_PER_MS);
	burst->duration_us = (int64_t)(for_ms * (double)US_PER_MS);
	return burst->factor > 0;
}

static double rate_at(const struct load *load, int64_t since_us)
{
	double rate = load->options.rate;

	for (guint i = 0; i < load->options.bursts->len; i++) {
		const struct burst *burst =
			&g_array_index(load->options.bursts, struct burst, i);

		if (since_us >= burst->at_us &&
		    since_us < burst->at_us + burst->duration_us)
			rate *= burst->factor;
	}
	return rate;
}

/* RETURN VALUE: the time of the next change of the rate, or INT64_MAX. */
static int64_t next_change_us(const struct load *load, int64_t since_us)
{
	int64_t next_us = INT64_MAX;

	for (guint i = 0; i < load->options.bursts->len; i++) {
		const struct burst *burst =
			&g_array_index(load->options.bursts, struct burst, i);
		int64_t end_us = burst->at_us + burst->duration_us;

		if (burst->at_us > since_us)
			next_us = MIN(next_us, burst->at_us);
		if (end_us > since_us)
			next_us = MIN(next_us, end_us);
	}
	return next_us;
}

static int64_t draw_gap_us(struct load *load, int64_t since_us)
{
	double mean_us = (double)US_PER_S / rate_at(load, since_us);

	if (load->options.even)
		return (int64_t)mean_us;
	return (int64_t)(-mean_us * log(1.0 - g_rand_double(load->random)));
}

/*
 * A gap that extends past a change of the rate is drawn again from the time of
 * the change. Otherwise the long gaps of a low rate would skip the start of a
 * burst. Poisson arrivals are memoryless, so this does not bias them.
 */
static int64_t next_due_us(struct load *load, int64_t since_us)
{
	for (;;) {
		int64_t change_us = next_change_us(load, since_us);
		int64_t due_us = since_us + draw_gap_us(load, since_us);

		if (due_us < change_us)
			return due_us;
		since_us = change_us;
	}
}

void schedule_handle_call_end(struct load *load)
{
	if (load->all_started && load->open == 0)
		ev_break(load->loop, EVBREAK_ALL);
}

static void start_due(void *data)
{
	struct load *load = data;
	int64_t end_us = (int64_t)(load->options.seconds * (double)US_PER_S);

	while (!load->all_started &&
	       load->start_us + load->next_due_us <= clock_mono_us()) {
		call_start(load, load->start_us + load->next_due_us);
		load->next_due_us = next_due_us(load, load->next_due_us);
		load->all_started =
			load->is_stopped || load->next_due_us >= end_us;
	}
	if (load->all_started)
		schedule_handle_call_end(load);
	else
		precise_timer_set(&load->timer,
				  load->start_us + load->next_due_us);
}

void schedule_start(struct load *load)
{
	load->start_us = clock_mono_us();
	precise_timer_init(&load->timer, load->loop, start_due, load);
	start_due(load);
}
