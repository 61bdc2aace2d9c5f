#include "comfreydockd/peer/peers_internal.h"

#include <string.h>

#include "comfreydockd/settings.h"
#include "common/counters.h"
#include "common/log.h"

void peer_send_hello(struct peer *peer, bool with_proof)
{
	const struct settings *settings = peer->peers->daemon->settings;
	struct handshake_key key = {settings->peer_key, settings->peer_key_size};
	uint8_t proof[HANDSHAKE_PROOF_BYTES];
	Cfd__Hello hello = CFD__HELLO__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	hello.version = PEERS_PROTOCOL_VERSION;
	hello.host = settings->host;
	hello.incarnation = peer->peers->daemon->incarnation;
	hello.nonce.data = peer->our_nonce;
	hello.nonce.len = HANDSHAKE_NONCE_BYTES;
	if (with_proof) {
		handshake_make_proof(&key, peer->outgoing ? "entry" : "owner",
				     settings->host, peer->their_nonce,
				     peer->our_nonce, proof);
		hello.proof.data = proof;
		hello.proof.len = HANDSHAKE_PROOF_BYTES;
	}
	frame.kind_case = CFD__FRAME__KIND_HELLO;
	frame.hello = &hello;
	link_send(peer->link, &frame);
}

void peer_refuse(struct peer *peer, const char *why)
{
	counters.peer_handshakes_failed++;
	log_event(EV_PEER_REFUSED, LOG_STR("why", why),
		  LOG_STR("host", peer->host));
	link_fail(peer->link, why);
}

static bool peer_proof_is_valid(struct peer *peer, const Cfd__Hello *hello)
{
	const struct settings *settings = peer->peers->daemon->settings;
	struct handshake_key key = {settings->peer_key, settings->peer_key_size};
	uint8_t proof[HANDSHAKE_PROOF_BYTES];

	if (hello->proof.len != HANDSHAKE_PROOF_BYTES)
		return false;
	handshake_make_proof(&key, peer->outgoing ? "owner" : "entry",
			     hello->host, peer->our_nonce, peer->their_nonce,
			     proof);
	return handshake_proofs_match(proof, hello->proof.data,
				      HANDSHAKE_PROOF_BYTES);
}

static void peer_release_held(struct peer *peer)
{
	Cfd__Frame *frame;

	for (guint i = 0; i < peer->held->len; i++) {
		GByteArray *bytes = g_ptr_array_index(peer->held, i);
		uint64_t position;

		frame = cfd__frame__unpack(NULL, bytes->len, bytes->data);
		position = link_send(peer->link, frame);
		if (i == 0)
			peer->base = position;
		cfd__frame__free_unpacked(frame, NULL);
	}
	if (peer->held->len == 0)
		peer->base = 0;
	g_ptr_array_set_size(peer->held, 0);
}

static void peer_become_ready(struct peer *peer)
{
	ev_timer_stop(peer->peers->daemon->loop, &peer->timeout);
	link_set_trusted(peer->link);
	peer->state = PEER_READY;
	peer_release_held(peer);
	log_event(EV_PEER_READY, LOG_STR("host", peer->host),
		  LOG_STR("side", peer->outgoing ? "entry" : "owner"));
}

/* Handles the entry's first Hello, which has its host name and its nonce. */
static void peer_handle_initial_hello(struct peer *peer, const Cfd__Hello *hello)
{
	if (hello->nonce.len != HANDSHAKE_NONCE_BYTES) {
		peer_refuse(peer, "handshake without a nonce");
		return;
	}
	g_strlcpy(peer->host, hello->host, sizeof(peer->host));
	peer->incarnation = hello->incarnation;
	memcpy(peer->their_nonce, hello->nonce.data, HANDSHAKE_NONCE_BYTES);
	peer_send_hello(peer, true);
}

static void peer_handle_owner_hello(struct peer *peer, const Cfd__Hello *hello)
{
	if (hello->nonce.len != HANDSHAKE_NONCE_BYTES) {
		peer_refuse(peer, "handshake without a nonce");
		return;
	}
	memcpy(peer->their_nonce, hello->nonce.data, HANDSHAKE_NONCE_BYTES);
	if (!peer_proof_is_valid(peer, hello)) {
		peer_refuse(peer, "wrong key");
		return;
	}
	if (strcmp(hello->host, peer->host) != 0) {
		peer_refuse(peer, "unexpected host at this address");
		return;
	}
	peer->incarnation = hello->incarnation;
	peer_send_hello(peer, true);
	peer_become_ready(peer);
}

void peer_handle_hello(struct peer *peer, const Cfd__Hello *hello)
{
	if (hello->version != PEERS_PROTOCOL_VERSION) {
		peer_refuse(peer, "unsupported protocol version");
		return;
	}
	if (peer->outgoing) {
		peer_handle_owner_hello(peer, hello);
		return;
	}
	if (!peer->host[0]) {
		peer_handle_initial_hello(peer, hello);
		return;
	}
	if (strcmp(hello->host, peer->host) != 0 ||
	    !peer_proof_is_valid(peer, hello)) {
		peer_refuse(peer, "wrong key");
		return;
	}
	peer_become_ready(peer);
}
