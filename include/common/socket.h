/*
 * NAME
 *	socket - listening and connecting TCP sockets
 *
 * DESCRIPTION
 *	Non-blocking, closed on exec, without delay of small writes, and with
 *	limits on how long a silent peer is believed to be there.
 *
 * RETURN VALUE
 *	A descriptor, or -1 with errno set.
 */
#ifndef COMMON_SOCKET_H
#define COMMON_SOCKET_H

#include <stdint.h>

/* *bound gets the port, also where the kernel chose it (port 0). */
int socket_listen(const char *text, uint16_t port, uint16_t *bound);

/* The same, but a port that the kernel chooses is free for UDP as well. */
int socket_listen_udp_free(const char *text, uint16_t port, uint16_t *bound);

/* Begins to connect. */
int socket_connect(const char *text, uint16_t port);

/* For an accepted socket. */
void socket_set_options(int fd);

#endif
