#include "common/tally.h"

#include <stdint.h>

#include "common/metric.h"

#define OTHER "other"

struct tally_kind {
	const char *name;
	const char *help;
	const char *labels[2];
};

static const struct tally_kind kinds[TALLIES] = {
	[TALLY_CALLS] = {"calls",
			 "calls of callers by rule and outcome",
			 {"rule", "outcome"}},
	[TALLY_NOT_RUN] = {"calls_not_run_by",
			   "calls that ended as not run, by the last reason",
			   {"reason"}},
	[TALLY_REFUSALS] = {"refusals",
			    "attempts that this owner refused",
			    {"reason"}},
	[TALLY_STORE] = {"store_calls",
			 "calls of the platform's store",
			 {"call", "result"}},
};

/* Maps the labels, as written in the output, to a uint64_t. */
static GHashTable *series[TALLIES];

static char *labels_to_text(const struct tally_kind *kind, const char *first,
			    const char *second)
{
	GString *text = g_string_new(NULL);

	metric_append_label(text, kind->labels[0], first);
	if (kind->labels[1])
		metric_append_label(text, kind->labels[1], second);
	return g_string_free(text, FALSE);
}

void tally_add(enum tally tally, const char *first, const char *second)
{
	const struct tally_kind *kind = &kinds[tally];
	char *labels = labels_to_text(kind, first, second);
	uint64_t *value;

	if (!series[tally])
		series[tally] = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	value = g_hash_table_lookup(series[tally], labels);
	if (!value && g_hash_table_size(series[tally]) >= TALLY_SERIES_MAX) {
		g_free(labels);
		labels = labels_to_text(kind, OTHER, OTHER);
		value = g_hash_table_lookup(series[tally], labels);
	}
	if (!value) {
		value = g_new0(uint64_t, 1);
		g_hash_table_insert(series[tally], g_strdup(labels), value);
	}
	(*value)++;
	g_free(labels);
}

static void kind_append(GString *text, const struct tally_kind *kind,
			GHashTable *values)
{
	GHashTableIter iter;
	gpointer labels;
	gpointer value;

	g_string_append_printf(text,
			       "# HELP comfreydock_%s %s\n"
			       "# TYPE comfreydock_%s counter\n",
			       kind->name, kind->help, kind->name);
	if (!values)
		return;
	g_hash_table_iter_init(&iter, values);
	while (g_hash_table_iter_next(&iter, &labels, &value))
		g_string_append_printf(
			text, "comfreydock_%s{%s} %" G_GUINT64_FORMAT "\n",
			kind->name, (const char *)labels,
			*(const uint64_t *)value);
}

void tally_append_text(GString *text)
{
	for (size_t i = 0; i < TALLIES; i++)
		kind_append(text, &kinds[i], series[i]);
}
