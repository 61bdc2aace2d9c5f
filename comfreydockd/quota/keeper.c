#include <math.h>
#include <string.h>

#include "comfreydockd/quota/quota_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

void quota_pool_entry_free(gpointer data)
{
	struct quota_pool_entry *entry = data;

	g_hash_table_unref(entry->paused);
	g_free(entry->name);
	g_free(entry);
}

/* Logs that this host begins or stops keeping pools, not each pool. */
static void note_pools(struct quota *quota)
{
	guint pools = g_hash_table_size(quota->pools);

	if (quota->keeps_pools == (pools > 0))
		return;
	quota->keeps_pools = pools > 0;
	log_event(EV_QUOTA_KEEPER, LOG_INT("keeps", quota->keeps_pools),
		  LOG_INT("live", quota->view.own->live->len),
		  LOG_INT("members", quota->view.members));
}

/* RETURN VALUE: this host's rank for the organisation; QUOTA_RANKS: none. */
static unsigned int rank_of_self(const struct quota *quota,
				 const char *organisation)
{
	const struct member *members[QUOTA_RANKS];
	unsigned int rank = 0;

	quota_view_rank(quota->view.own, organisation, members);
	while (rank < QUOTA_RANKS &&
	       !(members[rank] && quota_is_self(quota, members[rank])))
		rank++;
	return rank;
}

/* RETURN VALUE: false if the pool belongs to another host now. A pool that
 * comes back later must not have the tokens of the time in between. */
static bool verify_pool(struct quota *quota, struct quota_pool_entry *entry,
			int64_t now_us)
{
	unsigned int rank = rank_of_self(quota, entry->name);
	bool was_keeper = entry->pool.mode == QUOTA_POOL_KEEPER;

	if (rank == QUOTA_RANKS || (was_keeper && rank != 0))
		return false;
	if (!was_keeper && rank == 0)
		quota_pool_promote(
			&entry->pool,
			quota_view_keeper_mode(quota, entry->name, now_us),
			quota->view.since_us, now_us);
	return true;
}

void quota_keeper_verify(struct quota *quota, int64_t now_us)
{
	struct quota_pool_entry *entry;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, quota->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
		if (verify_pool(quota, entry, now_us))
			continue;
		quota_transfer_forget(quota, entry);
		g_hash_table_iter_remove(&iter);
	}
	note_pools(quota);
}

void quota_keeper_sweep(struct quota *quota, int64_t now_us)
{
	struct quota_pool_entry *entry;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, quota->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
		/* A pool that is created anew would be full. */
		if (now_us - entry->asked_us < QUOTA_POOL_IDLE_US ||
		    !quota_pool_is_full(&entry->pool, now_us))
			continue;
		quota_transfer_forget(quota, entry);
		g_hash_table_iter_remove(&iter);
	}
	note_pools(quota);
}

static struct quota_pool_entry *create_pool(struct quota *quota,
					    const Cfd__QuotaAsk *ask,
					    const struct quota_limit *limit,
					    unsigned int rank, int64_t now_us)
{
	struct quota_pool_entry *entry = g_new0(struct quota_pool_entry, 1);
	enum quota_pool_mode mode =
		rank == 0 ?
			quota_view_keeper_mode(quota, ask->organisation, now_us) :
			QUOTA_POOL_DEPUTY;

	entry->name = g_strdup(ask->organisation);
	entry->asked_us = now_us;
	entry->paused = g_hash_table_new(g_direct_hash, g_direct_equal);
	quota_pool_init(&entry->pool, &quota->bound, limit, mode,
			quota_view_share(quota), quota->view.since_us, now_us);
	g_hash_table_insert(quota->pools, entry->name, entry);
	counters.quota_pools_created++;
	note_pools(quota);
	return entry;
}

