#include "comfreydockd/upstream/gauge.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/health_call.h"
#include "common/clock.h"
#include "common/counters.h"

/* The bucket holds the tokens of one second, divided by this. */
#define BURST_DIVISOR 4

struct gauge {
	struct daemon *daemon;
	gauge_handler handler;
	void *data;
	struct health_call *pending;
	char *instance;
	double tokens;
	int64_t refilled_us;
};

struct gauge *gauge_create(struct daemon *daemon, gauge_handler handler,
			   void *data)
{
	struct gauge *gauge = g_new0(struct gauge, 1);

	gauge->daemon = daemon;
	gauge->handler = handler;
	gauge->data = data;
	gauge->refilled_us = clock_mono_us();
	return gauge;
}

void gauge_destroy(struct gauge *gauge)
{
	if (!gauge)
		return;
	if (gauge->pending)
		health_call_cancel(gauge->pending);
	g_free(gauge->instance);
	g_free(gauge);
}

static bool take_token(struct gauge *gauge)
{
	double per_s = gauge->daemon->settings->probes_per_s;
	int64_t now = clock_mono_us();
	double more = (double)(now - gauge->refilled_us) / US_PER_S * per_s;

	gauge->refilled_us = now;
	gauge->tokens = MIN(gauge->tokens + more, per_s / BURST_DIVISOR);
	if (gauge->tokens < 1.0)
		return false;
	gauge->tokens -= 1.0;
	return true;
}

static bool is_expected_instance(const struct gauge *gauge,
				 const struct http_answer *answer)
{
	const char *name = gauge->daemon->headers->instance;
	const char *instance = name ? http_answer_header(answer, name) : NULL;

	return !gauge->instance || !instance ||
	       strcmp(gauge->instance, instance) == 0;
}

static void read_figures(const struct headers *names,
			 const struct http_answer *answer,
			 struct gauge_reading *reading)
{
	const char *load = http_answer_header(answer, names->load);

	reading->has_load = load && answer_parse_load(load, &reading->load);
	if (names->cold_ms)
		reading->has_cold_ms = answer_parse_cold_ms(
			http_answer_header(answer, names->cold_ms),
			&reading->cold_ms);
	if (names->limit)
		reading->limit = http_answer_header(answer, names->limit);
	if (names->leaving)
		reading->is_leaving = answer_says_leaving(
			http_answer_header(answer, names->leaving));
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct gauge *gauge = data;
	struct gauge_reading reading = {.has_load = false};

	gauge->pending = NULL;
	if (answer->result == CURLE_OK && is_expected_instance(gauge, answer))
		read_figures(gauge->daemon->headers, answer, &reading);
	counters.gauge_failed += !reading.has_load;
	gauge->handler(&reading, gauge->data);
}

bool gauge_is_pending(const struct gauge *gauge)
{
	return gauge->pending;
}

bool gauge_ask(struct gauge *gauge, const struct gauge_target *target)
{
	struct health_call_target call = {
		.address = target->address,
		.port = target->port,
		.path = target->path,
		.timeout_ms = GAUGE_TIMEOUT_MS,
	};

	if (gauge->pending)
		return true;
	if (!gauge->daemon->headers->load || !target->path || !take_token(gauge))
		return false;
	counters.gauge_asked++;
	g_free(gauge->instance);
	gauge->instance = g_strdup(target->instance);
	gauge->pending =
		health_call_start(gauge->daemon, &call, handle_answer, gauge);
	return true;
}
