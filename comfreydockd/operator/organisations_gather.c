#include <ev.h>
#include <string.h>
#include <sys/queue.h>

#include "comfreydockd/config/check_rules.h"
#include "comfreydockd/decide/rendezvous.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/operator/organisations.h"
#include "comfreydockd/operator/organisations_report.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/quota/quota.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/jsonc.h"
#include "common/organisation_counts.h"

/* Reasons come from other daemons, which may have a later version. */
#define REASONS_MAX 32
/* The hosts that are asked in a large fleet, on average. Their number varies, as
 * they are drawn by hash. */
#define HOSTS_ASKED (ORGANISATIONS_MAX_HOSTS * 7 / 8)
/* The gathering of figures for one operator request. */
struct gather {
	LIST_ENTRY(gather) link;
	struct organisations_gatherer *gatherer;
	struct http_request *request;
	uint64_t id;
	json_object *root;
	GHashTable *by_name; /* name -> json_object in root */
	GHashTable *asked; /* set of hosts that have not replied yet */
	uint64_t asked_count;
	uint64_t known_count; /* live hosts */
	size_t bytes; /* of the reports so far */
	int64_t oldest_us; /* when the first figures were taken */
	ev_timer timeout;
};

struct organisations_gatherer {
	struct operator_api *api;
	LIST_HEAD(, gather) gathers;
	uint64_t next_id;
};

static json_object *totals_create(void)
{
	json_object *totals = json_object_new_object();

	jsonc_add_uint(totals, "started", 0);
	jsonc_add_uint(totals, "returned", 0);
	json_object_object_add(totals, "refused", json_object_new_object());
	return totals;
}

static void increase(json_object *object, const char *key, uint64_t number)
{
	json_object *value = json_object_object_get(object, key);

	if (value)
		json_object_int_inc(value, (int64_t)MIN(number, INT64_MAX));
	else if (json_object_object_length(object) < REASONS_MAX)
		jsonc_add_uint(object, key, number);
	else
		jsonc_add_uint(object, ORGANISATION_COUNTS_OTHER, number);
}

static void totals_add(json_object *totals, const Cfd__OrganisationCount *count)
{
	if (count->is_returned)
		increase(totals, "returned", count->recent);
	else if (!*count->reason)
		increase(totals, "started", count->recent);
	else
		increase(json_object_object_get(totals, "refused"),
			 count->reason, count->recent);
}

static void add_double(json_object *object, const char *key, double number)
{
	json_object_object_add(object, key, json_object_new_double(number));
}

static json_object *pool_to_json(const struct gather *gather, const char *host,
				 const Cfd__OrganisationPool *pool)
{
	struct member_table *members = gather->gatherer->api->daemon->members;
	const struct member *member =
		members ? member_table_find(members, host) : NULL;
	json_object *root = json_object_new_object();

	jsonc_add_text(root, "keeper", host);
	jsonc_add_text(root, "domain", member ? member->domain : "");
	jsonc_add_bool(root, "is_deputy", pool->is_deputy);
	add_double(root, "share", pool->share);
	add_double(root, "tokens", pool->tokens);
	add_double(root, "rate_per_s", pool->rate_per_s);
	add_double(root, "burst", pool->burst);
	jsonc_add_uint(root, "age_ms", pool->age_ms);
	return root;
}

static void merge_state(struct gather *gather, const char *host, bool is_own,
			const Cfd__OrganisationState *state)
{
	json_object *entry = g_hash_table_lookup(gather->by_name, state->name);

	if (!entry)
		return;
	for (size_t i = 0; i < state->n_counts; i++) {
		if (is_own)
			totals_add(json_object_object_get(entry, "here"),
				   state->counts[i]);
		totals_add(json_object_object_get(entry, "all"),
			   state->counts[i]);
	}
	if (state->pool)
		json_object_array_add(json_object_object_get(entry, "pools"),
				      pool_to_json(gather, host, state->pool));
}

static void merge_report(struct gather *gather, const char *host, bool is_own,
			 const Cfd__OrganisationReport *report)
{
	for (size_t i = 0; i < report->n_states; i++)
		merge_state(gather, host, is_own, report->states[i]);
	if (report->is_cut)
		json_object_object_add(gather->root, "is_cut",
				       json_object_new_boolean(TRUE));
}

