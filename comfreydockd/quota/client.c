#include <string.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/quota/quota_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/timer.h"

static void client_ask(struct quota_client *client, int64_t now_us);

static void client_apply(struct quota_client *client,
			 const struct quota_decision *decision, int64_t now_us)
{
	int64_t retry_us = (int64_t)decision->retry_after_ms * US_PER_MS;
	int64_t come_back_us = (int64_t)decision->come_back_ms * US_PER_MS;
	bool is_short = decision->granted < client->asked_wanted;

	quota_lease_add(&client->lease, decision->granted, client->asked_us);
	client->next_us = now_us + retry_us;
	client->come_back_at_us = now_us + MAX(come_back_us, retry_us);
	client->short_until_us = 0;
	if (is_short && come_back_us)
		client->short_until_us =
			now_us + MIN(retry_us, QUOTA_SHORT_MAX_US);
	quota_waiting_serve(client, now_us);
	/* What a deputy lacks shows nothing while the next keeper is not known. */
	if (is_short && client->asked_deputy && client->is_keeper_starting) {
		quota_waiting_delay(client, now_us);
		return;
	}
	if (is_short)
		quota_waiting_refuse(client, now_us);
	quota_waiting_schedule(client, is_short ? retry_us : 0);
}

/* RETURN VALUE: false where the domain has one live host, as of the last ask. */
static bool client_has_deputy(const struct quota_client *client)
{
	return *client->ranked[1];
}

/* The host that was asked grants nothing: it is silent, not ready or does not
 * keep the pool. */
static void client_note_no_grant(struct quota_client *client, int64_t now_us)
{
	if (client->asked_deputy || !client_has_deputy(client)) {
		if (client->is_keeper_starting)
			quota_waiting_delay(client, now_us);
		else
			quota_waiting_fail(client);
		return;
	}
	client->deputy_until_us = now_us + QUOTA_DEPUTY_US;
	if (client->waiting_count)
		client_ask(client, now_us);
}

static void client_decide(struct quota_client *client,
			  const struct quota_decision *decision, int64_t now_us)
{
	/* A keeper that stops denies being one some tens of milliseconds before
	 * this host learns of the next one. */
	if (!client->asked_deputy)
		client->is_keeper_starting = decision->not_ready ||
					     decision->not_keeper ||
					     !quota_is_ready(client->quota);
	if (decision->not_ready || decision->not_keeper)
		client_note_no_grant(client, now_us);
	else
		client_apply(client, decision, now_us);
}

void quota_client_handle_grant(struct quota_client *client,
			       const Cfd__QuotaGrant *grant, int64_t now_us)
{
	struct quota_decision decision = {
		.granted = MIN(grant->granted, client->asked_wanted),
		.retry_after_ms = MIN(grant->retry_after_ms,
				      QUOTA_POOL_RETRY_MAX_US / US_PER_MS),
		.come_back_ms = MIN(grant->come_back_ms,
				    QUOTA_POOL_RETRY_MAX_US / US_PER_MS),
		.not_ready = grant->not_ready,
		.not_keeper = grant->not_keeper,
	};

	g_hash_table_remove(client->quota->asks, &client->ask_seq);
	client->ask_seq = 0;
	ev_timer_stop(client->quota->daemon->loop, &client->timer);
	client_decide(client, &decision, now_us);
}

static void client_decide_isolated(struct quota_client *client,
				   int64_t since_us, int64_t now_us)
{
	double share = 1.0 / client->quota->view.members;
	struct quota_decision decision = {0};

	if (!client->isolated) {
		client->isolated = g_new0(struct quota_pool, 1);
		quota_pool_init(client->isolated, &client->quota->bound,
				&client->limit, QUOTA_POOL_ISOLATED, share,
				since_us, now_us);
	}
	quota_pool_set_limit(client->isolated, &client->limit, now_us);
	quota_pool_set_share(client->isolated, share, now_us);
	decision.granted =
		quota_pool_grant(client->isolated, client->asked_wanted, now_us);
	counters.quota_isolated += decision.granted;
	if (decision.granted < client->asked_wanted)
		quota_decide_retry(client->isolated, &decision, now_us);
	client_apply(client, &decision, now_us);
}

static void client_rank(struct quota_client *client)
{
	const struct quota_view *view = &client->quota->view;
	const struct member *members[QUOTA_RANKS];

	if (client->ranked_version == view->version)
		return;
	quota_view_rank(view->own, client->name, members);
	for (int i = 0; i < QUOTA_RANKS; i++)
		g_strlcpy(client->ranked[i], members[i] ? members[i]->host : "",
			  sizeof(client->ranked[i]));
	client->ranked_version = view->version;
}

