/*
 * NAME
 *	gauge - asks the upstream for its load and its host's pace
 *
 * DESCRIPTION
 *	Answers to requests tell both, and mostly often enough. Where none came
 *	lately the gauge asks the health path, which is answered at once; in a
 *	slow spell, when nothing is begun and so nothing is answered, it goes on
 *	asking until the spell has ended.
 *
 *	It keeps to the settings' questions a second, with a few in a burst.
 *	A question without an answer ends after GAUGE_TIMEOUT_MS: whoever waits
 *	for it goes on with what was known.
 */
#ifndef COMFREYDOCKD_UPSTREAM_GAUGE_H
#define COMFREYDOCKD_UPSTREAM_GAUGE_H

#include "comfreydockd/daemon.h"
#include "comfreydockd/upstream/answer.h"

/* Some hundred times what an answer takes on one host. */
#define GAUGE_TIMEOUT_MS 30

struct gauge;

struct gauge_target {
	const char *address; /* IP number */
	uint16_t port;
	const char *path;
	const char *instance; /* another one's answer is dropped; NULL: any */
};

/* load is NULL where no answer came. */
typedef void (*gauge_handler)(const struct answer_load *load, void *data);

struct gauge *gauge_create(struct daemon *daemon, gauge_handler handler,
			   void *data);
void gauge_destroy(struct gauge *gauge);

/* RETURN VALUE: whether a question is out, asked now or before. */
bool gauge_ask(struct gauge *gauge, const struct gauge_target *target);

#endif
