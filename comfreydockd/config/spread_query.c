#include "comfreydockd/config/spread_internal.h"

#include <string.h>

#include "comfreydockd/config/encodings.h"
#include "common/clock.h"
#include "common/counters.h"

#define ANSWER_TIMEOUT_US (1500 * US_PER_MS)
#define WANTED_MAX 64
#define HELD_MAX 8

/* Names the bodies to which this daemon can apply differences. A difference saves
 * more than the names cost only where bodies are large.
 * RETURN VALUE: their number. */
static size_t collect_held(const struct config_spread *spread,
			   const Cfd__ConfigQuery *query, char **held)
{
	const GPtrArray *namespaces =
		config_store_current(spread->store)->namespaces;
	size_t count = 0;

	for (guint i = 0; i < namespaces->len && count < HELD_MAX; i++) {
		struct config_namespace *ns = namespaces->pdata[i];

		if (config_query_wants(query, ns->name) &&
		    strlen(ns->body) >= ENCODINGS_BODY_MIN_BYTES)
			held[count++] = ns->sha256;
	}
	return count;
}

static void send_query(struct config_spread *spread, const struct member *member,
		       enum config_fetch_step step, Cfd__ConfigQuery *query)
{
	char *held[HELD_MAX];

	query->seq = ++spread->seq;
	query->above_head = config_store_head(spread->store);
	query->head_only = step == CONFIG_FETCH_HEAD;
	query->takes_pieces = true;
	query->takes_encoded = !spread->wants_plain;
	if (query->takes_encoded && !query->head_only)
		query->n_held_sha256 = collect_held(spread, query, held);
	query->held_sha256 = held;
	if (!spread->began_us)
		spread->began_us = spread->now_us;
	spread->step = step;
	spread->head_before = query->above_head;
	spread->give_up_us = spread->now_us + ANSWER_TIMEOUT_US;
	g_strlcpy(spread->asked_host, member->host, sizeof(spread->asked_host));
	counters.config_fetches++;
	spread->ops->ask(member, query, spread->ops->data);
}

void config_query_send_simple(struct config_spread *spread,
			      const struct member *member,
			      enum config_fetch_step step)
{
	Cfd__ConfigQuery query = CFD__CONFIG_QUERY__INIT;

	send_query(spread, member, step, &query);
}

/* RETURN VALUE: whether a version of this namespace is missing. */
static bool contains_name(GArray *missing, const char *name)
{
	for (guint i = 0; name && i < missing->len; i++) {
		if (strcmp(g_array_index(missing, struct config_version, i).name,
			   name) == 0)
			return true;
	}
	return false;
}

/* RETURN VALUE: the number of namespaces put into names, at most WANTED_MAX. */
static size_t collect_names(GArray *missing, char **names)
{
	size_t count = MIN(missing->len, WANTED_MAX);

	for (size_t i = 0; i < count; i++)
		names[i] =
			(char *)g_array_index(missing, struct config_version, i).name;
	return count;
}

void config_query_send_wanted(struct config_spread *spread,
			      const struct member *member, GArray *missing)
{
	struct config_pieces *pieces = &spread->pieces;
	Cfd__ConfigQuery query = CFD__CONFIG_QUERY__INIT;
	char *wanted[WANTED_MAX];

	if (contains_name(missing, pieces->name)) {
		wanted[query.n_wanted++] = pieces->name;
		config_pieces_fill_query(pieces, &query);
	} else {
		query.n_wanted = collect_names(missing, wanted);
	}
	query.wanted = wanted;
	send_query(spread, member, CONFIG_FETCH_BODIES, &query);
}
