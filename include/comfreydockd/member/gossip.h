/*
 * NAME
 *	gossip - the SWIM protocol over UDP on the daemon's event loop
 *
 * DESCRIPTION
 *	Binds a UDP port with the same number as the daemon's TCP port for
 *	peers, passes received packets and the time to swim, and sends the
 *	packets that swim produces.
 *
 *	Each packet carries a format version and the first 16 bytes of its
 *	HMAC-SHA256 under settings->peer_key. A packet with another key or
 *	version, or a damaged one, is dropped and counted; the log lines about
 *	dropped packets are rate-limited. Without a key, anybody on the network
 *	can join the cluster.
 */
#ifndef COMFREYDOCKD_MEMBER_GOSSIP_H
#define COMFREYDOCKD_MEMBER_GOSSIP_H

#include "comfreydockd/daemon.h"
#include "comfreydockd/member/member.h"

struct gossip;

struct gossip_handlers {
	/* Same as in struct swim_ops; both may be NULL. */
	void (*handle_config_head)(const char *host, uint64_t head,
				   int64_t told_age_us, void *data);
	int64_t (*config_told_age_us)(uint64_t head, void *data);
	void *data;
};

/*
 * Adds this host's record to the member table and joins the peers named in the
 * settings. The daemon's loop, settings, incarnation and admin_port must be set
 * and its member table empty. The handlers must outlive the gossip object. With
 * port 0 the kernel chooses a port.
 *
 * RETURN VALUE
 *	NULL with errno set if the port can't be bound.
 */
struct gossip *gossip_create(struct daemon *daemon, uint16_t port,
			     const struct gossip_handlers *handlers);
void gossip_destroy(struct gossip *gossip);
uint16_t gossip_port(const struct gossip *gossip);

/* Joins the cluster through a peer.
 * RETURN VALUE: false if peer is not "IP:PORT" or "[IP]:PORT". */
bool gossip_join(struct gossip *gossip, const char *peer);

/* Announces this host's upstream to the cluster.
 * RETURN VALUE: false if the group names together are too long. */
bool gossip_announce_self(struct gossip *gossip, enum member_service_state state,
			  char **groups, uint32_t slots, uint32_t warm_ms);

/* Announces that this host leaves. The caller must run the loop for about
 * 500 ms more, so that the announcement spreads. */
void gossip_leave(struct gossip *gossip);
void gossip_set_config_head(struct gossip *gossip, uint64_t head);

/* Spreads the list of evacuated domains, which has changed. */
void gossip_note_evacuation(struct gossip *gossip);

/* This host's record, as last announced. */
const struct member *gossip_self(const struct gossip *gossip);
bool gossip_has_peers(const struct gossip *gossip);

/* RETURN VALUE: true if the member table is taken to be complete. It stays
 * incomplete while this host has no peers. */
bool gossip_table_is_complete(const struct gossip *gossip);

/* RETURN VALUE: when the last valid packet of a peer came; 0: none so far. */
int64_t gossip_heard_us(const struct gossip *gossip);

#endif