/* RETURN VALUE: NULL if this host is not the one to ask. */
static struct quota_pool_entry *
find_pool(struct quota *quota, const Cfd__QuotaAsk *ask, int64_t now_us)
{
	struct quota_limit limit = {ask->rate_per_s, ask->burst,
				    ask->config_head};
	struct quota_pool_entry *entry =
		g_hash_table_lookup(quota->pools, ask->organisation);
	unsigned int rank;

	if (entry) {
		rank = entry->pool.mode == QUOTA_POOL_KEEPER ? 0 : 1;
	} else {
		rank = rank_of_self(quota, ask->organisation);
		if (g_hash_table_size(quota->pools) >= QUOTA_POOLS_MAX)
			return NULL;
	}
	if (rank >= QUOTA_RANKS || (rank > 0 && !ask->as_deputy))
		return NULL;
	if (!entry)
		return create_pool(quota, ask, &limit, rank, now_us);
	quota_pool_set_limit(&entry->pool, &limit, now_us);
	quota_pool_set_share(&entry->pool, quota_view_share(quota), now_us);
	return entry;
}

static bool ask_is_valid(const Cfd__QuotaAsk *ask)
{
	return ask->organisation[0] &&
	       strlen(ask->organisation) <= QUOTA_NAME_MAX &&
	       ask->wanted <= QUOTA_WANTED_MAX && isfinite(ask->rate_per_s) &&
	       ask->rate_per_s > 0 && isfinite(ask->burst) && ask->burst >= 0;
}

void quota_decide_retry(struct quota_pool *pool,
			struct quota_decision *decision, int64_t now_us)
{
	int64_t next_us = quota_pool_next_us(pool, now_us);
	int64_t come_back_us = next_us;

	/* An ask that got a token may have lacked only those for later calls. */
	if (!decision->granted)
		come_back_us = quota_pool_retry_us(pool, now_us);
	decision->retry_after_ms = (uint32_t)(next_us / US_PER_MS) + 1;
	decision->come_back_ms = (uint32_t)(come_back_us / US_PER_MS) + 1;
}

static void decide_retry(struct quota *quota, struct quota_pool_entry *entry,
			 uint32_t refused, struct quota_decision *decision,
			 int64_t now_us)
{
	uint32_t transfer_ms =
		quota_transfer_begin(quota, entry, refused, now_us);

	if (transfer_ms)
		decision->retry_after_ms = transfer_ms;
	else
		quota_decide_retry(&entry->pool, decision, now_us);
}

struct quota_decision quota_keeper_decide(struct quota *quota,
					  const Cfd__QuotaAsk *ask,
					  int64_t now_us)
{
	struct quota_decision decision = {0};
	struct quota_pool_entry *entry = NULL;

	quota_view_refresh(quota, now_us);
	if (!quota_is_ready(quota)) {
		decision.not_ready = true;
		return decision;
	}
	if (ask_is_valid(ask))
		entry = find_pool(quota, ask, now_us);
	if (!entry) {
		decision.not_keeper = true;
		return decision;
	}
	if (ask->from_keeper) {
		decision.granted =
			quota_pool_give(&entry->pool, ask->wanted, now_us);
		counters.quota_given += decision.granted;
		return decision;
	}
	entry->asked_us = now_us;
	decision.granted = quota_pool_grant(&entry->pool, ask->wanted, now_us);
	counters.quota_granted += decision.granted;
	if (decision.granted < ask->wanted)
		decide_retry(quota, entry, ask->wanted - decision.granted,
			     &decision, now_us);
	return decision;
}

void quota_handle_ask(struct peer *peer, const Cfd__Frame *frame, void *data)
{
	struct quota *quota = data;
	struct quota_decision decision =
		quota_keeper_decide(quota, frame->quota_ask, clock_mono_us());
	Cfd__QuotaGrant grant = CFD__QUOTA_GRANT__INIT;
	Cfd__Frame reply = CFD__FRAME__INIT;

	counters.quota_asks_in++;
	grant.seq = frame->quota_ask->seq;
	grant.granted = decision.granted;
	grant.retry_after_ms = decision.retry_after_ms;
	grant.come_back_ms = decision.come_back_ms;
	grant.not_ready = decision.not_ready;
	grant.not_keeper = decision.not_keeper;
	reply.kind_case = CFD__FRAME__KIND_QUOTA_GRANT;
	reply.quota_grant = &grant;
	peer_send(peer, &reply);
}
