/*
 * NAME
 *	quota_pool - the tokens of one organisation in one failure domain
 *
 * DESCRIPTION
 *	A token bucket. It gains rate x share tokens per second, where share is
 *	the part of all members that are live in the keeper's failure domain.
 *	The shares of all pools together are at most 1 as long as the keepers
 *	agree on who is live, so no messages between pools are needed to hold
 *	the bound
 *
 *		(rate x window + burst) x (1 + overage) + slack
 *
 *	on the requests that start in any window. What the bound allows beyond
 *	rate x window + burst is the margin, less the tokens that entries still
 *	hold from before the window. Half of the margin adds to the capacity of
 *	the pools. A quarter is for pools that may exist beside the keeper's: those
 *	of deputies and those of hosts that have just become keepers. The rest
 *	absorbs the minimum capacity of one token and short disagreements.
 *
 *	mode	refill		capacity	limit per window
 *	keeper	rate x share	(burst + margin / 2) x share
 *	deputy	half of it	1		margin / 4 x share
 *	isolated rate x share	burst x share	(rate x window + burst
 *						+ margin / 4) x share
 *
 *	The capacity is at least 1. If the former keeper may still be granting, a
 *	new keeper's pool is limited as a deputy's until QUOTA_POOL_SETTLE_US
 *	after the last change of the domain's live hosts.
 *
 * LOAD PATTERN
 *	An organisation sends 8 times its demand, from all hosts, while its keeper
 *	dies or the network is partitioned. An organisation with 5 requests per
 *	second sends them in small groups.
 *
 * WITHOUT IT
 *	With a fixed share for each of 87 hosts, a host would have a token for
 *	such an organisation every 17 s, so most of its requests within the
 *	quota would be refused. With shares that hosts agree on by gossip, the two
 *	sides of a partition would both grant the whole quota.
 *
 * GROUNDS
 *	A token bucket of rate r and capacity c grants at most r x T + c tokens
 *	in any span T, and this adds up over buckets. With a capacity of burst x
 *	share alone, an organisation without a burst would have one token per
 *	domain, and a Poisson stream at 5/8 of the rate would find it empty for
 *	most of its requests.
 *
 * SOURCE
 *	Raghavan et al., "Cloud Control with Distributed Rate Limiting",
 *	SIGCOMM 2007.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_QUOTA_POOL_H
#define COMFREYDOCKD_DECIDE_QUOTA_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/decide/quota_meter.h"

/* Gossip has told all hosts of a domain of a change after this time, unless it
 * loses many packets. Until then the former keeper may still grant. With 1.5 s
 * the model exceeded the bound in one of 5,000 random sequences. */
#define QUOTA_POOL_SETTLE_US ((int64_t)2 * 1000 * 1000)
/* A token is used at most this long after it was granted: QUOTA_LEASE_TOKEN_US,
 * and as long again after it was returned. */
#define QUOTA_POOL_TOKEN_AGE_S 0.4
/* Longest retry delay that a pool states. */
#define QUOTA_POOL_RETRY_MAX_US ((int64_t)5 * 1000 * 1000)
#define QUOTA_POOL_SLOTS 20 /* of a window */

enum quota_pool_mode {
	QUOTA_POOL_KEEPER,
	QUOTA_POOL_DEPUTY,
	QUOTA_POOL_ISOLATED,
	/* Only as an argument: a keeper's pool that is to settle first. */
	QUOTA_POOL_SETTLING,
};

/* What the operator tolerates; see struct settings_quota. */
struct quota_bound {
	double window_s;
	double overage;
	double slack;
};

struct quota_limit {
	double rate_per_s;
	double burst;
	uint64_t config_head; /* the configuration that it is from */
};

struct quota_pool {
	struct quota_bound bound;
	struct quota_limit limit;
	enum quota_pool_mode mode;
	double share;
	double tokens;
	int64_t refilled_us;
	int64_t settled_us;
	int64_t promised_us; /* the retry time that was stated last */
	struct quota_meter demand;
	int64_t slot; /* number of the current slot */
	/* Tokens granted. One slot more than the window, as the oldest is only
	 * partly in it. */
	uint32_t slots[QUOTA_POOL_SLOTS + 1];
};

/*
 * since_us: the later of the daemon's start and the last change of the domain's
 * live hosts; for an isolated pool, when the isolation began. What a keeper's
 * pool would have gained since then, or since it settled, is in it.
 */
void quota_pool_init(struct quota_pool *pool, const struct quota_bound *bound,
		     const struct quota_limit *limit, enum quota_pool_mode mode,
		     double share, int64_t since_us, int64_t now_us);

/* The pool of a deputy whose host has become keeper. */
void quota_pool_promote(struct quota_pool *pool, enum quota_pool_mode mode,
			int64_t since_us, int64_t now_us);

/* Ignored if the limit is from an older configuration than the current one. One
 * of the same configuration can lower the rate and the burst, not raise them. */
void quota_pool_set_limit(struct quota_pool *pool,
			  const struct quota_limit *limit, int64_t now_us);
void quota_pool_set_share(struct quota_pool *pool, double share, int64_t now_us);

/* RETURN VALUE: the number of tokens granted, at most wanted. */
uint32_t quota_pool_grant(struct quota_pool *pool, uint32_t wanted,
			  int64_t now_us);

/* For the keeper of another domain: up to half of the tokens beyond this
 * domain's demand of the last second. */
uint32_t quota_pool_give(struct quota_pool *pool, uint32_t wanted,
			 int64_t now_us);

/* RETURN VALUE: the number of tokens worth asking another domain for if so many
 * were not granted. */
uint32_t quota_pool_missing(struct quota_pool *pool, uint32_t refused,
			    int64_t now_us);

/* Adds tokens from another domain; those above the capacity are discarded. */
void quota_pool_add(struct quota_pool *pool, uint32_t granted, int64_t now_us);

/* RETURN VALUE: the time until the pool has a token, whoever takes it. */
int64_t quota_pool_next_us(struct quota_pool *pool, int64_t now_us);

/* RETURN VALUE: the time after which a caller that is refused should come back.
 * Successive calls return times that are as far apart as the tokens. */
int64_t quota_pool_retry_us(struct quota_pool *pool, int64_t now_us);

/* RETURN VALUE: true if the pool is full, so that one created anew would not
 * grant more. */
bool quota_pool_is_full(struct quota_pool *pool, int64_t now_us);

/* RETURN VALUE: tokens that could be granted now. */
double quota_pool_tokens(struct quota_pool *pool, int64_t now_us);

#endif
