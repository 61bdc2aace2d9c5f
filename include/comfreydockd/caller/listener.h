/*
 * NAME
 *	listener - HTTP/1.1 from callers
 *
 * DESCRIPTION
 *	Takes requests by libmicrohttpd and hands each to the entry as a call.
 *
 *	A request whose end can be read in two ways (a length beside chunked
 *	coding, two lengths, a coding other than chunked) is refused and its
 *	connection closed: what follows it might be a second, hidden request.
 *
 *	A caller that goes away while its call is out is noticed by a watch on
 *	its connection, and the call is abandoned. One that closes only its
 *	sending side counts as gone, too.
 */
#ifndef COMFREYDOCKD_CALLER_LISTENER_H
#define COMFREYDOCKD_CALLER_LISTENER_H

#include <stdint.h>

#include "comfreydockd/daemon.h"

struct listener;

/* RETURN VALUE: NULL with errno set if the port can't be bound. */
struct listener *listener_create(struct daemon *daemon);
void listener_destroy(struct listener *listener);

uint16_t listener_port(const struct listener *listener);

/* Answers with "Connection: close" from now on, so that callers go elsewhere. */
void listener_announce_close(struct listener *listener);

/* Answers each new request as not run, to be sent elsewhere. */
void listener_turn_away(struct listener *listener);

/* Takes no new connections; those that are open go on. */
void listener_quiesce(struct listener *listener);

#endif
