/*
 * NAME
 *	claim - runs a request with an Idempotency-Key at most once
 *
 * DESCRIPTION
 *	A caller that did not get its answer sends the request again with the
 *	same key, perhaps through another daemon. Before its first attempt an
 *	entry therefore creates a row in the platform's table, on the condition
 *	that there is none. The row carries the claim's own id, so that a write
 *	whose answer was lost is found again by reading.
 *
 *	The row outlives its request: that is what refuses the second one. A
 *	claim whose request certainly did not run is deleted, on the condition
 *	that the row is still this claim's. One of unknown outcome stays until
 *	it expires; see docs/design/claims.md.
 *
 *	An expired row counts for CLAIM_MARGIN_MS more, as the hosts' clocks
 *	differ.
 */
#ifndef COMFREYDOCKD_CALLER_CLAIM_H
#define COMFREYDOCKD_CALLER_CLAIM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CLAIM_PREFIX "claims/"
#define CLAIM_MARGIN_MS (60 * 1000)

struct claim;
struct claims;
struct platform;
struct platform_row;

enum claim_result {
	CLAIM_TAKEN,
	CLAIM_IN_USE, /* by a request that runs or whose outcome is unknown */
	CLAIM_DONE, /* by a request that was answered */
	CLAIM_UNAVAILABLE, /* the platform doesn't tell */
};

struct claim_request {
	const char *namespace;
	const char *service;
	const char *key; /* as the caller sent it */
	uint32_t lifetime_s;
};

/* status is that of the first request's answer, with CLAIM_DONE. */
typedef void (*claim_handler)(enum claim_result result, unsigned int status,
			      void *data);

/* Both must outlive it. */
struct claims *claims_create(struct ev_loop *loop, struct platform *platform);

/* Writes that are open are given up. The loop must not run between this and
 * the platform's destruction. */
void claims_destroy(struct claims *claims);

/* RETURN VALUE: the claims that still read or write. */
size_t claims_busy(const struct claims *claims);

/* The handler is called once, from the loop, unless the claim is ended before.
 * After any result but CLAIM_TAKEN the claim is gone. */
struct claim *claim_take(struct claims *claims,
			 const struct claim_request *request,
			 claim_handler handler, void *data);

/* One of these ends a claim. */

/* The request was answered with this status. */
void claim_end_done(struct claim *claim, unsigned int status);

/* It certainly did not run. */
void claim_end_released(struct claim *claim);

/* It may have run. */
void claim_end_kept(struct claim *claim);

/* RETURN VALUE: whether a row of the table is an expired claim. */
bool claim_row_is_expired(const struct platform_row *row);

#endif
