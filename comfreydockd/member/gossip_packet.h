/*
 * NAME
 *	gossip_packet - the envelope of gossip's packets
 *
 * DESCRIPTION
 *	A body in an envelope of version, body and tag.
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
	GOSSIP_PACKET_WRONG_TAG,
};

/* RETURN VALUE: the packet's size. */
size_t gossip_packet_seal(const uint8_t *key, size_t key_size,
			  const uint8_t *body, size_t size,
			  uint8_t packet[GOSSIP_PACKET_MAX]);

/* On GOSSIP_PACKET_OK *opened is the caller's; else it is NULL. */
enum gossip_packet_status gossip_packet_open(const uint8_t *key, size_t key_size,
					     const uint8_t *packet, size_t size,
					     Cfd__Packet **opened);

#endif
