/*
 * NAME
 *	gossip_packet - envelope of gossip packets
 *
 * DESCRIPTION
 *	Wraps a message body in an envelope of format version, body and
 *	authentication tag, and verifies and unwraps received envelopes.
 */
#ifndef COMFREYDOCKD_MEMBER_GOSSIP_PACKET_H
#define COMFREYDOCKD_MEMBER_GOSSIP_PACKET_H

#include <stddef.h>
#include <stdint.h>

#include "proto/gossip.pb-c.h"

#define GOSSIP_PACKET_MAX 1200
#define GOSSIP_VERSION 1
#define GOSSIP_TAG_SIZE 16

enum gossip_packet_status {
	GOSSIP_PACKET_OK,
	GOSSIP_PACKET_MALFORMED,
	GOSSIP_PACKET_WRONG_VERSION,
	GOSSIP_PACKET_UNAUTHENTICATED, /* the tag doesn't match key and body */
};

/* Writes the envelope of the body into packet.
 * RETURN VALUE: the size of the packet in bytes. */
size_t gossip_packet_seal(const uint8_t *key, size_t key_size,
			  const uint8_t *body, size_t size,
			  uint8_t packet[GOSSIP_PACKET_MAX]);

/* RETURN VALUE: the size of the packet that holds a body of this size. */
size_t gossip_packet_sealed_size(size_t body_size);

/* On GOSSIP_PACKET_OK the caller owns *opened and frees it with
 * cfd__packet__free_unpacked(); otherwise *opened is NULL. */
enum gossip_packet_status gossip_packet_open(const uint8_t *key, size_t key_size,
					     const uint8_t *packet, size_t size,
					     Cfd__Packet **opened);

#endif
