#include "comfreydockd/config/key_digest.h"

#include <glib.h>
#include <string.h>

#define SECRET_BYTES 32
/* Other uses of the peer key must not give the same secret. */
#define PURPOSE "comfreydock API key digest 1"

static void derive_secret(const struct settings *settings,
			  uint8_t secret[SECRET_BYTES])
{
	const uint8_t *key =
		settings->peer_key ? settings->peer_key : (const uint8_t *)"";
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, key, settings->peer_key_size);
	gsize size = SECRET_BYTES;

	g_hmac_update(hmac, (const guchar *)PURPOSE, strlen(PURPOSE));
	g_hmac_get_digest(hmac, secret, &size);
	g_hmac_unref(hmac);
}

void key_digest_of(const struct settings *settings, const char *key,
		   char hex[KEY_DIGEST_SIZE])
{
	uint8_t secret[SECRET_BYTES];
	GHmac *hmac;

	derive_secret(settings, secret);
	hmac = g_hmac_new(G_CHECKSUM_SHA256, secret, sizeof(secret));
	g_hmac_update(hmac, (const guchar *)key, (gssize)strlen(key));
	g_strlcpy(hex, g_hmac_get_string(hmac), KEY_DIGEST_SIZE);
	g_hmac_unref(hmac);
}

bool key_digest_parse(const char *text, char hex[KEY_DIGEST_SIZE])
{
	if (strlen(text) != KEY_DIGEST_SIZE - 1)
		return false;
	for (size_t i = 0; i < KEY_DIGEST_SIZE; i++) {
		if (text[i] && !g_ascii_isxdigit(text[i]))
			return false;
		hex[i] = g_ascii_tolower(text[i]);
	}
	return true;
}
