/*
 * NAME
 *	probe - health checks of the upstream, within the measuring budget
 *
 * DESCRIPTION
 *	While requests pass, their answers tell more than any probe, and no
 *	probe is sent. Without traffic the probe requests the health path from
 *	the operator's file from time to time, and only if the budget allows
 *	it. If the upstream runs several services, their smallest budget and
 *	their first health path apply.
 *
 *	A health endpoint may lag or mislead: a failing answer is counted and
 *	logged and has no other effect. A refused connection is reliable, as it
 *	means that no process listens on the port. After PROBE_REFUSALS refused
 *	connections in a row, of probes or of requests, the owner treats the
 *	upstream as gone. From then on the probe tries to connect, which
 *	occupies no slot of the upstream, and the first success restores it.
 *
 *	Without probes a crashed upstream would look idle to all entries, and
 *	each of their calls would try it first. After an hour without traffic
 *	the first callers would each lose time on it.
 */
#ifndef COMFREYDOCKD_UPSTREAM_PROBE_H
#define COMFREYDOCKD_UPSTREAM_PROBE_H

#include "comfreydockd/decide/measure.h"
#include "comfreydockd/upstream/owner.h"

#define PROBE_REFUSALS 2

struct probe;

/* handle_reachable is called when the port refuses connections, and when it
 * accepts them again. */
struct probe *probe_create(struct daemon *daemon,
			   void (*handle_reachable)(bool reachable, void *data),
			   void *data);
void probe_destroy(struct probe *probe);

/* Sends the probes to a newly announced upstream. */
void probe_set_upstream(struct probe *probe,
			const struct owner_announcement *announced);

/* Reads budget and path again from the configuration in force. */
void probe_configure(struct probe *probe);

/* Tries to connect. RETURN VALUE: true also if no address is known yet. */
bool probe_upstream_is_listening(const struct probe *probe);

/* The upstream refused the connection of a request. */
void probe_note_connection_refused(struct probe *probe);

/* A request was answered, so no probe is needed for now. */
void probe_note_traffic(struct probe *probe);

#endif
