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

/* RETURN VALUE: the address's size; 0 if the text is no IP number. */
socklen_t address_parse(union socket_address *to, const char *text,
			uint16_t port);

/* RETURN VALUE: the port; text gets the IP number. */
uint16_t address_unpack(const union socket_address *from,
			char text[ADDRESS_TEXT_SIZE]);

/* Writes the IP number alone, or nothing. */
void address_to_text(const struct sockaddr *address,
		     char text[ADDRESS_TEXT_SIZE]);

bool address_is_ip(const char *text);
bool address_is_loopback(const char *text);

/* All addresses of a host, as a listener binds them. */
bool address_is_any(const char *text);

/* RETURN VALUE: "http://IP:PORTpath", an IPv6 number in brackets; the caller
 * frees it. */
char *address_to_url(const char *number, uint16_t port, const char *path);

/* "IP:PORT", an IPv6 number in brackets; the port is not 0. */
bool address_is_ip_port(const char *text);

#endif
