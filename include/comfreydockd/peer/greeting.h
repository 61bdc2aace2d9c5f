/*
 * NAME
 *	greeting - the proof that a peer knows the shared key
 *
 * DESCRIPTION
 *	Each side sends a nonce and proves the key by an HMAC-SHA256 over both
 *	nonces, its role and its host's name. Without the role in it, a
 *	stranger could play one side's proof back to it as the other's.
 */
#ifndef COMFREYDOCKD_PEER_GREETING_H
#define COMFREYDOCKD_PEER_GREETING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define GREETING_NONCE_BYTES 16
#define GREETING_PROOF_BYTES 32

struct greeting_key {
	const uint8_t *data;
	size_t size;
};

void greeting_make_nonce(uint8_t nonce[GREETING_NONCE_BYTES]);

void greeting_prove(const struct greeting_key *key, const char *role,
		    const char *host, const uint8_t theirs[GREETING_NONCE_BYTES],
		    const uint8_t ours[GREETING_NONCE_BYTES],
		    uint8_t proof[GREETING_PROOF_BYTES]);

/* Compares in constant time. */
bool greeting_proofs_match(const uint8_t *a, const uint8_t *b, size_t size);

#endif
