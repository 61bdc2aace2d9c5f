#include "common/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool address_is_ip_number(const char *text)
{
	struct in6_addr out;

	return inet_pton(AF_INET, text, &out) == 1 ||
	       inet_pton(AF_INET6, text, &out) == 1;
}

bool address_is_loopback(const char *text)
{
	return strcmp(text, "::1") == 0 ||
	       (g_str_has_prefix(text, "127.") && address_is_ip_number(text));
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

bool address_has_port(const char *text)
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
	ok = address_is_ip_number(number) &&
	     (*text == '[') == (strchr(number, ':') != NULL);
	g_free(number);
	return ok;
}
