/*
 * NAME
 *	gauge - queries the upstream for its load, its host's pace, and how long
 *	it stays cold
 *
 * DESCRIPTION
 *	Answers to requests carry both figures, usually often enough. If no
 *	answer came recently, the gauge requests the health path, which the
 *	upstream answers at once. During a slow spell no attempts start and so
 *	no answers come; the gauge then keeps asking until the spell has ended.
 *
 *	A token bucket limits the queries to the rate in the settings, with a
 *	small burst. A query without an answer ends after GAUGE_TIMEOUT_MS, and
 *	the attempts that wait for it go on with the last known figures.
 */
#ifndef COMFREYDOCKD_UPSTREAM_GAUGE_H
#define COMFREYDOCKD_UPSTREAM_GAUGE_H

#include "comfreydockd/daemon.h"
#include "comfreydockd/upstream/answer.h"

/* About a hundred times the duration of a health request on the same host. */
#define GAUGE_TIMEOUT_MS 30

struct gauge;

struct gauge_target {
	const char *address; /* IP number */
	uint16_t port;
	const char *path;
	const char *instance; /* whose answer counts; NULL: anyone's */
};

/* What a valid answer reported. */
struct gauge_reading {
	bool has_load;
	struct answer_load load;
	bool has_cold_ms;
	uint32_t cold_ms; /* how long the upstream stays cold */
	const char *limit; /* its limit, as text; NULL: it stated none */
	bool is_leaving;
};

/* No figure is set if no valid answer came. */
typedef void (*gauge_handler)(const struct gauge_reading *reading, void *data);

struct gauge *gauge_create(struct daemon *daemon, gauge_handler handler,
			   void *data);
void gauge_destroy(struct gauge *gauge);

bool gauge_is_pending(const struct gauge *gauge);

/* RETURN VALUE: true if a query is pending, sent now or earlier. */
bool gauge_ask(struct gauge *gauge, const struct gauge_target *target);

#endif