static void gather_finish(struct gather *gather)
{
	jsonc_add_uint(gather->root, "hosts", gather->known_count);
	jsonc_add_uint(gather->root, "hosts_asked", gather->asked_count);
	operator_add_hosts(gather->root, "missing", gather->asked);
	jsonc_add_uint(
		gather->root, "age_ms",
		(uint64_t)((clock_mono_us() - gather->oldest_us) / US_PER_MS));
	operator_reply(gather->request, 200, gather->root);
	ev_timer_stop(gather->gatherer->api->daemon->loop, &gather->timeout);
	LIST_REMOVE(gather, link);
	g_hash_table_unref(gather->by_name);
	g_hash_table_unref(gather->asked);
	g_free(gather);
}

static void handle_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	gather_finish(timer->data);
}

static void handle_query(struct peer *peer, const Cfd__Frame *query_frame,
			 void *data)
{
	struct organisations_gatherer *gatherer = data;
	Cfd__Frame frame = CFD__FRAME__INIT;

	frame.kind_case = CFD__FRAME__KIND_ORGANISATION_REPORT;
	frame.organisation_report = organisations_report_create(
		gatherer->api, query_frame->organisation_query);
	peer_send(peer, &frame);
	cfd__organisation_report__free_unpacked(frame.organisation_report, NULL);
}

static void handle_report(struct peer *peer, const Cfd__Frame *frame, void *data)
{
	const Cfd__OrganisationReport *report = frame->organisation_report;
	struct organisations_gatherer *gatherer = data;
	struct gather *gather;

	LIST_FOREACH (gather, &gatherer->gathers, link) {
		if (gather->id == report->id)
			break;
	}
	if (!gather || !g_hash_table_remove(gather->asked, peer_host(peer)))
		return;
	merge_report(gather, peer_host(peer), false, report);
	gather->bytes += cfd__organisation_report__get_packed_size(report);
	if (g_hash_table_size(gather->asked) == 0 ||
	    gather->bytes >= ORGANISATIONS_MAX_BYTES)
		gather_finish(gather);
}

static uint64_t count_live(struct member_table *members)
{
	struct member *member;
	uint64_t count = 0;

	TAILQ_FOREACH (member, member_table_all(members), link)
		count += member_is_live(member);
	return count;
}

/* Asks all live hosts, or in a large fleet those with the highest rendezvous
 * weights, among which are the keepers of the organisation. */
static void query_hosts(struct gather *gather, Cfd__OrganisationQuery *query,
			const char *keeper_key)
{
	struct daemon *daemon = gather->gatherer->api->daemon;
	Cfd__Frame frame = CFD__FRAME__INIT;
	uint64_t least_weight = 0;
	struct member *member;

	frame.kind_case = CFD__FRAME__KIND_ORGANISATION_QUERY;
	frame.organisation_query = query;
	gather->known_count = count_live(daemon->members);
	if (gather->known_count > ORGANISATIONS_MAX_HOSTS)
		least_weight = UINT64_MAX -
			       UINT64_MAX / gather->known_count * HOSTS_ASKED;
	TAILQ_FOREACH (member, member_table_all(daemon->members), link) {
		if (!member_is_live(member) ||
		    strcmp(member->host, daemon->settings->host) == 0 ||
		    gather->asked_count == ORGANISATIONS_MAX_HOSTS ||
		    rendezvous_weight(member->host, keeper_key) < least_weight)
			continue;
		gather->asked_count++;
		g_hash_table_add(gather->asked, g_strdup(member->host));
		peer_send(peers_connect_for_query(daemon->peers, member), &frame);
	}
}

static json_object *entry_create(const char *name)
{
	json_object *entry = json_object_new_object();

	jsonc_add_text(entry, "name", name);
	json_object_object_add(entry, "here", totals_create());
	json_object_object_add(entry, "all", totals_create());
	return entry;
}

static json_object *
organisation_to_json(const struct config_organisation *organisation)
{
	json_object *entry = entry_create(organisation->name);

	jsonc_add_text(entry, "class",
		       organisation->has_class ?
			       config_class_names[organisation->class] :
			       "");
	add_double(entry, "rate_per_s", organisation->rate_per_s);
	add_double(entry, "burst", organisation->burst);
	jsonc_add_uint(entry, "keys",
		       organisation->digests ? organisation->digests->len : 0);
	json_object_object_add(entry, "pools", json_object_new_array());
	return entry;
}

