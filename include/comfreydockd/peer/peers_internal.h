/*
 * NAME
 *	peers_internal - the state of connections, for the files in peer/
 */
#ifndef COMFREYDOCKD_PEER_PEERS_INTERNAL_H
#define COMFREYDOCKD_PEER_PEERS_INTERNAL_H

#include "comfreydockd/peer/handshake.h"
#include "comfreydockd/peer/link.h"
#include "comfreydockd/peer/peers.h"

/* More than the highest kind of frame; kinds are numbered from 1. */
#define PEERS_KINDS 32

struct peers_handler {
	void (*handle)(struct peer *peer, const Cfd__Frame *frame, void *data);
	void *data;
};

enum peer_state {
	PEER_HANDSHAKING,
	PEER_READY,
};

struct peer {
	LIST_ENTRY(peer) link_all;
	struct peers *peers;
	struct link *link;
	const struct peers_role *role;
	bool outgoing;
	bool is_replaced; /* another outgoing connection has taken its place */
	enum peer_state state;
	ev_timer timeout; /* of the handshake */
	char host[MEMBER_HOST_MAX];
	uint64_t incarnation;
	uint8_t our_nonce[HANDSHAKE_NONCE_BYTES];
	uint8_t their_nonce[HANDSHAKE_NONCE_BYTES];
	GPtrArray *held; /* of GByteArray: frames sent before PEER_READY */
	uint64_t held_bytes;
	uint64_t base; /* position in the link's stream of the first frame */
	int64_t created_us;
	int64_t last_used_us;
	int64_t last_heard_us;
	uint32_t uses; /* open attempts */
	uint64_t ping_id; /* of the last ping to it; 0: none */
	bool ping_is_open; /* it has not replied */
	int64_t pinged_us;
	void *role_data;
};

struct peers {
	struct daemon *daemon;
	struct link_group links;
	int fd;
	uint16_t port;
	ev_io acceptor;
	ev_timer sweep;
	struct peers_role entry;
	struct peers_role owner;
	struct peers_handler handlers[PEERS_KINDS];
	GHashTable *outgoing; /* host -> struct peer */
	LIST_HEAD(, peer) all;
	size_t count;
};

/* ping.c */
void peers_init_ping(struct peers *peers);

/* hello.c: the handshake, up to PEER_READY or the end of the link */

void peer_send_hello(struct peer *peer, bool with_proof);
void peer_handle_hello(struct peer *peer, const Cfd__Hello *hello);
void peer_refuse(struct peer *peer, const char *why);

#endif
