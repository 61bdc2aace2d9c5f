/*
 * NAME
 *	connection - one connection of a caller, and the requests on it
 *
 * DESCRIPTION
 *	Internal to caller/. Reads requests as they arrive, begins their calls
 *	and writes the answers in the order of the requests. A call begins ahead
 *	of the requests in front of it where pipeline.h allows that.
 *
 *	A request that may not begin yet is the last one read: the bytes that
 *	follow it stay in the kernel. The same holds for all bytes behind a
 *	request that closes the connection. Where an answer closes the
 *	connection, the calls behind it are cancelled. Their caller sends all of
 *	them again, whatever their kind, which is safe because no call that may
 *	run only once was begun.
 *
 *	While the connection is read, a caller that goes away is noticed at
 *	once, otherwise by a poll every 250 ms. All of its calls are abandoned.
 */
#ifndef COMFREYDOCKD_CALLER_CONNECTION_H
#define COMFREYDOCKD_CALLER_CONNECTION_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "comfreydockd/daemon.h"

struct connection;

LIST_HEAD(connection_list, connection);

/* The callers' port and its connections. */
struct listener {
	struct daemon *daemon;
	int fd; /* -1: accepts no new connections */
	uint16_t port;
	ev_io accepts;
	ev_timer accept_retry; /* after the process ran out of descriptors */
	struct connection_list connections;
	uint32_t count; /* length of the list */
	uint32_t ahead; /* requests begun ahead and not answered */
	bool announces_close; /* see listener_announce_close() */
	bool turns_away; /* see listener_turn_away() */
};

/*
 * Takes ownership of the descriptor.
 *
 * is_surplus: the connection is beyond the listener's limit of connections, so
 * its request is refused.
 */
struct connection *connection_create(struct listener *listener, int fd,
				     const char *address, bool is_surplus);

/* Abandons its calls. */
void connection_destroy(struct connection *connection);

/* Part of an answer has arrived, or more of a request's body may be passed. */
void connection_wake(struct connection *connection);

/* RETURN VALUE: the names of header fields that the daemon uses, see
 * headers.h. */
const struct headers *connection_headers(const struct connection *connection);

#endif
