#include <string.h>

#include "comfreydockd/decide/rendezvous.h"
#include "comfreydockd/member/gossip.h"
#include "comfreydockd/quota/quota_internal.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"

/* Longest key for the rendezvous hash. */
#define KEY_MAX (QUOTA_NAME_MAX + sizeof(QUOTA_KEEPER_PREFIX))

static void domain_free(gpointer data)
{
	struct quota_domain *domain = data;

	g_ptr_array_unref(domain->live);
	g_free(domain);
}

static void handle_changed(struct member *member, void *data)
{
	struct quota *quota = data;

	(void)member;
	quota->view.is_stale = true;
}

/* The member is freed after this call, so the lists must not be used again. */
static void handle_removed(struct member *member, void *data)
{
	struct quota *quota = data;

	handle_changed(member, data);
	quota->view.has_freed = true;
}

void quota_view_init(struct quota *quota)
{
	struct member_observer observer = {
		.handle_changed = handle_changed,
		.handle_removed = handle_removed,
		.data = quota,
	};

	quota->view.domains = g_ptr_array_new_with_free_func(domain_free);
	quota->view.lost = g_ptr_array_new();
	quota->view.is_stale = true;
	quota->view.recount_us = INT64_MAX;
	quota->view.since_us = clock_mono_us();
	member_table_observe(quota->daemon->members, &observer);
}

void quota_view_finish(struct quota *quota)
{
	member_table_unobserve(quota->daemon->members, quota);
	g_ptr_array_unref(quota->view.domains);
	g_ptr_array_unref(quota->view.lost);
}

static struct quota_domain *domain_get(struct quota_view *view,
				       GHashTable *by_name, const char *name)
{
	struct quota_domain *domain = g_hash_table_lookup(by_name, name);

	if (domain)
		return domain;
	domain = g_new0(struct quota_domain, 1);
	domain->name = name;
	domain->live = g_ptr_array_new();
	g_hash_table_insert(by_name, (gpointer)name, domain);
	g_ptr_array_add(view->domains, domain);
	return domain;
}

static gint compare_live(gconstpointer a, gconstpointer b)
{
	const struct quota_domain *one = *(struct quota_domain *const *)a;
	const struct quota_domain *other = *(struct quota_domain *const *)b;

	if (one->live->len != other->live->len)
		return one->live->len > other->live->len ? -1 : 1;
	return strcmp(one->name, other->name);
}

/* RETURN VALUE: a digest of the live hosts, in whatever order. */
static uint64_t domain_digest(const struct quota_domain *domain)
{
	uint64_t digest = domain->live->len;

	for (guint i = 0; i < domain->live->len; i++) {
		const struct member *member = domain->live->pdata[i];

		digest ^= rendezvous_weight(member->host, "");
	}
	return digest;
}

/* RETURN VALUE: from when on the live member counts in the share. One that this
 * host has known from its start on, or that has just started itself, counts at
 * once. */
static int64_t counts_from_us(const struct quota *quota,
			      const struct member *member, int64_t now_us)
{
	int64_t up_us = clock_wall_us() - (int64_t)member->incarnation;
	int64_t seen_us = member->state_since_us;

	if (!quota->ready_us || seen_us <= quota->ready_us ||
	    seen_us - (now_us - up_us) < QUOTA_POOL_SETTLE_US)
		return now_us;
	return seen_us + QUOTA_POOL_SETTLE_US;
}

/* A host that is live again may come from the other side of a partition, whose
 * keeper counts it until it has learned of this side. */
static void view_count(struct quota *quota, int64_t now_us)
{
	struct quota_view *view = &quota->view;

	view->counted = 0;
	view->recount_us = INT64_MAX;
	for (guint i = 0; i < view->own->live->len; i++) {
		const struct member *member = view->own->live->pdata[i];
		int64_t from_us = counts_from_us(quota, member, now_us);

		if (quota_is_self(quota, member) || from_us <= now_us)
			view->counted++;
		else
			view->recount_us = MIN(view->recount_us, from_us);
	}
	view->recount_us = MAX(view->recount_us, now_us + QUOTA_VIEW_INTERVAL_US);
}

static void view_fill(struct quota *quota)
{
	struct quota_view *view = &quota->view;
	const char *setting = quota->daemon->settings->domain;
	const char *own = g_intern_string(setting ? setting : "");
	GHashTable *by_name = g_hash_table_new(g_direct_hash, g_direct_equal);
	struct member *member;

	g_ptr_array_set_size(view->domains, 0);
	g_ptr_array_set_size(view->lost, 0);
	view->members = 0;
	TAILQ_FOREACH (member, member_table_all(quota->daemon->members), link) {
		view->members += member->state != MEMBER_LEFT;
		if (member->state == MEMBER_ALIVE)
			g_ptr_array_add(
				domain_get(view, by_name, member->domain)->live,
				member);
		else if (member->state != MEMBER_LEFT && member->domain == own)
			g_ptr_array_add(view->lost, member);
	}
	view->own = domain_get(view, by_name, own);
	g_ptr_array_sort(view->domains, compare_live);
	g_hash_table_unref(by_name);
}

