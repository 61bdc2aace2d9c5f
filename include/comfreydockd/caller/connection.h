/*
 * NAME
 *	connection - one connection of a caller, and the requests on it
 *
 * DESCRIPTION
 *	Internal to caller/. Reads requests as they come, begins their calls,
 *	ahead of those in front where ahead.h allows it, and writes the answers
 *	in the order of the requests.
 *
 *	A request that may not begin yet is the last one read; what follows it
 *	stays with the kernel. So does everything behind one that closes the
 *	connection. Where an answer closes it, the calls behind are cancelled:
 *	their caller sends them again, whatever their kind, and none that may
 *	run only once was begun.
 *
 *	A caller that goes away is noticed at once while the connection is
 *	read, else by a look every 250 ms; all of its calls are abandoned.
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

/* The callers' port, as its connections see it. */
struct listener {
	struct daemon *daemon;
	int fd; /* -1: takes no new connections */
	uint16_t port;
	ev_io accepts;
	ev_timer accept_retry; /* after the process was out of descriptors */
	struct connection_list connections;
	uint32_t count; /* of them */
	uint32_t ahead; /* requests begun ahead and not answered */
	bool announces_close; /* see listener_announce_close() */
	bool turns_away; /* see listener_turn_away() */
};

/*
 * Takes the descriptor over.
 *
 * is_surplus: more are open than may be served, so it is only told so.
 */
struct connection *connection_create(struct listener *listener, int fd,
				     const char *address, bool is_surplus);

/* Abandons its calls. */
void connection_destroy(struct connection *connection);

/* Something of an answer has come, or room for a request's body. */
void connection_wake(struct connection *connection);

const struct headers *connection_headers(const struct connection *connection);

#endif
