#include "comfreydockd/quota/quota.h"

#include "comfreydockd/quota/quota_internal.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/metric.h"

#define SWEEP_S 1.0

uint64_t quota_next_seq(struct quota *quota)
{
	return ++quota->last_seq;
}

void quota_send_ask(struct quota *quota, const struct member *member,
		    const Cfd__QuotaAsk *ask)
{
	Cfd__Frame frame = CFD__FRAME__INIT;

	frame.kind_case = CFD__FRAME__KIND_QUOTA_ASK;
	frame.quota_ask = (Cfd__QuotaAsk *)ask;
	peer_send(peers_connect(quota->daemon->peers, member), &frame);
}

/* The tokens of a grant that comes too late are lost. */
static void handle_grant(struct peer *peer, const Cfd__Frame *frame, void *data)
{
	struct quota *quota = data;
	const Cfd__QuotaGrant *grant = frame->quota_grant;
	struct quota_client *client =
		g_hash_table_lookup(quota->asks, &grant->seq);
	struct quota_client *late =
		g_hash_table_lookup(quota->late_asks, &grant->seq);
	struct quota_pool_entry *entry =
		g_hash_table_lookup(quota->transfers, &grant->seq);

	(void)peer;
	if (client)
		quota_client_handle_grant(client, grant, clock_mono_us());
	else if (entry)
		quota_transfer_handle_grant(quota, entry, grant, clock_mono_us());
	else
		counters.quota_late++;
	if (late)
		quota_client_handle_late_grant(late, grant);
}

static void handle_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct quota *quota = timer->data;
	int64_t now_us = clock_mono_us();

	(void)loop;
	(void)events;
	quota_view_refresh(quota, now_us);
	quota_keeper_sweep(quota, now_us);
	quota_client_sweep(quota, now_us);
}

struct quota *quota_create(struct daemon *daemon)
{
	const struct settings_quota *settings = &daemon->settings->quota;
	struct quota *quota = g_new0(struct quota, 1);

	quota->daemon = daemon;
	quota->bound = (struct quota_bound){settings->window_s,
					    settings->overage, settings->slack};
	quota->created_us = clock_mono_us();
	quota->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     quota_pool_entry_free);
	quota->clients = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       quota_client_free);
	quota->asks = g_hash_table_new(g_int64_hash, g_int64_equal);
	quota->late_asks = g_hash_table_new(g_int64_hash, g_int64_equal);
	quota->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
	ev_timer_init(&quota->sweep, handle_sweep, SWEEP_S, SWEEP_S);
	quota->sweep.data = quota;
	if (settings->window_s <= 0)
		return quota;
	quota_view_init(quota);
	ev_timer_start(daemon->loop, &quota->sweep);
	peers_set_frame_handler(daemon->peers, CFD__FRAME__KIND_QUOTA_ASK,
				quota_handle_ask, quota);
	peers_set_frame_handler(daemon->peers, CFD__FRAME__KIND_QUOTA_GRANT,
				handle_grant, quota);
	return quota;
}

void quota_destroy(struct quota *quota)
{
	if (!quota)
		return;
	if (quota->bound.window_s > 0) {
		peers_set_frame_handler(quota->daemon->peers,
					CFD__FRAME__KIND_QUOTA_ASK, NULL, NULL);
		peers_set_frame_handler(quota->daemon->peers,
					CFD__FRAME__KIND_QUOTA_GRANT, NULL, NULL);
		quota_view_finish(quota);
	}
	ev_timer_stop(quota->daemon->loop, &quota->sweep);
	g_hash_table_unref(quota->clients);
	g_hash_table_unref(quota->pools);
	g_hash_table_unref(quota->asks);
	g_hash_table_unref(quota->late_asks);
	g_hash_table_unref(quota->transfers);
	g_free(quota);
}

static void append_pools(const struct quota *quota, GString *text)
{
	int64_t now_us = clock_mono_us();
	unsigned int deputies = 0;
	struct quota_pool_entry *entry;
	GHashTableIter iter;
	double tokens = 0;

	g_hash_table_iter_init(&iter, quota->pools);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry)) {
		deputies += entry->pool.mode == QUOTA_POOL_DEPUTY;
		tokens += quota_pool_tokens(&entry->pool, now_us);
	}
	metric_begin_gauge(text, "quota_pools", "pools of tokens on this host");
	metric_append_line(text, "quota_pools", "mode", "keeper",
			   g_hash_table_size(quota->pools) - deputies);
	metric_append_line(text, "quota_pools", "mode", "deputy", deputies);
	metric_append_gauge(text, "quota_pool_tokens", "tokens in these pools",
			    tokens);
}

void quota_append_metrics(const struct quota *quota, GString *text)
{
	struct quota_client *client;
	GHashTableIter iter;
	uint64_t waiting = 0;

	if (quota->bound.window_s <= 0)
		return;
	append_pools(quota, text);
	g_hash_table_iter_init(&iter, quota->clients);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&client))
		waiting += client->waiting_count;
	metric_append_gauge(text, "quota_clients",
			    "organisations whose tokens this entry uses",
			    g_hash_table_size(quota->clients));
	metric_append_gauge(text, "quota_waiting",
			    "requests that wait for a token", (double)waiting);
}