void quota_view_refresh(struct quota *quota, int64_t now_us)
{
	struct quota_view *view = &quota->view;
	uint64_t digest;

	if (!quota->ready_us && quota_is_ready(quota))
		quota->ready_us = now_us;
	if (now_us >= view->recount_us && !view->has_freed)
		view_count(quota, now_us);
	if (!view->is_stale || (now_us < view->next_us && !view->has_freed))
		return;
	view_fill(quota);
	view_count(quota, now_us);
	view->is_stale = false;
	view->has_freed = false;
	view->next_us = now_us + QUOTA_VIEW_INTERVAL_US;
	digest = domain_digest(view->own);
	if (digest == view->digest)
		return;
	view->digest = digest;
	view->version++;
	view->since_us = now_us;
	quota_keeper_verify(quota, now_us);
}

/* A daemon's incarnation begins as the wall time of its start. */
static bool has_started_with_self(const struct quota *quota,
				  const struct member *member)
{
	return member->incarnation + QUOTA_POOL_SETTLE_US >=
	       quota->daemon->incarnation;
}

/* RETURN VALUE: whether another live host of the domain was there before this
 * one, so that it may not know yet that this one is keeper. */
static bool has_older_host(const struct quota *quota)
{
	const GPtrArray *live = quota->view.own->live;

	for (guint i = 0; i < live->len; i++) {
		if (!quota_is_self(quota, live->pdata[i]) &&
		    !has_started_with_self(quota, live->pdata[i]))
			return true;
	}
	return false;
}

static bool is_suspect_before(const struct quota *quota,
			      const struct member *member, const char *key,
			      int64_t now_us)
{
	return member->state == MEMBER_SUSPECT &&
	       now_us - member->state_since_us < QUOTA_POOL_SETTLE_US &&
	       rendezvous_weight(member->host, key) >
		       rendezvous_weight(quota->daemon->settings->host, key);
}

enum quota_pool_mode quota_view_keeper_mode(const struct quota *quota,
					    const char *organisation,
					    int64_t now_us)
{
	const GPtrArray *lost = quota->view.lost;
	char key[KEY_MAX];

	/* Lost hosts may have restarted as well, on another side of a
	 * partition that is about to end. */
	if (now_us - quota->ready_us < QUOTA_POOL_SETTLE_US &&
	    (lost->len || has_older_host(quota)))
		return QUOTA_POOL_SETTLING;
	g_snprintf(key, sizeof(key), QUOTA_KEEPER_PREFIX "%s", organisation);
	for (guint i = 0; i < lost->len; i++) {
		if (is_suspect_before(quota, lost->pdata[i], key, now_us))
			return QUOTA_POOL_SETTLING;
	}
	return QUOTA_POOL_KEEPER;
}

double quota_view_share(const struct quota *quota)
{
	const struct quota_view *view = &quota->view;

	return view->members ? (double)view->counted / view->members : 0;
}

void quota_view_rank(const struct quota_domain *domain, const char *organisation,
		     const struct member *members[QUOTA_RANKS])
{
	uint64_t weights[QUOTA_RANKS] = {0};
	char key[KEY_MAX];

	g_snprintf(key, sizeof(key), QUOTA_KEEPER_PREFIX "%s", organisation);
	members[0] = NULL;
	members[1] = NULL;
	for (guint i = 0; i < domain->live->len; i++) {
		const struct member *member = domain->live->pdata[i];
		uint64_t weight = rendezvous_weight(member->host, key);

		if (!members[0] || weight > weights[0]) {
			members[1] = members[0];
			weights[1] = weights[0];
			members[0] = member;
			weights[0] = weight;
		} else if (!members[1] || weight > weights[1]) {
			members[1] = member;
			weights[1] = weight;
		}
	}
}

bool quota_is_self(const struct quota *quota, const struct member *member)
{
	return strcmp(member->host, quota->daemon->settings->host) == 0;
}

static bool is_alone(const struct quota *quota)
{
	char **join = quota->daemon->settings->join;

	return (!join || !*join) && !gossip_has_peers(quota->daemon->gossip);
}

bool quota_is_ready(const struct quota *quota)
{
	return gossip_table_is_complete(quota->daemon->gossip) || is_alone(quota);
}

int64_t quota_isolated_since_us(const struct quota *quota, int64_t now_us)
{
	int64_t heard_us =
		MAX(gossip_heard_us(quota->daemon->gossip), quota->created_us);

	if (quota->view.members < 2 || now_us - heard_us <= QUOTA_ISOLATED_US)
		return 0;
	return heard_us + QUOTA_ISOLATED_US;
}
