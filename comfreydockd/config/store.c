#include "comfreydockd/config/store_internal.h"

#include <string.h>

#include "comfreydockd/config/check.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/latency.h"
#include "common/log.h"

#define INVALID_ENTRIES_LOGGED 8 /* in one version */

/* The head at which a version of a namespace was applied. */
struct applied_head {
	uint64_t version;
	uint64_t head;
};

static void free_version(gpointer data)
{
	struct config_version *version = data;

	g_free((char *)version->name);
}

GArray *config_versions_create(void)
{
	GArray *versions =
		g_array_new(FALSE, FALSE, sizeof(struct config_version));

	g_array_set_clear_func(versions, free_version);
	return versions;
}

struct config_store *config_store_create(void)
{
	struct config_store *store = g_new0(struct config_store, 1);

	store->current = config_snapshot_create();
	store->listing = config_versions_create();
	store->applied_heads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return store;
}

void config_store_destroy(struct config_store *store)
{
	if (!store)
		return;
	config_snapshot_unref(store->current);
	g_array_unref(store->listing);
	g_hash_table_unref(store->applied_heads);
	g_free(store);
}

void config_store_observe(struct config_store *store,
			  const struct config_store_observer *observer)
{
	g_assert(store->observer_count < OBSERVERS_MAX);
	store->observers[store->observer_count++] = *observer;
}

struct config_snapshot *config_store_current(const struct config_store *store)
{
	return store->current;
}

bool config_store_is_ready(const struct config_store *store)
{
	return store->ready;
}

int64_t config_store_adopted_us(const struct config_store *store)
{
	return store->adopted_us;
}

void config_store_begin_adoption(struct config_store *store)
{
	store->adoptions_open++;
}

void config_store_end_adoption(struct config_store *store)
{
	store->adoptions_open--;
}

bool config_store_is_adopting(const struct config_store *store)
{
	return store->adoptions_open > 0;
}

int64_t config_store_progress_us(const struct config_store *store)
{
	return store->progress_us;
}

void config_store_note_piece(struct config_store *store)
{
	store->progress_us = clock_mono_us();
}

bool config_store_holds(const struct config_store *store, const char *name,
			uint64_t version)
{
	const struct config_namespace *ns =
		config_snapshot_find(store->current, name);

	return ns && ns->version >= version;
}

static bool holds(const struct config_store *store,
		  const struct config_version *version)
{
	return config_store_holds(store, version->name, version->version);
}

GArray *config_store_missing(const struct config_store *store)
{
	GArray *missing =
		g_array_new(FALSE, FALSE, sizeof(struct config_version));

	for (guint i = 0; i < store->listing->len; i++) {
		struct config_version *version =
			&g_array_index(store->listing, struct config_version, i);

		if (!holds(store, version))
			g_array_append_val(missing, *version);
	}
	return missing;
}

bool config_store_has_missing(const struct config_store *store)
{
	for (guint i = 0; i < store->listing->len; i++) {
		if (!holds(store, &g_array_index(store->listing,
						 struct config_version, i)))
			return true;
	}
	return false;
}

static uint64_t applied_head_of(const struct config_store *store,
				const char *name, uint64_t version)
{
	const struct applied_head *applied =
		g_hash_table_lookup(store->applied_heads, name);

	return applied && applied->version == version ? applied->head : 0;
}

static void note_applied_head(struct config_store *store,
			      const struct config_version *version)
{
	struct applied_head *applied =
		g_hash_table_lookup(store->applied_heads, version->name);

	if (!version->at || (applied && applied->version >= version->version))
		return;
	applied = g_new0(struct applied_head, 1);
	applied->version = version->version;
	applied->head = version->at;
	g_hash_table_replace(store->applied_heads, g_strdup(version->name),
			     applied);
}

GArray *config_store_held_versions(const struct config_store *store)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct config_version));
	const GPtrArray *namespaces = store->current->namespaces;

	for (guint i = 0; i < namespaces->len; i++) {
		struct config_namespace *ns = namespaces->pdata[i];
		struct config_version version = {
			.name = ns->name,
			.version = ns->version,
			.at = applied_head_of(store, ns->name, ns->version),
		};

		g_strlcpy(version.sha256, ns->sha256, sizeof(version.sha256));
		g_array_append_val(all, version);
	}
	return all;
}

/* Advances the head to the listed one once no listed version is missing. A store
 * that is not ready becomes ready even if the listed head is 0. If a daemon
 * announced a head earlier, peers would believe it and miss a version. */
static void advance_head(struct config_store *store)
{
	if (!config_store_has_missing(store) &&
	    (store->listed_head > store->head || !store->ready)) {
		store->head = MAX(store->head, store->listed_head);
		store->ready = true;
		if (store->pending_head && store->pending_head <= store->head)
			store_note_confirmed_at(store,
						store->pending_confirmed_us);
		log_event(EV_CONFIG_HEAD_REACHED, LOG_INT("head", store->head));
	}
}

void config_store_note_listing(struct config_store *store, uint64_t head,
			       const struct config_version *versions,
			       size_t count)
{
	if (head < store->listed_head)
		return;
	store_note_known_head(store, head);
	store->listed_head = head;
	g_array_set_size(store->listing, 0);
	for (size_t i = 0; i < count; i++) {
		struct config_version version = versions[i];

		note_applied_head(store, &version);
		version.name = g_strdup(versions[i].name);
		g_array_append_val(store->listing, version);
	}
	advance_head(store);
}

