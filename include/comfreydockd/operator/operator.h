/*
 * NAME
 *	operator_api - the admin API, for operators and the local upstream
 *
 * DESCRIPTION
 *	HTTP with JSON answers. Errors are {"error": TEXT}. Where the settings
 *	have a token every request must carry it as "Authorization: Bearer".
 *
 *	GET  /metrics			counters as Prometheus text
 *	GET  /v1/config			versions held; ?body=1 adds the files,
 *					?namespace=NAME asks the platform for
 *					that namespace's last commits, with
 *					&held=1 only this daemon's version
 *	POST /v1/config/apply		?base=N&who=NAME[&file=NAME], body: file
 *	POST /v1/config/check		[?file=NAME], body: file
 *	GET  /v1/hosts			what is known of every host
 *	GET  /v1/status			this daemon
 *	GET  /v1/timeline		events of ?trace=ID from all daemons that
 *					it passed; without, all kept here
 *	GET  /v1/upstream		the local upstream
 *	POST /v1/upstream/announce	{groups, address, port, slots, warm_ms}
 *	POST /v1/upstream/drain		no new work; answers at once
 *	POST /v1/upstream/resume
 *	POST /v1/upstream/stop		drains; answers once nothing runs
 *
 *	An apply is answered with 200 in force, 409 conflict, 422 refused and
 *	504 unknown.
 */
#ifndef COMFREYDOCKD_OPERATOR_OPERATOR_H
#define COMFREYDOCKD_OPERATOR_OPERATOR_H

#include "comfreydockd/config/apply.h"
#include "comfreydockd/daemon.h"

struct operator_api;

/* Binds settings->admin and sets daemon->admin_port. The config store must
 * exist already; members and owner may come later.
 * RETURN VALUE: NULL with errno set if the address can't be bound. */
struct operator_api *operator_api_create(struct daemon *daemon);

/* Waiting stop calls are answered with 503. Destroy the owner before, and
 * let no apply run on. */
void operator_api_destroy(struct operator_api *api);

/* How applies reach the platform; without it they are refused. */
void operator_api_set_platform(struct operator_api *api,
			       const struct config_platform_ops *ops,
			       void *platform);

#endif
