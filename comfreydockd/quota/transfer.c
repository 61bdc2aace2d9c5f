#include "comfreydockd/quota/quota_internal.h"
#include "common/clock.h"
#include "common/counters.h"

static bool is_paused(const struct quota_pool_entry *entry,
		      const struct quota_domain *domain, int64_t now_us)
{
	gpointer until = g_hash_table_lookup(entry->paused, domain->name);

	return now_us < (int64_t)GPOINTER_TO_SIZE(until);
}

static void pause_domain(struct quota_pool_entry *entry, int64_t now_us)
{
	gsize until_us = (gsize)(now_us + QUOTA_TRANSFER_PAUSE_US);

	g_hash_table_insert(entry->paused, (gpointer)entry->transfer_domain,
			    GSIZE_TO_POINTER(until_us));
}

void quota_transfer_forget(struct quota *quota, struct quota_pool_entry *entry)
{
	if (entry->transfer_seq)
		g_hash_table_remove(quota->transfers, &entry->transfer_seq);
	entry->transfer_seq = 0;
}

/* RETURN VALUE: the keeper in the first domain that may have tokens. */
static const struct member *choose_keeper(struct quota *quota,
					  struct quota_pool_entry *entry,
					  int64_t now_us)
{
	const struct member *members[QUOTA_RANKS];

	for (guint i = 0; i < quota->view.domains->len; i++) {
		const struct quota_domain *domain = quota->view.domains->pdata[i];

		if (domain == quota->view.own || !domain->live->len ||
		    is_paused(entry, domain, now_us))
			continue;
		entry->transfer_domain = domain->name;
		quota_view_rank(domain, entry->name, members);
		return members[0];
	}
	return NULL;
}

static void send_transfer_ask(struct quota *quota, struct quota_pool_entry *entry,
			      uint32_t wanted, const struct member *keeper)
{
	Cfd__QuotaAsk ask = CFD__QUOTA_ASK__INIT;

	ask.seq = entry->transfer_seq;
	ask.organisation = entry->name;
	ask.wanted = wanted;
	ask.from_keeper = true;
	ask.rate_per_s = entry->pool.limit.rate_per_s;
	ask.burst = entry->pool.limit.burst;
	ask.config_head = entry->pool.limit.config_head;
	counters.quota_transfers++;
	quota_send_ask(quota, keeper, &ask);
}

uint32_t quota_transfer_begin(struct quota *quota, struct quota_pool_entry *entry,
			      uint32_t refused, int64_t now_us)
{
	uint32_t wanted = quota_pool_missing(&entry->pool, refused, now_us);
	int64_t since_us = now_us - entry->transfer_us;
	const struct member *keeper;

	if (entry->transfer_seq && since_us < QUOTA_REPLY_TIMEOUT_US)
		return QUOTA_TRANSFER_RETRY_MS;
	if (entry->transfer_seq)
		pause_domain(entry, now_us);
	quota_transfer_forget(quota, entry);
	keeper = wanted ? choose_keeper(quota, entry, now_us) : NULL;
	if (!keeper)
		return 0;
	if (since_us < QUOTA_TRANSFER_INTERVAL_US)
		return (uint32_t)((QUOTA_TRANSFER_INTERVAL_US - since_us) /
				  US_PER_MS) +
		       1;
	entry->transfer_seq = quota_next_seq(quota);
	entry->transfer_us = now_us;
	entry->transfer_wanted = wanted;
	g_hash_table_insert(quota->transfers, &entry->transfer_seq, entry);
	send_transfer_ask(quota, entry, wanted, keeper);
	return QUOTA_TRANSFER_RETRY_MS;
}

void quota_transfer_handle_grant(struct quota *quota,
				 struct quota_pool_entry *entry,
				 const Cfd__QuotaGrant *grant, int64_t now_us)
{
	uint32_t granted = MIN(grant->granted, entry->transfer_wanted);

	quota_transfer_forget(quota, entry);
	if (now_us - entry->transfer_us >= QUOTA_REPLY_TIMEOUT_US) {
		counters.quota_late++;
		return;
	}
	if (!granted)
		pause_domain(entry, now_us);
	counters.quota_received += granted;
	quota_pool_add(&entry->pool, granted, now_us);
}
