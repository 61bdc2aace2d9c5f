#include "common/organisation_counts.h"

#include <stdbool.h>
#include <string.h>

#include "common/clock.h"
#include "common/metric.h"

#define METRIC "organisation_requests"
/* The recent sum leaves out up to one interval of its window. */
#define INTERVAL_US (2 * US_PER_S)
#define INTERVALS (ORGANISATION_COUNTS_WINDOW_US / INTERVAL_US)

struct tally {
	enum organisation_outcome outcome;
	const char *reason;
	uint64_t total;
	uint32_t recent[INTERVALS]; /* ring, indexed by interval number */
};

struct organisation {
	char *name;
	int64_t interval; /* number of the last interval with a request */
	GArray *tallies; /* of struct tally */
};

struct organisation_counts {
	GHashTable *organisations; /* name -> struct organisation */
};

static void organisation_free(void *data)
{
	struct organisation *organisation = data;

	g_array_unref(organisation->tallies);
	g_free(organisation->name);
	g_free(organisation);
}

struct organisation_counts *organisation_counts_create(void)
{
	struct organisation_counts *counts =
		g_new0(struct organisation_counts, 1);

	counts->organisations = g_hash_table_new_full(g_str_hash, g_str_equal,
						      NULL, organisation_free);
	return counts;
}

void organisation_counts_destroy(struct organisation_counts *counts)
{
	if (!counts)
		return;
	g_hash_table_unref(counts->organisations);
	g_free(counts);
}

/* RETURN VALUE: whether the counts of an organisation without recent requests were
 * dropped. */
static bool drop_idle(struct organisation_counts *counts, int64_t interval)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, counts->organisations);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct organisation *organisation = value;

		if (organisation->interval + INTERVALS > interval)
			continue;
		g_hash_table_iter_remove(&iter);
		return true;
	}
	return false;
}

static struct organisation *find(struct organisation_counts *counts,
				 const char *name, int64_t interval)
{
	struct organisation *organisation =
		g_hash_table_lookup(counts->organisations, name);

	if (organisation)
		return organisation;
	/* The last place is for all others. */
	if (g_hash_table_size(counts->organisations) >= ORGANISATION_COUNTS_MAX &&
	    strcmp(name, ORGANISATION_COUNTS_OTHER) != 0 &&
	    !drop_idle(counts, interval))
		return find(counts, ORGANISATION_COUNTS_OTHER, interval);
	organisation = g_new0(struct organisation, 1);
	organisation->name = g_strdup(name);
	organisation->interval = interval;
	organisation->tallies = g_array_new(FALSE, TRUE, sizeof(struct tally));
	g_hash_table_insert(counts->organisations, organisation->name,
			    organisation);
	return organisation;
}

static struct tally *find_tally(struct organisation *organisation,
				enum organisation_outcome outcome,
				const char *reason)
{
	struct tally tally = {.outcome = outcome, .reason = reason};

	for (guint i = 0; i < organisation->tallies->len; i++) {
		struct tally *old =
			&g_array_index(organisation->tallies, struct tally, i);

		if (old->outcome == outcome && strcmp(old->reason, reason) == 0)
			return old;
	}
	g_array_append_val(organisation->tallies, tally);
	return &g_array_index(organisation->tallies, struct tally,
			      organisation->tallies->len - 1);
}

/* Clears the places of the intervals that have begun since the last request. */
static void advance(struct organisation *organisation, int64_t interval)
{
	int64_t passed = MIN(interval - organisation->interval, INTERVALS);

	for (guint i = 0; i < organisation->tallies->len; i++) {
		struct tally *tally =
			&g_array_index(organisation->tallies, struct tally, i);

		for (int64_t j = 0; j < passed; j++)
			tally->recent[(interval - j) % INTERVALS] = 0;
	}
	organisation->interval = interval;
}

void organisation_counts_add(struct organisation_counts *counts,
			     const char *name, enum organisation_outcome outcome,
			     const char *reason, int64_t now_us)
{
	int64_t interval = now_us / INTERVAL_US;
	struct organisation *organisation;
	struct tally *tally;

	if (!counts || !name)
		return;
	organisation = find(counts, name, interval);
	advance(organisation, interval);
	tally = find_tally(organisation, outcome,
			   outcome == ORGANISATION_REFUSED ? reason : "");
	tally->total++;
	tally->recent[interval % INTERVALS]++;
}

static uint64_t sum_recent(const struct organisation *organisation,
			   const struct tally *tally, int64_t now_us)
{
	int64_t first = now_us / INTERVAL_US - INTERVALS + 1;
	uint64_t sum = 0;

	for (int64_t i = first; i <= organisation->interval; i++)
		sum += tally->recent[i % INTERVALS];
	return sum;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct organisation *first = a;
	const struct organisation *second = b;

	return strcmp(first->name, second->name);
}

void organisation_counts_foreach(const struct organisation_counts *counts,
				 int64_t now_us,
				 organisation_count_handler handler, void *data)
{
	GList *sorted = g_list_sort(
		g_hash_table_get_values(counts->organisations), compare_names);

	for (GList *at = sorted; at; at = at->next) {
		const struct organisation *organisation = at->data;

		for (guint i = 0; i < organisation->tallies->len; i++) {
			const struct tally *tally = &g_array_index(
				organisation->tallies, struct tally, i);
			struct organisation_count count = {
				.outcome = tally->outcome,
				.reason = tally->reason,
				.recent = sum_recent(organisation, tally, now_us),
				.total = tally->total,
			};

			handler(organisation->name, &count, data);
		}
	}
	g_list_free(sorted);
}

static void append_total(const char *organisation,
			 const struct organisation_count *count, void *data)
{
	static const char *const outcomes[] = {
		[ORGANISATION_STARTED] = "started",
		[ORGANISATION_RETURNED] = "returned",
		[ORGANISATION_REFUSED] = "refused-",
	};
	GString *labels = g_string_new(NULL);
	char *outcome =
		g_strconcat(outcomes[count->outcome], count->reason, NULL);

	metric_append_label(labels, "organisation", organisation);
	metric_append_label(labels, "outcome", outcome);
	g_string_append_printf(
		data, "comfreydock_" METRIC "{%s} %" G_GUINT64_FORMAT "\n",
		labels->str, count->total);
	g_free(outcome);
	g_string_free(labels, TRUE);
}

void organisation_counts_append_text(const struct organisation_counts *counts,
				     GString *text)
{
	g_string_append(text, "# HELP comfreydock_" METRIC
			      " requests of organisations by outcome\n"
			      "# TYPE comfreydock_" METRIC " counter\n");
	organisation_counts_foreach(counts, clock_mono_us(), append_total, text);
}
