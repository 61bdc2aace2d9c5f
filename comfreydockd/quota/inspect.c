#include "comfreydockd/quota/quota_internal.h"
#include "common/clock.h"

bool quota_read_pool(void *data, const char *organisation,
		     struct organisation_pool *pool)
{
	const struct quota *quota = data;
	int64_t now_us = clock_mono_us();
	struct quota_pool_entry *entry =
		g_hash_table_lookup(quota->pools, organisation);

	if (!entry)
		return false;
	*pool = (struct organisation_pool){
		.is_deputy = entry->pool.mode == QUOTA_POOL_DEPUTY,
		.share = entry->pool.share,
		.tokens = quota_pool_tokens(&entry->pool, now_us),
		.rate_per_s = entry->pool.limit.rate_per_s,
		.burst = entry->pool.limit.burst,
		.age_us = now_us - entry->asked_us,
	};
	return true;
}
