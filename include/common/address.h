/*
 * NAME
 *	address - IP numbers as text
 *
 * DESCRIPTION
 *	Hosts are named by IP numbers only: a name would make the daemon wait
 *	for a resolver that may be down when it is needed most.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <stdbool.h>

bool address_is_ip_number(const char *text);
bool address_is_loopback(const char *text);

/* All addresses of a host, as a listener binds them. */
bool address_is_any(const char *text);

/* "IP:PORT", an IPv6 number in brackets; the port is not 0. */
bool address_has_port(const char *text);

#endif
