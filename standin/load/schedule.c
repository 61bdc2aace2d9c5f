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
	burst->for_us = (int64_t)(for_ms * (double)US_PER_MS);
	return burst->factor > 0;
}

static double rate_at(const struct load *load, int64_t since_us)
{
	double rate = load->options.rate;

	for (guint i = 0; i < load->options.bursts->len; i++) {
		const struct burst *burst =
			&g_array_index(load->options.bursts, struct burst, i);

		if (since_us >= burst->at_us &&
		    since_us < burst->at_us + burst->for_us)
			rate *= burst->factor;
	}
	return rate;
}

static int64_t next_gap_us(struct load *load)
{
	double mean_us = (double)US_PER_S / rate_at(load, load->next_due_us);

	if (load->options.even)
		return (int64_t)mean_us;
	return (int64_t)(-mean_us * log(1.0 - g_rand_double(load->random)));
}

void schedule_note_end(struct load *load)
{
	if (load->is_over && load->open == 0)
		ev_break(load->loop, EVBREAK_ALL);
}

static void start_due(void *data)
{
	struct load *load = data;
	int64_t end_us = (int64_t)(load->options.seconds * (double)US_PER_S);

	while (!load->is_over &&
	       load->start_us + load->next_due_us <= clock_mono_us()) {
		call_start(load, load->start_us + load->next_due_us);
		load->next_due_us += next_gap_us(load);
		load->is_over = load->is_stopped || load->next_due_us >= end_us;
	}
	if (load->is_over)
		schedule_note_end(load);
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
