#include "comfreydockd/peer/handshake.h"

#include <glib.h>
#include <string.h>

#include "common/id.h"

void handshake_make_nonce(uint8_t nonce[HANDSHAKE_NONCE_BYTES])
{
	uint64_t parts[2] = {id_random_u64(), id_random_u64()};

	memcpy(nonce, parts, HANDSHAKE_NONCE_BYTES);
}

void handshake_make_proof(const struct handshake_key *key, const char *role,
			  const char *host,
			  const uint8_t theirs[HANDSHAKE_NONCE_BYTES],
			  const uint8_t ours[HANDSHAKE_NONCE_BYTES],
			  uint8_t proof[HANDSHAKE_PROOF_BYTES])
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, key->data, key->size);
	gsize size = HANDSHAKE_PROOF_BYTES;

	/* Includes the terminating 0 bytes, which separate role and host. */
	g_hmac_update(hmac, (const guchar *)role, (gssize)strlen(role) + 1);
	g_hmac_update(hmac, (const guchar *)host, (gssize)strlen(host) + 1);
	g_hmac_update(hmac, theirs, HANDSHAKE_NONCE_BYTES);
	g_hmac_update(hmac, ours, HANDSHAKE_NONCE_BYTES);
	g_hmac_get_digest(hmac, proof, &size);
	g_hmac_unref(hmac);
}

bool handshake_proofs_match(const uint8_t *a, const uint8_t *b, size_t size)
{
	unsigned char difference = 0;

	for (size_t i = 0; i < size; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}
