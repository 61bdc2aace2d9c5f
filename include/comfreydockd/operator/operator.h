/*
 * NAME
 *	operator_api - the admin API, for operators and the local upstream
 *
 * DESCRIPTION
 *	HTTP with JSON answers. Errors are {"error": TEXT}. If the settings have
 *	a token, every request must carry it as "Authorization: Bearer".
 *
 *	GET  /metrics			counters as Prometheus text
 *	GET  /v1/config			versions held; ?body=1 adds the files,
 *					?namespace=NAME adds the last commits of
 *					that namespace from the platform, with
 *					&held=1 only this daemon's version
 *	POST /v1/config/apply		?base=N&who=NAME[&file=NAME], body: file
 *	POST /v1/config/check		[?file=NAME], body: file
 *	GET  /v1/hosts			the known state of every host, in pages
 *	GET  /v1/organisations		organisations, in pages, with figures of
 *					all daemons; see organisations.h
 *	GET  /v1/organisations/NAME	the same of one
 *	GET  /v1/status			status of this daemon
 *	GET  /v1/timeline		events of ?trace=ID from all daemons that
 *					the request passed; without it, all
 *					events kept in this daemon
 *	GET  /v1/upstream		state of the local upstream
 *	POST /v1/upstream/announce	{groups, address, port, slots, warm_ms}
 *	POST /v1/upstream/drain		accepts no new requests; answers at once
 *	POST /v1/upstream/resume	ends a drain
 *	POST /v1/upstream/stop		drains; answers once nothing runs
 *
 *	An apply is answered with 200 (in force), 409 (conflict), 422 (refused)
 *	or 504 (unknown).
 */
#ifndef COMFREYDOCKD_OPERATOR_OPERATOR_H
#define COMFREYDOCKD_OPERATOR_OPERATOR_H

#include "comfreydockd/config/apply.h"
#include "comfreydockd/daemon.h"

struct operator_api;

/* Binds settings->admin and sets daemon->admin_port. The config store must
 * exist; members and owner may be created later.
 * RETURN VALUE: NULL with errno set if the address can't be bound. */
struct operator_api *operator_api_create(struct daemon *daemon);

/* Answers waiting stop calls with 503. The owner must be destroyed first, and
 * no apply may be in progress. */
void operator_api_destroy(struct operator_api *api);

/* Sets the platform for applies, which are refused without one. */
void operator_api_set_platform(struct operator_api *api,
			       const struct config_platform_ops *ops,
			       void *platform);

#endif
