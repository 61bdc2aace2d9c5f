/*
 * NAME
 *	handshake - proves that a peer knows the shared key
 *
 * DESCRIPTION
 *	Each side sends a nonce, and proves that it knows the key by an
 *	HMAC-SHA256 over both nonces, its role and its host name. The role
 *	prevents a reflection attack, in which an attacker without the key sends
 *	a side's own proof back to it.
 */
#ifndef COMFREYDOCKD_PEER_HANDSHAKE_H
#define COMFREYDOCKD_PEER_HANDSHAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HANDSHAKE_NONCE_BYTES 16
#define HANDSHAKE_PROOF_BYTES 32

struct handshake_key {
	const uint8_t *data;
	size_t size;
};

void handshake_make_nonce(uint8_t nonce[HANDSHAKE_NONCE_BYTES]);

void handshake_make_proof(const struct handshake_key *key, const char *role,
			  const char *host,
			  const uint8_t theirs[HANDSHAKE_NONCE_BYTES],
			  const uint8_t ours[HANDSHAKE_NONCE_BYTES],
			  uint8_t proof[HANDSHAKE_PROOF_BYTES]);

/* Compares in constant time. */
bool handshake_proofs_match(const uint8_t *a, const uint8_t *b, size_t size);

#endif