static void fill_ask(const struct quota_client *client, Cfd__QuotaAsk *ask)
{
	ask->organisation = client->name;
	ask->wanted = client->asked_wanted;
	ask->as_deputy = client->asked_deputy;
	ask->rate_per_s = client->limit.rate_per_s;
	ask->burst = client->limit.burst;
	ask->config_head = client->limit.config_head;
}

static void client_send(struct quota_client *client, Cfd__QuotaAsk *ask,
			const struct member *member)
{
	struct quota *quota = client->quota;

	client->ask_seq = quota_next_seq(quota);
	ask->seq = client->ask_seq;
	g_hash_table_insert(quota->asks, &client->ask_seq, client);
	timer_restart_us(quota->daemon->loop, &client->timer,
			 QUOTA_REPLY_TIMEOUT_US);
	counters.quota_asks_out++;
	quota_send_ask(quota, member, ask);
}

/* Asks for the tokens that the waiting requests and the next ones need. */
static void client_ask(struct quota_client *client, int64_t now_us)
{
	struct quota *quota = client->quota;
	Cfd__QuotaAsk ask = CFD__QUOTA_ASK__INIT;
	const struct member *member;
	struct quota_decision decision;
	int64_t isolated_us;

	quota_view_refresh(quota, now_us);
	client_rank(client);
	client->asked_deputy =
		client_has_deputy(client) && now_us < client->deputy_until_us;
	client->asked_us = now_us;
	client->asked_wanted = MIN(
		quota_lease_wanted(&client->lease, client->waiting_count, now_us),
		QUOTA_WANTED_MAX);
	isolated_us = quota_isolated_since_us(quota, now_us);
	if (isolated_us && quota_is_ready(quota)) {
		client->asked_deputy = false;
		client_decide_isolated(client, isolated_us, now_us);
		return;
	}
	member = member_table_find(quota->daemon->members,
				   client->ranked[client->asked_deputy]);
	fill_ask(client, &ask);
	if (member && !quota_is_self(quota, member)) {
		client_send(client, &ask, member);
		return;
	}
	decision = (struct quota_decision){.not_keeper = true};
	if (member)
		decision = quota_keeper_decide(quota, &ask, now_us);
	client_decide(client, &decision, now_us);
}

/* A reply may have arrived while this host was paused, or in this iteration of
 * the loop. Read once per iteration, as the timers of many organisations fire
 * together then.
 * RETURN VALUE: true if the reply was among what was read. */
static bool client_read_reply(struct quota_client *client)
{
	struct quota *quota = client->quota;
	unsigned int iteration = ev_iteration(quota->daemon->loop);
	uint64_t seq = client->ask_seq;

	if (quota->input_iteration != iteration) {
		quota->input_iteration = iteration;
		peers_read_input(quota->daemon->peers);
	}
	return client->ask_seq != seq;
}

static void client_forget_late(struct quota_client *client)
{
	if (client->late_seq)
		g_hash_table_remove(client->quota->late_asks, &client->late_seq);
	client->late_seq = 0;
}

static void client_note_timeout(struct quota_client *client, int64_t now_us)
{
	counters.quota_timeouts++;
	g_hash_table_remove(client->quota->asks, &client->ask_seq);
	if (!client->asked_deputy) {
		client->is_keeper_starting = !quota_is_ready(client->quota);
		client_forget_late(client);
		client->late_seq = client->ask_seq;
		g_hash_table_insert(client->quota->late_asks, &client->late_seq,
				    client);
	}
	client->ask_seq = 0;
	client_note_no_grant(client, now_us);
}

void quota_client_handle_late_grant(struct quota_client *client,
				    const Cfd__QuotaGrant *grant)
{
	client_forget_late(client);
	if (grant->not_ready || grant->not_keeper)
		return;
	client->deputy_until_us = 0;
	quota_waiting_schedule(client, 0);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct quota_client *client = timer->data;
	int64_t now_us = clock_mono_us();

	(void)loop;
	(void)events;
	if (client->ask_seq) {
		if (!client_read_reply(client))
			client_note_timeout(client, now_us);
		return;
	}
	quota_waiting_serve(client, now_us);
	if (client->waiting_count && !client->ask_seq)
		client_ask(client, now_us);
}

