/*
 * NAME
 *	listener - HTTP/1.1 from callers
 *
 * DESCRIPTION
 *	Opens the callers' port and takes their connections; connection.h
 *	serves each.
 *
 *	A request whose end can be read in two ways (a length beside chunked
 *	coding, two lengths, a coding other than chunked) is refused and its
 *	connection closed: what follows it might be a second, hidden request.
 *
 *	A caller that goes away while its calls are out is noticed, and they
 *	are abandoned. One that closes only its sending side counts as gone, too.
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

/* A connection is gone: there is room for another. */
void listener_note_closed(struct listener *listener);

/* Takes no new connections; those that are open go on. */
void listener_quiesce(struct listener *listener);

#endif
