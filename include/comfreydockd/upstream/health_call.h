/*
 * NAME
 *	health_call - requests the upstream's health path
 *
 * DESCRIPTION
 *	Health calls and runs share connections, so a late second answer to a
 *	request, or a head that such an answer runs into, may arrive where a
 *	health answer is due. It would be read as the upstream's load, limit,
 *	instance or health. A health call accepts only a head that can be of one
 *	answer and that names no request. On any other the call ends with
 *	CURLE_WRITE_ERROR and its connection is closed.
 */
#ifndef COMFREYDOCKD_UPSTREAM_HEALTH_CALL_H
#define COMFREYDOCKD_UPSTREAM_HEALTH_CALL_H

#include "comfreydockd/daemon.h"
#include "common/http_client.h"

struct health_call;

struct health_call_target {
	const char *address; /* IP number */
	uint16_t port;
	const char *path;
	long timeout_ms;
};

/* The call is freed once the handler has returned.
 * RETURN VALUE: a handle for health_call_cancel(). */
struct health_call *health_call_start(const struct daemon *daemon,
				      const struct health_call_target *target,
				      http_answer_handler handler, void *data);
void health_call_cancel(struct health_call *call);

#endif