void quota_client_free(gpointer data)
{
	struct quota_client *client = data;

	if (client->ask_seq)
		g_hash_table_remove(client->quota->asks, &client->ask_seq);
	client_forget_late(client);
	ev_timer_stop(client->quota->daemon->loop, &client->timer);
	g_free(client->isolated);
	g_free(client->name);
	g_free(client);
}

static struct quota_client *client_get(struct quota *quota, const char *name)
{
	struct quota_client *client = g_hash_table_lookup(quota->clients, name);

	if (client)
		return client;
	client = g_new0(struct quota_client, 1);
	client->quota = quota;
	client->name = g_strdup(name);
	TAILQ_INIT(&client->waiting);
	ev_init(&client->timer, handle_timer);
	client->timer.data = client;
	g_hash_table_insert(quota->clients, client->name, client);
	return client;
}

/* A call may run under a snapshot from before the head, so the limit is of the
 * organisation of that name in the current one.
 * RETURN VALUE: NULL if that needs no token. */
static const struct config_organisation *
current_organisation(const struct quota *quota,
		     const struct config_organisation *organisation)
{
	const struct config_organisation *current = config_snapshot_organisation(
		config_store_current(quota->daemon->config), organisation->name);

	return current && current->rate_per_s > 0 ? current : NULL;
}

static void client_set_limit(struct quota_client *client,
			     const struct config_organisation *organisation)
{
	client->limit = (struct quota_limit){
		organisation->rate_per_s, organisation->burst,
		config_store_head(client->quota->daemon->config)};
}

static enum quota_verdict client_acquire(struct quota_client *client,
					 struct quota_request *request,
					 uint32_t *come_back_ms, int64_t now_us)
{
	bool is_first = !client->waiting_count;

	if (is_first && quota_waiting_take(client, request, now_us))
		return QUOTA_GRANTED;
	request->since_us = now_us;
	quota_waiting_append(client, request);
	if (!is_first || client->ask_seq || ev_is_active(&client->timer))
		return QUOTA_PENDING;
	client->acquiring = request;
	client->acquired = QUOTA_PENDING;
	client->acquired_come_back_ms = 0;
	if (now_us < client->short_until_us) {
		quota_waiting_refuse(client, now_us);
		quota_waiting_schedule(client, client->next_us - now_us);
	} else {
		client_ask(client, now_us);
	}
	client->acquiring = NULL;
	*come_back_ms = client->acquired_come_back_ms;
	return client->acquired;
}

enum quota_verdict quota_acquire(struct quota *quota,
				 const struct config_organisation *organisation,
				 struct quota_request *request,
				 uint32_t *come_back_ms)
{
	const struct config_organisation *current;
	int64_t now_us = clock_mono_us();
	struct quota_client *client;

	*come_back_ms = 0;
	if (!quota || quota->bound.window_s <= 0 || !organisation)
		return QUOTA_GRANTED;
	current = current_organisation(quota, organisation);
	if (!current)
		return QUOTA_GRANTED;
	client = client_get(quota, organisation->name);
	client->used_us = now_us;
	client_set_limit(client, current);
	quota_lease_note_call(&client->lease, now_us);
	request->organisation = organisation;
	return client_acquire(client, request, come_back_ms, now_us);
}

void quota_cancel(struct quota *quota, struct quota_request *request)
{
	(void)quota;
	if (request->client)
		quota_waiting_remove(request->client, request);
}

void quota_return(struct quota *quota, struct quota_request *request)
{
	int64_t now_us = clock_mono_us();
	struct quota_client *client;

	if (!request->organisation || request->return_until_us <= now_us)
		return;
	client = client_get(quota, request->organisation->name);
	client->used_us = now_us;
	if (quota_lease_return(&client->lease, request->return_until_us, now_us))
		counters.quota_returned++;
	request->return_until_us = 0;
	quota_waiting_schedule(client, 0);
}

static bool client_is_idle(const struct quota_client *client, bool is_isolated,
			   int64_t now_us)
{
	/* The window of an isolated pool must not be forgotten. */
	return now_us - client->used_us > QUOTA_CLIENT_IDLE_US &&
	       !client->waiting_count && !client->ask_seq &&
	       !(is_isolated && client->isolated);
}

void quota_client_sweep(struct quota *quota, int64_t now_us)
{
	bool is_isolated = quota_isolated_since_us(quota, now_us) != 0;
	struct quota_client *client;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, quota->clients);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&client)) {
		if (!is_isolated)
			g_clear_pointer(&client->isolated, g_free);
		if (client_is_idle(client, is_isolated, now_us))
			g_hash_table_iter_remove(&iter);
	}
}
