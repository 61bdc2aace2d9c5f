#include "comfreydockd/decide/quota_pool.h"

#include <glib.h>
#include <math.h>

#define RING_SIZE (QUOTA_POOL_SLOTS + 1)
#define US_PER_SECOND 1e6
/* Parts of the margin, see quota_pool.h. */
#define CAPACITY_PART 0.5
#define LIMITED_PART 0.25
#define DEPUTY_REFILL 0.5
#define GIVEN_PART 0.5
/* Sums of many small refills don't reach whole numbers exactly. */
#define ROUNDING 1e-6

static bool is_limited_keeper(const struct quota_pool *pool, int64_t now_us)
{
	return pool->mode == QUOTA_POOL_KEEPER && now_us < pool->settled_us;
}

static bool is_settled_keeper(const struct quota_pool *pool, int64_t now_us)
{
	return pool->mode == QUOTA_POOL_KEEPER && now_us >= pool->settled_us;
}

static bool is_deputy(const struct quota_pool *pool, int64_t now_us)
{
	return pool->mode == QUOTA_POOL_DEPUTY || is_limited_keeper(pool, now_us);
}

static double quota_of_window(const struct quota_pool *pool)
{
	return pool->limit.rate_per_s * pool->bound.window_s + pool->limit.burst;
}

/* What the bound allows beyond the quota, less the tokens that entries hold at
 * the begin of a window. */
static double margin(const struct quota_pool *pool)
{
	double overage = pool->bound.overage * quota_of_window(pool);
	double held = pool->limit.rate_per_s * QUOTA_POOL_TOKEN_AGE_S;

	return fmax(overage - held, -pool->bound.slack) + pool->bound.slack;
}

static double capacity(const struct quota_pool *pool, int64_t now_us)
{
	double burst = pool->limit.burst;

	if (is_deputy(pool, now_us))
		return 1;
	if (pool->mode == QUOTA_POOL_KEEPER)
		burst += CAPACITY_PART * margin(pool);
	return fmax(1, burst * pool->share);
}

static double refill_per_us(const struct quota_pool *pool, int64_t now_us)
{
	double per_us = pool->limit.rate_per_s * pool->share / US_PER_SECOND;

	return is_deputy(pool, now_us) ? per_us * DEPUTY_REFILL : per_us;
}

static void refill(struct quota_pool *pool, int64_t now_us)
{
	int64_t settled_us = pool->settled_us;

	if (pool->mode == QUOTA_POOL_KEEPER && pool->refilled_us < settled_us &&
	    now_us >= settled_us) {
		refill(pool, settled_us - 1);
		pool->refilled_us = settled_us;
	}
	if (now_us <= pool->refilled_us)
		return;
	pool->tokens += (double)(now_us - pool->refilled_us) *
			refill_per_us(pool, now_us);
	pool->tokens = fmin(pool->tokens, capacity(pool, now_us));
	pool->refilled_us = now_us;
}

static int64_t slot_length_us(const struct quota_pool *pool)
{
	int64_t slot_us = (int64_t)(pool->bound.window_s * US_PER_SECOND) /
			  QUOTA_POOL_SLOTS;

	return slot_us > 0 ? slot_us : 1;
}

static void advance(struct quota_pool *pool, int64_t now_us)
{
	int64_t number = now_us / slot_length_us(pool);

	if (number >= pool->slot + RING_SIZE) {
		memset(pool->slots, 0, sizeof(pool->slots));
		pool->slot = number;
	}
	while (pool->slot < number)
		pool->slots[++pool->slot % RING_SIZE] = 0;
}

/* RETURN VALUE: the tokens that the pool may still grant in this window. */
static double left_in_window(struct quota_pool *pool, int64_t now_us)
{
	double allowed = LIMITED_PART * margin(pool);
	double granted = 0;

	if (is_settled_keeper(pool, now_us))
		return INFINITY;
	if (pool->mode == QUOTA_POOL_ISOLATED)
		allowed += quota_of_window(pool);
	advance(pool, now_us);
	for (int i = 0; i < RING_SIZE; i++)
		granted += pool->slots[i];
	return floor(allowed * pool->share + ROUNDING) - granted;
}

static void set_mode(struct quota_pool *pool, enum quota_pool_mode mode,
		     int64_t since_us)
{
	bool settles = mode == QUOTA_POOL_SETTLING;

	pool->mode = settles ? QUOTA_POOL_KEEPER : mode;
	pool->settled_us = settles ? since_us + QUOTA_POOL_SETTLE_US : since_us;
}

void quota_pool_init(struct quota_pool *pool, const struct quota_bound *bound,
		     const struct quota_limit *limit, enum quota_pool_mode mode,
		     double share, int64_t since_us, int64_t now_us)
{
	*pool = (struct quota_pool){
		.bound = *bound,
		.limit = *limit,
		.share = share,
		.refilled_us = since_us,
	};
	set_mode(pool, mode, since_us);
	refill(pool, now_us);
}

void quota_pool_promote(struct quota_pool *pool, enum quota_pool_mode mode,
			int64_t since_us, int64_t now_us)
{
	refill(pool, now_us);
	set_mode(pool, mode, since_us);
}

