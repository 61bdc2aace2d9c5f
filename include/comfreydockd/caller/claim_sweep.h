/*
 * NAME
 *	claim_sweep - deletes expired claims at a low rate
 *
 * DESCRIPTION
 *	A key that is never sent again leaves its row behind. The daemons that
 *	read the configuration's head walk through the claims, one page each
 *	CLAIM_SWEEP_S, and delete what has expired in one transaction, each row
 *	on the condition that it was not claimed anew. Two that sweep the same
 *	page do no harm: one of the transactions fails.
 */
#ifndef COMFREYDOCKD_CALLER_CLAIM_SWEEP_H
#define COMFREYDOCKD_CALLER_CLAIM_SWEEP_H

#include <ev.h>
#include <stdbool.h>

#define CLAIM_SWEEP_S 10.0
/* Where the last page had many to delete. */
#define CLAIM_SWEEP_SOON_S 1.0
#define CLAIM_SWEEP_ROWS 200

struct claim_sweep;
struct platform;

/* is_due tells at each turn whether this daemon is one of those that sweep. */
struct claim_sweep *claim_sweep_create(struct ev_loop *loop,
				       struct platform *platform,
				       bool (*is_due)(void *data), void *data);

/* The platform must be destroyed before. */
void claim_sweep_destroy(struct claim_sweep *sweep);

/* One page now; the timer does the same. */
void claim_sweep_run(struct claim_sweep *sweep);

#endif
