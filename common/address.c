#include "common/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

socklen_t address_parse(union socket_address *to, const char *text, uint16_t port)
{
	memset(to, 0, sizeof(*to));
	if (inet_pton(AF_INET, text, &to->v4.sin_addr) == 1) {
		to->v4.sin_family = AF_INET;
		to->v4.sin_port = htons(port);
		return sizeof(to->v4);
	}
	if (inet_pton(AF_INET6, text, &to->v6.sin6_addr) == 1) {
		to->v6.sin6_family = AF_INET6;
		to->v6.sin6_port = htons(port);
		return sizeof(to->v6);
	}
	return 0;
}

uint16_t address_unpack(const union socket_address *from,
			char text[ADDRESS_TEXT_SIZE])
{
	if (from->any.sa_family == AF_INET) {
		inet_ntop(AF_INET, &from->v4.sin_addr, text, ADDRESS_TEXT_SIZE);
		return ntohs(from->v4.sin_port);
	}
	inet_ntop(AF_INET6, &from->v6.sin6_addr, text, ADDRESS_TEXT_SIZE);
	return ntohs(from->v6.sin6_port);
}

bool address_is_ip(const char *text)
{
	union socket_address out;

	return address_parse(&out, text, 0) != 0;
}

bool address_is_loopback(const char *text)
{
	return strcmp(text, "::1") == 0 ||
	       (g_str_has_prefix(text, "127.") && address_is_ip(text));
}

bool address_is_any(const char *text)
{
	struct in6_addr in6;
	struct in_addr in4;

	if (inet_pton(AF_INET, text, &in4) == 1)
		return in4.s_addr == htonl(INADDR_ANY);
	return inet_pton(AF_INET6, text, &in6) == 1 &&
	       IN6_IS_ADDR_UNSPECIFIED(&in6);
}

bool address_is_ip_port(const char *text)
{
	const char *colon = strrchr(text, ':');
	guint64 port;
	char *number;
	bool ok;

	if (!colon || colon == text ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port,
					NULL))
		return false;
	if (*text == '[' && colon[-1] == ']')
		number = g_strndup(text + 1, (gsize)(colon - text - 2));
	else
		number = g_strndup(text, (gsize)(colon - text));
	ok = address_is_ip(number) &&
	     (*text == '[') == (strchr(number, ':') != NULL);
	g_free(number);
	return ok;
}

char *address_to_url(const char *number, uint16_t port, const char *path)
{
	bool is_v6 = strchr(number, ':') != NULL;

	return g_strdup_printf(is_v6 ? "http://[%s]:%u%s" : "http://%s:%u%s",
			       number, port, path);
}

void address_to_text(const struct sockaddr *address, char out[INET6_ADDRSTRLEN])
{
	const void *number = &((const struct sockaddr_in *)address)->sin_addr;

	if (address->sa_family == AF_INET6)
		number = &((const struct sockaddr_in6 *)address)->sin6_addr;
	if (!inet_ntop(address->sa_family, number, out, INET6_ADDRSTRLEN))
		out[0] = '\0';
}
