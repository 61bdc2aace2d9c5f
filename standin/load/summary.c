#include <json-c/json.h>

#include "common/clock.h"
#include "load.h"

static void add_count(struct json_object *object, const char *name, uint64_t count)
{
	json_object_object_add(object, name, json_object_new_uint64(count));
}

static struct json_object *histogram_to_json(const struct histogram *histogram)
{
	struct json_object *object = json_object_new_object();

	add_count(object, "count", histogram->total);
	add_count(object, "mean", (uint64_t)histogram_mean(histogram));
	add_count(object, "p50", histogram_quantile(histogram, 0.5));
	add_count(object, "p90", histogram_quantile(histogram, 0.9));
	add_count(object, "p99", histogram_quantile(histogram, 0.99));
	add_count(object, "p99.9", histogram_quantile(histogram, 0.999));
	add_count(object, "max", histogram->max);
	return object;
}

static struct json_object *outcomes_to_json(const struct load_counts *counts)
{
	struct json_object *object = json_object_new_object();

	for (int i = 0; i < OUTCOME_COUNT; i++)
		add_count(object, outcome_name((enum outcome)i),
			  counts->outcomes[i]);
	return object;
}

static struct json_object *statuses_to_json(const struct load_counts *counts)
{
	struct json_object *object = json_object_new_object();

	for (size_t i = 0; i < G_N_ELEMENTS(counts->statuses); i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "%zu", i);
		if (counts->statuses[i])
			add_count(object, name, counts->statuses[i]);
	}
	return object;
}

void summary_print(const struct load *load)
{
	const struct load_counts *counts = &load->counts;
	struct json_object *object = json_object_new_object();

	add_count(object, "scheduled", counts->scheduled);
	add_count(object, "started", counts->started);
	add_count(object, "unstarted", counts->unstarted);
	add_count(object, "served", counts->served);
	add_count(object, "wrong", counts->wrong);
	add_count(object, "elapsed_ms",
		  (uint64_t)((clock_mono_us() - load->start_us) / US_PER_MS));
	json_object_object_add(object, "outcomes", outcomes_to_json(counts));
	json_object_object_add(object, "statuses", statuses_to_json(counts));
	json_object_object_add(object, "served_us",
			       histogram_to_json(&load->served));
	json_object_object_add(object, "refused_us",
			       histogram_to_json(&load->refused));
	printf("%s\n",
	       json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	json_object_put(object);
}
