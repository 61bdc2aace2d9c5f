/*
 * NAME
 *	owner_internal - the owner's state, for the files in upstream/
 */
#ifndef COMFREYDOCKD_UPSTREAM_OWNER_INTERNAL_H
#define COMFREYDOCKD_UPSTREAM_OWNER_INTERNAL_H

#include <ev.h>
#include <glib.h>

#include "comfreydockd/decide/limit.h"
#include "comfreydockd/decide/measure.h"
#include "comfreydockd/decide/queue.h"
#include "comfreydockd/decide/warm.h"
#include "comfreydockd/upstream/attempts.h"
#include "comfreydockd/upstream/owner.h"

struct owner {
	struct daemon *daemon;
	enum owner_state state;
	struct owner_announcement announced;
	struct run_pool *pool;
	GPtrArray *old_pools; /* of upstreams before a move; runs may use them */
	struct limit limit;
	struct warm warm;
	struct queue queue;
	struct measure measure;
	uint32_t running;
	TAILQ_HEAD(, owner_attempt) runs;
	ev_timer turn; /* starts what may start, after all input was read */
	ev_timer stale;
	ev_timer sweep;
	int64_t swept_us;
	bool was_frozen;
	void (*handle_idle)(void *data);
	void *idle_data;
	void (*handle_state)(struct owner *owner, void *data);
	void *state_data;
	owner_query_handler handle_query;
	void *query_data;
};

#endif