static void fill_root(struct gather *gather, const struct organisations_page *page)
{
	json_object *list = json_object_new_array();
	json_object *entry;

	gather->root = json_object_new_object();
	json_object_object_add(gather->root, "organisations", list);
	for (guint i = 0; i < page->organisations->len; i++) {
		const struct config_organisation *organisation =
			page->organisations->pdata[i];

		entry = organisation_to_json(organisation);
		json_object_array_add(list, entry);
		g_hash_table_insert(gather->by_name,
				    g_strdup(organisation->name), entry);
	}
	if (page->next)
		jsonc_add_text(gather->root, "next", page->next);
	/* An organisation may have this name, too. */
	if (page->is_single ||
	    g_hash_table_contains(gather->by_name, ORGANISATION_COUNTS_OTHER))
		return;
	entry = entry_create(ORGANISATION_COUNTS_OTHER);
	json_object_object_add(gather->root, "other", entry);
	g_hash_table_insert(gather->by_name,
			    g_strdup(ORGANISATION_COUNTS_OTHER), entry);
}

static void gather_run(struct gather *gather, Cfd__OrganisationQuery *query,
		       const char *keeper_key)
{
	struct operator_api *api = gather->gatherer->api;
	Cfd__OrganisationReport *own = organisations_report_create(api, query);

	merge_report(gather, api->daemon->settings->host, true, own);
	cfd__organisation_report__free_unpacked(own, NULL);
	/* Where no organisation is configured, no other daemon needs to know
	 * these frames: earlier releases close a connection on them. */
	if (api->daemon->peers && *query->first)
		query_hosts(gather, query, keeper_key);
	if (g_hash_table_size(gather->asked) == 0)
		gather_finish(gather);
	else
		ev_timer_start(api->daemon->loop, &gather->timeout);
}

void organisations_gather(struct organisations_gatherer *gatherer,
			  struct http_request *request,
			  const struct organisations_page *page)
{
	struct gather *gather = g_new0(struct gather, 1);
	Cfd__OrganisationQuery query = CFD__ORGANISATION_QUERY__INIT;
	guint count = page->organisations->len;
	const struct config_organisation *const *all =
		(const struct config_organisation *const *)page->organisations->pdata;
	char *keeper_key;

	gather->gatherer = gatherer;
	gather->request = request;
	gather->id = ++gatherer->next_id;
	gather->oldest_us = clock_mono_us();
	gather->by_name =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	gather->asked =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&gather->timeout, handle_timeout, ORGANISATIONS_TIMEOUT_S,
		      0.0);
	gather->timeout.data = gather;
	LIST_INSERT_HEAD(&gatherer->gathers, gather, link);
	fill_root(gather, page);
	query.id = gather->id;
	query.first = count ? all[0]->name : "";
	query.last = count ? all[count - 1]->name : "";
	query.with_other = !page->is_single;
	keeper_key = g_strconcat(QUOTA_KEEPER_PREFIX,
				 page->is_single ? query.first : "", NULL);
	gather_run(gather, &query, keeper_key);
	g_free(keeper_key);
}

struct organisations_gatherer *
organisations_gatherer_create(struct operator_api *api)
{
	struct organisations_gatherer *gatherer =
		g_new0(struct organisations_gatherer, 1);
	struct peers *peers = api->daemon->peers;

	gatherer->api = api;
	LIST_INIT(&gatherer->gathers);
	if (!peers)
		return gatherer;
	peers_set_frame_handler(peers, CFD__FRAME__KIND_ORGANISATION_QUERY,
				handle_query, gatherer);
	peers_set_frame_handler(peers, CFD__FRAME__KIND_ORGANISATION_REPORT,
				handle_report, gatherer);
	return gatherer;
}

void organisations_gatherer_destroy(struct organisations_gatherer *gatherer)
{
	struct gather *gather;

	if (!gatherer)
		return;
	while ((gather = LIST_FIRST(&gatherer->gathers)))
		gather_finish(gather);
	g_free(gatherer);
}
