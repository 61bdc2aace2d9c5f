/*
 * NAME
 *	peers - connections to and from the other daemons
 *
 * DESCRIPTION
 *	One TCP connection for each ordered pair of daemons: the one that opens
 *	it is the entry, the one that takes it the owner. It is opened when the
 *	first frame is to be sent and closed after PEERS_IDLE_US without one,
 *	unless something is still expected on it.
 *	A daemon's connection to itself goes through memory.
 *
 *	Before any other frame each side proves by HMAC-SHA256 over the other's
 *	nonce that it knows the shared key. A stranger is closed and counted.
 *	The connection is not encrypted; see docs/design/peer.md.
 *
 *	Frames sent before the greeting is over are held back and leave after
 *	it; if it fails they have certainly not left.
 */
#ifndef COMFREYDOCKD_PEER_PEERS_H
#define COMFREYDOCKD_PEER_PEERS_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/daemon.h"
#include "comfreydockd/member/member.h"
#include "proto/peer.pb-c.h"

#define PEERS_PROTOCOL_VERSION 1
#define PEERS_IDLE_US ((int64_t)60 * 1000 * 1000)
/* A dead host's connection is kept while it gave a frame so recently. */
#define PEERS_SILENT_US ((int64_t)1000 * 1000)
/* Two round trips between regions and room for one lost SYN's repeat. */
#define PEERS_CONNECT_TIMEOUT_S 1.2

struct peer;
struct peers;

/* What a role does with the connections that are its own. */
struct peers_role {
	void (*handle_frame)(struct peer *peer, Cfd__Frame *frame, void *data);
	/* The peer is freed after this. */
	void (*handle_lost)(struct peer *peer, const char *error, void *data);
	void *data;
};

/* RETURN VALUE: NULL with errno set if the port can't be bound. */
struct peers *peers_create(struct daemon *daemon);
void peers_destroy(struct peers *peers);

void peers_set_entry(struct peers *peers, const struct peers_role *role);
void peers_set_owner(struct peers *peers, const struct peers_role *role);

/* Frames of this kind go to the handler, whichever side sent them, and not to
 * the roles: questions between daemons that are no calls. */
void peers_set_frame_handler(struct peers *peers, Cfd__Frame__KindCase kind,
			     void (*handle)(struct peer *peer,
					    const Cfd__Frame *frame, void *data),
			     void *data);

uint16_t peers_port(const struct peers *peers);

/* The entry's connection to a member, opened if there is none. */
struct peer *peers_connect(struct peers *peers, const struct member *member);

/* Breaks the entry's connection to a host that members call dead or don't
 * know any more, unless it still gives frames. */
void peers_note_dead(struct peers *peers, const char *host);

/* Sends a frame to all entries whose connections are open here. */
void peers_notify_entries(struct peers *peers, const Cfd__Frame *frame);

/* Reads all that has arrived on any connection, without waiting. */
void peers_drain_input(struct peers *peers);

/* RETURN VALUE: the frame's position, for peer_has_handed_over(). */
uint64_t peer_send(struct peer *peer, const Cfd__Frame *frame);
bool peer_has_handed_over(const struct peer *peer, uint64_t position);

/* From an attempt's sending to its end: the connection is not idle. */
void peer_begin_use(struct peer *peer);
void peer_end_use(struct peer *peer);

const char *peer_host(const struct peer *peer);
uint64_t peer_incarnation(const struct peer *peer);

/* A role's own state for this connection. */
void peer_set_role_data(struct peer *peer, void *data);
void *peer_role_data(const struct peer *peer);

/* The number of open connections, both directions. */
size_t peers_count(const struct peers *peers);

#endif
