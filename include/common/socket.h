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

/* Starts a non-blocking connect. */
int socket_connect(const char *text, uint16_t port);

/* Sets the options of a connection; to be called for accepted sockets. */
void socket_set_options(int fd);

#endif