static void clip(struct quota_pool *pool, int64_t now_us)
{
	pool->tokens = fmin(pool->tokens, capacity(pool, now_us));
}

void quota_pool_set_limit(struct quota_pool *pool,
			  const struct quota_limit *limit, int64_t now_us)
{
	struct quota_limit lower = {
		fmin(limit->rate_per_s, pool->limit.rate_per_s),
		fmin(limit->burst, pool->limit.burst), limit->config_head};

	if (limit->config_head < pool->limit.config_head)
		return;
	refill(pool, now_us);
	pool->limit =
		limit->config_head == pool->limit.config_head ? lower : *limit;
	clip(pool, now_us);
}

void quota_pool_set_share(struct quota_pool *pool, double share, int64_t now_us)
{
	refill(pool, now_us);
	pool->share = share;
	clip(pool, now_us);
}

double quota_pool_tokens(struct quota_pool *pool, int64_t now_us)
{
	refill(pool, now_us);
	return fmax(0, fmin(pool->tokens, left_in_window(pool, now_us)));
}

static uint32_t take(struct quota_pool *pool, double most, int64_t now_us)
{
	double taken = fmax(0, floor(most + ROUNDING));

	pool->tokens -= taken;
	advance(pool, now_us);
	pool->slots[pool->slot % RING_SIZE] += (uint32_t)taken;
	return (uint32_t)taken;
}

uint32_t quota_pool_grant(struct quota_pool *pool, uint32_t wanted, int64_t now_us)
{
	double most = fmin(wanted, quota_pool_tokens(pool, now_us));

	quota_meter_add(&pool->demand, wanted, now_us);
	return take(pool, most, now_us);
}

uint32_t quota_pool_give(struct quota_pool *pool, uint32_t wanted, int64_t now_us)
{
	double spare = quota_pool_tokens(pool, now_us) -
		       quota_meter_sum(&pool->demand, now_us);

	if (!is_settled_keeper(pool, now_us))
		return 0;
	return take(pool, fmin(wanted, spare * GIVEN_PART), now_us);
}

uint32_t quota_pool_missing(struct quota_pool *pool, uint32_t refused,
			    int64_t now_us)
{
	double room = capacity(pool, now_us) - pool->tokens;

	if (!is_settled_keeper(pool, now_us))
		return 0;
	return (uint32_t)fmin(refused, fmax(0, floor(room)));
}

void quota_pool_add(struct quota_pool *pool, uint32_t granted, int64_t now_us)
{
	refill(pool, now_us);
	pool->tokens += granted;
	clip(pool, now_us);
}

/* RETURN VALUE: the time until the window lets the pool grant a token. */
static double window_opens_us(struct quota_pool *pool, int64_t now_us)
{
	double left = left_in_window(pool, now_us);

	if (left >= 1)
		return 0;
	for (int64_t number = pool->slot - RING_SIZE + 1; number <= pool->slot;
	     number++) {
		left += number < 0 ? 0 : pool->slots[number % RING_SIZE];
		if (left >= 1)
			return (double)((number + RING_SIZE) *
						slot_length_us(pool) -
					now_us);
	}
	return INFINITY;
}

/* RETURN VALUE: the time until a new keeper's pool has settled and holds a
 * token. */
static double settled_token_us(const struct quota_pool *pool, int64_t now_us)
{
	double per_us = pool->limit.rate_per_s * pool->share / US_PER_SECOND;
	double left_us = (double)(pool->settled_us - now_us);
	double tokens = pool->tokens + left_us * refill_per_us(pool, now_us);

	return left_us + fmax(0, 1 - tokens) / per_us;
}

/* RETURN VALUE: the time until the pool has a token that it may grant. */
static double next_token_us(struct quota_pool *pool, int64_t now_us)
{
	double next_us;

	refill(pool, now_us);
	next_us = fmax(fmax(0, 1 - pool->tokens) / refill_per_us(pool, now_us),
		       window_opens_us(pool, now_us));
	if (is_limited_keeper(pool, now_us))
		next_us = fmin(next_us, settled_token_us(pool, now_us));
	return ceil(fmin(next_us, (double)QUOTA_POOL_RETRY_MAX_US) - ROUNDING);
}

int64_t quota_pool_next_us(struct quota_pool *pool, int64_t now_us)
{
	return (int64_t)next_token_us(pool, now_us);
}

int64_t quota_pool_retry_us(struct quota_pool *pool, int64_t now_us)
{
	double apart_us = 1 / refill_per_us(pool, now_us);
	int64_t max_us = QUOTA_POOL_RETRY_MAX_US;
	int64_t first_us = (int64_t)next_token_us(pool, now_us);

	apart_us = ceil(fmin(apart_us, (double)max_us) - ROUNDING);
	pool->promised_us =
		MIN(MAX(now_us + first_us, pool->promised_us + (int64_t)apart_us),
		    now_us + max_us);
	return pool->promised_us - now_us;
}

bool quota_pool_is_full(struct quota_pool *pool, int64_t now_us)
{
	refill(pool, now_us);
	return pool->tokens >= capacity(pool, now_us);
}