static void note_adopted(const struct config_store *store,
			 const struct config_namespace *ns, int64_t began_us)
{
	int64_t behind_us = config_store_superseded_us(store, store->head);

	counters.config_adopted++;
	if (store->ready && behind_us)
		latency_record_us(&latencies.config_behind, behind_us);
	log_event(EV_CONFIG_ADOPTED, LOG_STR("namespace", ns->name),
		  LOG_INT("version", ns->version), LOG_STR("sha256", ns->sha256),
		  LOG_INT("parse_us", clock_mono_us() - began_us),
		  LOG_INT("behind_us", behind_us));
}

/* began_us: the time at which the parsing of ns began. */
static void adopt(struct config_store *store, struct config_namespace *ns,
		  int64_t began_us)
{
	struct config_snapshot *old = store->current;

	store->current = config_snapshot_with(old, ns);
	config_snapshot_unref(old);
	store->adopted_us = clock_mono_us();
	store->progress_us = store->adopted_us;
	note_adopted(store, ns, began_us);
	for (size_t i = 0; i < store->observer_count; i++) {
		struct config_store_observer *observer = &store->observers[i];

		if (observer->handle_changed)
			observer->handle_changed(store->current, observer->data);
	}
}

bool config_store_load_file(struct config_store *store, const char *file,
			    struct findings *findings)
{
	int64_t began_us = clock_mono_us();
	struct config_namespace *ns;
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, &error)) {
		findings_add(findings, FINDING_ERROR, file, 0, NULL, "%s",
			     error->message);
		g_error_free(error);
		return false;
	}
	ns = config_namespace_load(file, text, findings);
	g_free(text);
	if (!ns)
		return false;
	if (!config_snapshot_find(store->current, ns->name))
		adopt(store, ns, began_us);
	config_namespace_unref(ns);
	store->ready = true;
	return true;
}

static enum config_offer refuse(const char *name, uint64_t version,
				enum config_offer reason, const char *text,
				const char *error)
{
	counters.config_offers_refused++;
	log_event(EV_CONFIG_OFFER_REFUSED, LOG_STR("namespace", name),
		  LOG_INT("version", version), LOG_STR("reason", text),
		  LOG_STR("error", error));
	return reason;
}

static enum config_offer refuse_content(const char *name, uint64_t version,
					const struct findings *findings)
{
	const struct finding *first = TAILQ_FIRST(&findings->list);
	char *error = NULL;

	if (first)
		error = g_strdup_printf("%s: %s", first->path ? first->path : "",
					first->text);
	refuse(name, version, CONFIG_OFFER_BAD_CONTENT,
	       "the body is not a valid file of the namespace",
	       error ? error : "another namespace");
	g_free(error);
	return CONFIG_OFFER_BAD_CONTENT;
}

static void log_invalid_entries(const struct config_namespace *ns,
				const struct findings *findings)
{
	const struct finding *finding;
	unsigned int count = 0;

	TAILQ_FOREACH (finding, &findings->list, link) {
		if (count++ < INVALID_ENTRIES_LOGGED)
			log_event(EV_CONFIG_ENTRY_INVALID,
				  LOG_STR("namespace", ns->name),
				  LOG_INT("version", ns->version),
				  LOG_STR("path",
					  finding->path ? finding->path : ""),
				  LOG_STR("error", finding->text));
	}
	counters.config_invalid_entries += count;
}

static bool is_newer(const struct config_store *store, const char *name,
		     uint64_t version)
{
	return version > 0 && !config_store_holds(store, name, version);
}

/* The caller vouches that sha256 is the hash of the body. */
static enum config_offer adopt_body(struct config_store *store, const char *name,
				    uint64_t version, const char *sha256,
				    const char *body, size_t size)
{
	int64_t began_us = clock_mono_us();
	struct config_namespace *ns = NULL;
	char *text = g_strndup(body, size);
	struct findings findings;

	findings_init(&findings);
	if (strlen(text) == size)
		ns = config_namespace_load_accepted(text, sha256, &findings);
	g_free(text);
	if (!ns || strcmp(ns->name, name) != 0) {
		refuse_content(name, version, &findings);
		findings_finish(&findings);
		config_namespace_unref(ns);
		return CONFIG_OFFER_BAD_CONTENT;
	}
	/* The event loop may have run during the parsing, see slice_yield(), so
	 * a newer version may be in force now. */
	if (!is_newer(store, name, version)) {
		findings_finish(&findings);
		config_namespace_unref(ns);
		return CONFIG_OFFER_NOT_NEWER;
	}
	ns->version = version;
	log_invalid_entries(ns, &findings);
	findings_finish(&findings);
	adopt(store, ns, began_us);
	config_namespace_unref(ns);
	advance_head(store);
	return CONFIG_OFFER_ADOPTED;
}

enum config_offer config_store_offer_trusted(struct config_store *store,
					     const struct config_version *version,
					     const char *body)
{
	if (!is_newer(store, version->name, version->version))
		return CONFIG_OFFER_NOT_NEWER;
	return adopt_body(store, version->name, version->version,
			  version->sha256, body, strlen(body));
}

enum config_offer config_store_offer(struct config_store *store, const char *name,
				     uint64_t version, const char *sha256,
				     const char *body, size_t size)
{
	char hash[65];

	if (!is_newer(store, name, version))
		return CONFIG_OFFER_NOT_NEWER;
	config_body_sha256(body, size, hash);
	if (strcmp(hash, sha256) != 0)
		return refuse(name, version, CONFIG_OFFER_BAD_HASH,
			      "the body does not match its hash", NULL);
	return adopt_body(store, name, version, sha256, body, size);
}
