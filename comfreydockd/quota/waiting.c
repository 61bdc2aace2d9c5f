#include "comfreydockd/quota/quota_internal.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/timer.h"

/* Decides a request that is not in the list any more. */
static void decide(struct quota_client *client, struct quota_request *request,
		   enum quota_verdict verdict, uint32_t come_back_ms)
{
	if (verdict == QUOTA_REFUSED)
		counters.quota_refused++;
	else if (verdict == QUOTA_UNAVAILABLE)
		counters.quota_unavailable++;
	if (client->acquiring == request) {
		client->acquired = verdict;
		client->acquired_come_back_ms = come_back_ms;
		return;
	}
	request->handle_decided(request, verdict, come_back_ms);
}

static void decide_unavailable(struct quota_client *client,
			       struct quota_request *request)
{
	decide(client, request, QUOTA_UNAVAILABLE,
	       QUOTA_UNAVAILABLE_COME_BACK_MS);
}

void quota_waiting_append(struct quota_client *client,
			  struct quota_request *request)
{
	request->client = client;
	TAILQ_INSERT_TAIL(&client->waiting, request, link);
	client->waiting_count++;
}

void quota_waiting_remove(struct quota_client *client,
			  struct quota_request *request)
{
	TAILQ_REMOVE(&client->waiting, request, link);
	client->waiting_count--;
	request->client = NULL;
}

bool quota_waiting_take(struct quota_client *client,
			struct quota_request *request, int64_t now_us)
{
	return quota_lease_take(&client->lease, &request->return_until_us,
				now_us);
}

void quota_waiting_schedule(struct quota_client *client, int64_t us)
{
	if (client->waiting_count && !client->ask_seq)
		timer_restart_us(client->quota->daemon->loop, &client->timer, us);
}

void quota_waiting_serve(struct quota_client *client, int64_t now_us)
{
	struct quota_request *request;

	while ((request = TAILQ_FIRST(&client->waiting)) &&
	       quota_waiting_take(client, request, now_us)) {
		quota_waiting_remove(client, request);
		decide(client, request, QUOTA_GRANTED, 0);
	}
}

void quota_waiting_fail(struct quota_client *client)
{
	struct quota_request *request;

	for (uint32_t left = client->waiting_count; left > 0; left--) {
		request = TAILQ_FIRST(&client->waiting);
		if (!request)
			return;
		quota_waiting_remove(client, request);
		decide_unavailable(client, request);
	}
	quota_waiting_schedule(client, 0);
}

static int64_t ready_wait_left_us(const struct quota_request *request,
				  int64_t now_us)
{
	return request->since_us +
	       MIN(request->ready_wait_us, QUOTA_READY_WAIT_MAX_US) - now_us;
}

void quota_waiting_delay(struct quota_client *client, int64_t now_us)
{
	int64_t next_us = QUOTA_READY_RETRY_US;

	for (uint32_t left = client->waiting_count; left > 0; left--) {
		struct quota_request *request = TAILQ_FIRST(&client->waiting);
		int64_t left_us;

		if (!request)
			break;
		left_us = ready_wait_left_us(request, now_us);
		quota_waiting_remove(client, request);
		if (left_us <= 0) {
			decide_unavailable(client, request);
			continue;
		}
		quota_waiting_append(client, request);
		next_us = MIN(next_us, left_us);
	}
	client->deputy_until_us = 0;
	quota_waiting_schedule(client, next_us);
}

/* RETURN VALUE: the time between two tokens of the pool of this domain. */
static int64_t token_interval_us(const struct quota_client *client)
{
	double per_s = client->limit.rate_per_s * quota_view_share(client->quota);

	if (per_s * (double)QUOTA_POOL_RETRY_MAX_US < (double)US_PER_S)
		return QUOTA_POOL_RETRY_MAX_US;
	return (int64_t)((double)US_PER_S / per_s);
}

/* Tells callers to come back one token after the other. What a deputy lacks does
 * not show that the organisation exceeds its quota. */
static void refuse(struct quota_client *client, struct quota_request *request,
		   int64_t now_us)
{
	int64_t come_back_us = MAX(client->come_back_at_us - now_us, 0);

	if (client->asked_deputy) {
		decide_unavailable(client, request);
		return;
	}
	come_back_us = MIN(come_back_us, QUOTA_POOL_RETRY_MAX_US);
	client->come_back_at_us =
		now_us + come_back_us + token_interval_us(client);
	decide(client, request, QUOTA_REFUSED,
	       (uint32_t)(come_back_us / US_PER_MS));
}

void quota_waiting_refuse(struct quota_client *client, int64_t now_us)
{
	int64_t retry_us = client->next_us - now_us;
	struct quota_request *request;

	for (uint32_t left = client->waiting_count; left > 0; left--) {
		request = TAILQ_FIRST(&client->waiting);
		if (!request ||
		    now_us - request->since_us + retry_us <= QUOTA_WAIT_MAX_US)
			return;
		quota_waiting_remove(client, request);
		refuse(client, request, now_us);
	}
}
