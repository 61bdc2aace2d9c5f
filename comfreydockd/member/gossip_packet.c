#include "gossip_packet.h"

#include <glib.h>
#include <stdbool.h>

static void tag_compute(const uint8_t *key, size_t key_size, uint32_t version,
			const uint8_t *body, size_t size,
			uint8_t tag[GOSSIP_TAG_SIZE])
{
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, key ? key : tag,
				 key ? key_size : 0);
	uint8_t digest[32];
	gsize digest_size = sizeof(digest);
	uint8_t version_byte = version;

	g_hmac_update(hmac, &version_byte, 1);
	g_hmac_update(hmac, body, (gssize)size);
	g_hmac_get_digest(hmac, digest, &digest_size);
	g_hmac_unref(hmac);
	for (int i = 0; i < GOSSIP_TAG_SIZE; i++)
		tag[i] = digest[i];
}

/* Compares in constant time, so that an attacker cannot use the response time
 * to guess a tag byte by byte. */
static bool tag_equals(const uint8_t *a, const uint8_t *b)
{
	uint8_t difference = 0;

	for (int i = 0; i < GOSSIP_TAG_SIZE; i++)
		difference |= a[i] ^ b[i];
	return difference == 0;
}

size_t gossip_packet_seal(const uint8_t *key, size_t key_size,
			  const uint8_t *body, size_t size,
			  uint8_t packet[GOSSIP_PACKET_MAX])
{
	Cfd__Packet envelope = CFD__PACKET__INIT;
	uint8_t tag[GOSSIP_TAG_SIZE] = {0};

	tag_compute(key, key_size, GOSSIP_VERSION, body, size, tag);
	envelope.version = GOSSIP_VERSION;
	envelope.body.data = (uint8_t *)body;
	envelope.body.len = size;
	envelope.tag.data = tag;
	envelope.tag.len = sizeof(tag);
	g_assert(cfd__packet__get_packed_size(&envelope) <= GOSSIP_PACKET_MAX);
	return cfd__packet__pack(&envelope, packet);
}

size_t gossip_packet_sealed_size(size_t body_size)
{
	uint8_t tag[GOSSIP_TAG_SIZE] = {0};
	Cfd__Packet envelope = CFD__PACKET__INIT;

	envelope.version = GOSSIP_VERSION;
	envelope.body.len = body_size;
	envelope.tag.data = tag;
	envelope.tag.len = sizeof(tag);
	return cfd__packet__get_packed_size(&envelope);
}

static enum gossip_packet_status packet_check(const uint8_t *key, size_t key_size,
					      const Cfd__Packet *packet)
{
	uint8_t tag[GOSSIP_TAG_SIZE] = {0};

	if (packet->version != GOSSIP_VERSION)
		return GOSSIP_PACKET_WRONG_VERSION;
	if (packet->tag.len != GOSSIP_TAG_SIZE)
		return GOSSIP_PACKET_UNAUTHENTICATED;
	tag_compute(key, key_size, packet->version, packet->body.data,
		    packet->body.len, tag);
	return tag_equals(tag, packet->tag.data) ? GOSSIP_PACKET_OK :
						   GOSSIP_PACKET_UNAUTHENTICATED;
}

enum gossip_packet_status gossip_packet_open(const uint8_t *key, size_t key_size,
					     const uint8_t *packet, size_t size,
					     Cfd__Packet **opened)
{
	enum gossip_packet_status status;

	*opened = cfd__packet__unpack(NULL, size, packet);
	if (!*opened)
		return GOSSIP_PACKET_MALFORMED;
	status = packet_check(key, key_size, *opened);
	if (status != GOSSIP_PACKET_OK) {
		cfd__packet__free_unpacked(*opened, NULL);
		*opened = NULL;
	}
	return status;
}
