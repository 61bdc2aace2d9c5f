/*
 * NAME
 *	address - IP addresses as text
 *
 * DESCRIPTION
 *	Hosts are named by IP address only. Resolving a host name would make
 *	the daemon wait for a resolver, which may be down when it is needed
 *	most.
 */
#ifndef COMMON_ADDRESS_H
#define COMMON_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#define ADDRESS_TEXT_SIZE INET6_ADDRSTRLEN

union socket_address {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
	struct sockaddr_storage storage;
};

/* RETURN VALUE: the size of the address; 0 if text is not an IP address. */
socklen_t address_parse(union socket_address *to, const char *text,
			uint16_t port);

/* Writes the IP address to text. RETURN VALUE: the port. */
uint16_t address_unpack(const union socket_address *from,
			char text[ADDRESS_TEXT_SIZE]);

/* Writes the IP address without the port; an empty string on failure. */
void address_to_text(const struct sockaddr *address,
		     char text[ADDRESS_TEXT_SIZE]);

bool address_is_ip(const char *text);
bool address_is_loopback(const char *text);

/* True for the wildcard addresses 0.0.0.0 and ::, which a listener binds to
 * accept connections on all addresses of the host. */
bool address_is_any(const char *text);

/* RETURN VALUE: "http://IP:PORTpath" with an IPv6 address in brackets. The
 * caller frees it. */
char *address_to_url(const char *number, uint16_t port, const char *path);

/* True for "IP:PORT" with an IPv6 address in brackets and a port other than
 * 0. */
bool address_is_ip_port(const char *text);

#endif
