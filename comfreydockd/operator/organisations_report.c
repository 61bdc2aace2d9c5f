#include "comfreydockd/operator/organisations_report.h"

#include <stdlib.h>
#include <string.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/operator/organisations.h"
#include "common/clock.h"
#include "common/organisation_counts.h"

struct builder {
	const struct operator_api *api;
	const Cfd__OrganisationQuery *query;
	Cfd__OrganisationReport *report;
};

/* protobuf-c frees the parts of a message with free(). */
static void *allocate(size_t size)
{
	void *bytes = calloc(1, size);

	g_assert(bytes);
	return bytes;
}

static char *copy_text(const char *text)
{
	char *copy = allocate(strlen(text) + 1);

	return strcpy(copy, text);
}

static bool is_asked_for(const struct builder *builder, const char *name)
{
	if (strcmp(name, ORGANISATION_COUNTS_OTHER) == 0 &&
	    builder->query->with_other)
		return true;
	return strcmp(name, builder->query->first) >= 0 &&
	       strcmp(name, builder->query->last) <= 0;
}

/* RETURN VALUE: NULL if the report is full. */
static Cfd__OrganisationState *find_state(struct builder *builder,
					  const char *name)
{
	Cfd__OrganisationReport *report = builder->report;
	Cfd__OrganisationState *state;

	for (size_t i = report->n_states; i > 0; i--) {
		if (strcmp(report->states[i - 1]->name, name) == 0)
			return report->states[i - 1];
	}
	if (report->n_states == ORGANISATIONS_REPORT_MAX) {
		report->is_cut = true;
		return NULL;
	}
	state = allocate(sizeof(*state));
	cfd__organisation_state__init(state);
	state->name = copy_text(name);
	report->states[report->n_states++] = state;
	return state;
}

static void add_count(const char *organisation,
		      const struct organisation_count *count, void *data)
{
	struct builder *builder = data;
	Cfd__OrganisationState *state;
	Cfd__OrganisationCount *copy;

	if (!count->recent || !is_asked_for(builder, organisation))
		return;
	state = find_state(builder, organisation);
	if (!state)
		return;
	copy = allocate(sizeof(*copy));
	cfd__organisation_count__init(copy);
	copy->reason = copy_text(count->reason);
	copy->is_returned = count->outcome == ORGANISATION_RETURNED;
	copy->recent = count->recent;
	state->counts =
		realloc(state->counts, (state->n_counts + 1) *
					       sizeof(Cfd__OrganisationCount *));
	g_assert(state->counts);
	state->counts[state->n_counts++] = copy;
}

static void add_pool(const struct config_organisation *organisation, void *data)
{
	struct builder *builder = data;
	const struct operator_api *api = builder->api;
	Cfd__OrganisationState *state;
	struct organisation_pool pool;
	Cfd__OrganisationPool *copy;

	if (!is_asked_for(builder, organisation->name) ||
	    !api->read_pool(api->pool_data, organisation->name, &pool))
		return;
	state = find_state(builder, organisation->name);
	if (!state)
		return;
	copy = allocate(sizeof(*copy));
	cfd__organisation_pool__init(copy);
	copy->is_deputy = pool.is_deputy;
	copy->share = pool.share;
	copy->tokens = pool.tokens;
	copy->rate_per_s = pool.rate_per_s;
	copy->burst = pool.burst;
	copy->age_ms = (uint64_t)(MAX(pool.age_us, 0) / US_PER_MS);
	state->pool = copy;
}

Cfd__OrganisationReport *
organisations_report_create(const struct operator_api *api,
			    const Cfd__OrganisationQuery *query)
{
	struct builder builder = {
		.api = api,
		.query = query,
		.report = allocate(sizeof(Cfd__OrganisationReport)),
	};

	cfd__organisation_report__init(builder.report);
	builder.report->id = query->id;
	builder.report->states = allocate(ORGANISATIONS_REPORT_MAX *
					  sizeof(Cfd__OrganisationState *));
	if (api->daemon->organisation_counts)
		organisation_counts_foreach(api->daemon->organisation_counts,
					    clock_mono_us(), add_count, &builder);
	if (api->read_pool)
		organisations_foreach(config_store_current(api->daemon->config),
				      add_pool, &builder);
	return builder.report;
}
