/*
 * NAME
 *	quota_lease - the tokens of one organisation that an entry holds
 *
 * DESCRIPTION
 *	A token lets one call start. The entry asks for one token per waiting
 *	call and for as many as its demand uses in QUOTA_LEASE_AHEAD_US. Tokens
 *	expire QUOTA_LEASE_TOKEN_US after they were asked for, which is not
 *	later than if it were counted from the grant.
 *
 *	A call that ends as not run returns its token, which is then valid until
 *	QUOTA_LEASE_TOKEN_US after the token's first expiry. A token is not
 *	returned later than that, nor a second time.
 *
 * LOAD PATTERN
 *	A large organisation starts a hundred calls per second at one entry. A
 *	small one starts a call now and then, at another entry each time.
 *
 * WITHOUT IT
 *	Each call of the large organisation would wait for a message to the
 *	keeper and back. If tokens did not expire, the entries that the small
 *	one used once would keep them, and later start more calls in a window
 *	than the quota allows.
 *
 * GROUNDS
 *	Calls that start in a window of W seconds use tokens that were granted
 *	in W + 0.4 s, which exceeds the quota by the rate in 0.4 s at most. If
 *	tokens of calls that had waited for seconds were returned, a window
 *	would contain the tokens of those seconds as well.
 *
 * SOURCE
 *	Gray, Cheriton, "Leases: an efficient fault-tolerant mechanism for
 *	distributed file cache consistency", SOSP 1989.
 *
 * UNITS
 *	Times are monotonic microseconds.
 */
#ifndef COMFREYDOCKD_DECIDE_QUOTA_LEASE_H
#define COMFREYDOCKD_DECIDE_QUOTA_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/decide/quota_meter.h"

#define QUOTA_LEASE_TOKEN_US ((int64_t)200 * 1000)
#define QUOTA_LEASE_AHEAD_US ((int64_t)100 * 1000)
/* Batches of tokens with different expiry. Asks follow each other after a round
 * trip at least, and a batch that finds no place replaces the oldest. */
#define QUOTA_LEASE_BATCHES 16

struct quota_batch {
	int64_t expires_us;
	uint32_t count;
	bool is_returned; /* these tokens can't be returned again */
};

/* Zero-initialised: holds no tokens. */
struct quota_lease {
	struct quota_meter demand;
	struct quota_batch held[QUOTA_LEASE_BATCHES];
};

/* A call arrived that needs a token. */
void quota_lease_note_call(struct quota_lease *lease, int64_t now_us);

/*
 * Takes a token. It may be returned until *return_until_us, which is 0 for one
 * that was returned before.
 *
 * RETURN VALUE: false if none is held.
 */
bool quota_lease_take(struct quota_lease *lease, int64_t *return_until_us,
		      int64_t now_us);

/* RETURN VALUE: how many tokens to ask for while so many calls wait. */
uint32_t quota_lease_wanted(struct quota_lease *lease, uint32_t waiting,
			    int64_t now_us);

void quota_lease_add(struct quota_lease *lease, uint32_t granted,
		     int64_t asked_us);

/* until_us: as quota_lease_take() gave it.
 * RETURN VALUE: false if it is too late; nothing was returned. */
bool quota_lease_return(struct quota_lease *lease, int64_t until_us,
			int64_t now_us);

uint32_t quota_lease_held(const struct quota_lease *lease, int64_t now_us);

#endif
