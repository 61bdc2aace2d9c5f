/*
 * NAME
 *	gossip - swim over UDP on the daemon's loop
 *
 * DESCRIPTION
 *	Binds the UDP port with the number of the daemon's TCP port for peers,
 *	feeds swim with packets and time, and sends what it wants sent.
 *
 *	Each packet carries a version and the first 16 bytes of its
 *	HMAC-SHA256 under settings->peer_key. A stranger's, a damaged or
 *	another version's packet is dropped, counted, and logged at most some
 *	times a minute. Without a key anybody on the network may take part.
 */
#ifndef COMFREYDOCKD_MEMBER_GOSSIP_H
#define COMFREYDOCKD_MEMBER_GOSSIP_H

#include "comfreydockd/daemon.h"
#include "comfreydockd/member/member.h"

struct gossip;

struct gossip_handlers {
	/* As in struct swim_ops; both may be NULL. */
	void (*handle_config_head)(const char *host, uint64_t head,
				   int64_t told_age_us, void *data);
	int64_t (*config_told_age_us)(uint64_t head, void *data);
	void *data;
};

/*
 * Needs the daemon's loop, settings, incarnation, admin_port and an empty
 * member table, adds this host's record and joins the settings' peers.
 * The handlers must outlive it. Port 0: the kernel chooses.
 *
 * RETURN VALUE
 *	NULL with errno set if the port can't be bound.
 */
struct gossip *gossip_create(struct daemon *daemon, uint16_t port,
			     const struct gossip_handlers *handlers);
void gossip_destroy(struct gossip *gossip);
uint16_t gossip_port(const struct gossip *gossip);

/* RETURN VALUE: false if it is not "IP:PORT" or "[IP]:PORT". */
bool gossip_join(struct gossip *gossip, const char *peer);

/* RETURN VALUE: false if the groups' names are too long in all. */
bool gossip_announce_self(struct gossip *gossip, enum member_service_state state,
			  char **groups, uint32_t slots, uint32_t warm_ms);

/* Says good-bye; run the loop for some 500 ms more so that it spreads. */
void gossip_leave(struct gossip *gossip);
void gossip_set_config_head(struct gossip *gossip, uint64_t head);

/* This host's record, as last announced. */
const struct member *gossip_self(const struct gossip *gossip);
bool gossip_has_peers(const struct gossip *gossip);

#endif
