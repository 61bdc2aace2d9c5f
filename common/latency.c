#include "common/latency.h"

#define US_PER_S 1e6

struct latencies latencies;

static const int64_t bounds_us[LATENCY_BUCKETS - 1] = {
	100,   250,    500,    1000,   2500,   5000,	10000,	 25000,
	50000, 100000, 200000, 300000, 500000, 1000000, 2500000, 10000000,
};

void latency_record_us(struct latency *latency, int64_t us)
{
	int64_t took_us = MAX(us, 0);
	size_t at = 0;

	while (at < G_N_ELEMENTS(bounds_us) && took_us > bounds_us[at])
		at++;
	latency->buckets[at]++;
	latency->count++;
	latency->sum_us += (uint64_t)took_us;
}

static void append_bucket(GString *text, const char *name, const char *bound,
			  uint64_t value)
{
	g_string_append_printf(text,
			       "comfreydock_%s_seconds_bucket{le=\"%s\"} "
			       "%" G_GUINT64_FORMAT "\n",
			       name, bound, value);
}

static void latency_append(GString *text, const char *name, const char *help,
			   const struct latency *latency)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];
	uint64_t cumulative = 0;

	g_string_append_printf(text,
			       "# HELP comfreydock_%s_seconds %s\n"
			       "# TYPE comfreydock_%s_seconds histogram\n",
			       name, help, name);
	for (size_t i = 0; i < G_N_ELEMENTS(bounds_us); i++) {
		cumulative += latency->buckets[i];
		g_ascii_formatd(number, sizeof(number), "%g",
				(double)bounds_us[i] / US_PER_S);
		append_bucket(text, name, number, cumulative);
	}
	append_bucket(text, name, "+Inf", latency->count);
	g_ascii_formatd(number, sizeof(number), "%.6f",
			(double)latency->sum_us / US_PER_S);
	g_string_append_printf(text,
			       "comfreydock_%s_seconds_sum %s\n"
			       "comfreydock_%s_seconds_count "
			       "%" G_GUINT64_FORMAT "\n",
			       name, number, name, latency->count);
}

void latencies_append_text(GString *text)
{
#define LATENCY(field, help) \
	latency_append(text, #field, help, &latencies.field);
#include "common/latencies.def"
#undef LATENCY
}
