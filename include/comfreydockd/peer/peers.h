/*
 * NAME
 *	peers - connections to and from the other daemons
 *
 * DESCRIPTION
 *	There is one TCP connection for each ordered pair of daemons: the daemon
 *	that opens it is the entry, the one that accepts it is the owner. It is
 *	opened for the first frame, and closed after PEERS_IDLE_US without one
 *	unless an answer is still expected on it. A connection that may be lost
 *	is replaced, see peers_connect_for_query().
 *	A daemon's connection to itself goes through memory.
 *
 *	Before any other frame each side proves, by an HMAC-SHA256 over both
 *	sides' nonces, that it knows the shared key. A connection without a
 *	valid proof is closed and counted. The connection is not encrypted; see
 *	docs/design/peer.md.
 *
 *	Frames that are sent before the end of the handshake are held back until
 *	then. If the handshake fails, they have certainly not left.
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
/* A connection on which no frame has arrived for this long may be lost. That of a
 * host that members call dead is kept until then. */
#define PEERS_SILENT_US ((int64_t)1000 * 1000)
/* Two round trips between regions, and the retransmission of one lost SYN. */
#define PEERS_CONNECT_TIMEOUT_S 1.2

#define PEERS_PING_TIMEOUT_US ((int64_t)2000 * 1000)

struct peer;
struct peers;

/* Handlers for the connections of one role. Each daemon has two roles: it is
 * the entry on the connections that it opens, and the owner on those that it
 * accepts. */
struct peers_role {
	void (*handle_frame)(struct peer *peer, Cfd__Frame *frame, void *data);
	/* The connection was lost; the peer is freed after this call. */
	void (*handle_lost)(struct peer *peer, const char *error, void *data);
	void *data;
};

/* RETURN VALUE: NULL with errno set if the port can't be bound. */
struct peers *peers_create(struct daemon *daemon);
void peers_destroy(struct peers *peers);

void peers_set_entry_role(struct peers *peers, const struct peers_role *role);
void peers_set_owner_role(struct peers *peers, const struct peers_role *role);

/* Sends all frames of this kind to the handler instead of the roles, whichever
 * side sent them. For queries between daemons that don't belong to a call. */
void peers_set_frame_handler(struct peers *peers, Cfd__Frame__KindCase kind,
			     void (*handle)(struct peer *peer,
					    const Cfd__Frame *frame, void *data),
			     void *data);

uint16_t peers_port(const struct peers *peers);

/* RETURN VALUE: the entry's connection to a member, which is opened if there is
 * none. */
struct peer *peers_connect(struct peers *peers, const struct member *member);

/* The same for a query that another daemon could answer as well. If nothing has
 * arrived on the connection for PEERS_SILENT_US, it may be lost without an error,
 * and another one is opened. The former one is closed once no attempt uses it. */
struct peer *peers_connect_for_query(struct peers *peers,
				     const struct member *member);

/* Closes the entry's connection to a host that members call dead or no longer
 * know, unless frames still arrive on it. */
void peers_note_dead(struct peers *peers, const char *host);

/* Sends a frame to the entries that are connected to this owner and for whose
 * connection wants() returns true; NULL: to all of them. */
void peers_notify_entries(struct peers *peers, const Cfd__Frame *frame,
			  bool (*wants)(struct peer *peer, void *data),
			  void *data);

/* Reads all that has arrived on any connection, without blocking, and passes
 * the frames to their handlers. */
void peers_read_input(struct peers *peers);

/* Sends a ping to all entries that are connected to this owner. */
void peers_ping_entries(struct peers *peers);

/* RETURN VALUE: false if the peer was sent a ping and has not replied yet, so that
 * frames which it sent long ago may still be on their way. A peer that doesn't
 * reply within PEERS_PING_TIMEOUT_US counts as one that can't. */
bool peer_has_replied(const struct peer *peer);

/* RETURN VALUE: the frame's position, for peer_has_begun_sending(). */
uint64_t peer_send(struct peer *peer, const Cfd__Frame *frame);

/* RETURN VALUE: true if at least the first byte of the frame at this position
 * was handed to the kernel. */
bool peer_has_begun_sending(const struct peer *peer, uint64_t position);

/* Mark the time from the sending of an attempt to its end, during which the
 * connection is not idle. */
void peer_begin_use(struct peer *peer);
void peer_end_use(struct peer *peer);

const char *peer_host(const struct peer *peer);
uint64_t peer_incarnation(const struct peer *peer);

/* The data that a role attaches to this connection. */
void peer_set_role_data(struct peer *peer, void *data);
void *peer_role_data(const struct peer *peer);

/* The number of open connections, both directions. */
size_t peers_count(const struct peers *peers);

#endif
