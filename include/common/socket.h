/*
 * NAME
 *	socket - opens listening and connecting TCP sockets
 *
 * DESCRIPTION
 *	All sockets are non-blocking and closed on exec. Connections disable
 *	Nagle's algorithm and bound the time until a silent peer counts as lost.
 *
 * RETURN VALUE
 *	A descriptor, or -1 with errno set.
 */
#ifndef COMMON_SOCKET_H
#define COMMON_SOCKET_H

#include <stdint.h>

/* *bound gets the port, which the kernel chooses if port is 0. */
int socket_listen(const char *text, uint16_t port, uint16_t *bound);

/* Like socket_listen(), but a port that the kernel chooses is free for UDP as
 * well. */
int socket_listen_udp_free(const char *text, uint16_t port, uint16_t *bound);

/* How long sent bytes may stay unacknowledged, or the receiver's window closed, before
 * the kernel resets a connection. A daemon always reads its links, a caller may pause.
 * What stalls for longer than the latter, the daemon itself closes. */
#define SOCKET_LINK_STALL_MS 5000
#define SOCKET_CALLER_STALL_MS 60000

/* Starts a non-blocking connect, for a link. */
int socket_connect(const char *text, uint16_t port);

/* Sets the options of a connection; to be called for accepted sockets. stall_ms: one
 * of the above. */
void socket_set_options(int fd, unsigned int stall_ms);

#endif
