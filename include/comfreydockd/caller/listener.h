/*
 * NAME
 *	listener - HTTP/1.1 from callers
 *
 * DESCRIPTION
 *	Opens the callers' port and accepts their connections. connection.h
 *	serves each of them.
 *
 *	A request whose end is ambiguous (Content-Length together with chunked
 *	coding, two lengths, a coding other than chunked) is refused and its
 *	connection closed: the bytes that follow might be a second, smuggled
 *	request.
 *
 *	The calls of a caller that goes away are abandoned. A caller that closes
 *	only its sending side counts as gone, too.
 */
#ifndef COMFREYDOCKD_CALLER_LISTENER_H
#define COMFREYDOCKD_CALLER_LISTENER_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/daemon.h"

struct listener;

/* RETURN VALUE: NULL with errno set if the port can't be bound. */
struct listener *listener_create(struct daemon *daemon);
void listener_destroy(struct listener *listener);

uint16_t listener_port(const struct listener *listener);

/* Answers with "Connection: close" from now on, so that callers connect to
 * other daemons. */
void listener_announce_close(struct listener *listener);

/* Refuses each new request as not run, so that its caller sends it to another
 * daemon. */
void listener_turn_away(struct listener *listener);

/* Call this regularly: what has changed since the last call tells a caller that
 * reads slowly from one that reads nothing.
 * RETURN VALUE: whether any caller still reads an answer that isn't yet all with
 * the kernel. */
bool listener_is_being_read(struct listener *listener);

/* Closes the connections of callers that have read nothing for some seconds, as of
 * the last call of listener_is_being_read(). A stop would wait for them. */
void listener_end_stalled(struct listener *listener);

/* Called when a connection has closed: there is room for another. */
void listener_note_closed(struct listener *listener);

/* Stops accepting connections. Open connections are still served. */
void listener_quiesce(struct listener *listener);

#endif
