#include "comfreydockd/peer/peers_internal.h"
#include "common/clock.h"
#include "common/counters.h"

static void send_ping(struct peer *peer, uint64_t id, bool is_reply)
{
	Cfd__Ping ping = CFD__PING__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	ping.id = id;
	ping.is_reply = is_reply;
	frame.kind_case = CFD__FRAME__KIND_PING;
	frame.ping = &ping;
	peer_send(peer, &frame);
}

static void handle_ping(struct peer *peer, const Cfd__Frame *frame, void *data)
{
	const Cfd__Ping *ping = frame->ping;

	(void)data;
	if (!ping->is_reply)
		send_ping(peer, ping->id, true);
	else if (peer->ping_is_open && ping->id == peer->ping_id)
		peer->ping_is_open = false;
}

void peers_init_ping(struct peers *peers)
{
	peers_set_frame_handler(peers, CFD__FRAME__KIND_PING, handle_ping, NULL);
}

void peers_ping_entries(struct peers *peers)
{
	struct peer *peer;

	LIST_FOREACH (peer, &peers->all, link_all) {
		if (peer->outgoing || peer->state != PEER_READY)
			continue;
		peer->ping_id++;
		peer->ping_is_open = true;
		peer->pinged_us = clock_mono_us();
		counters.peer_pings++;
		send_ping(peer, peer->ping_id, false);
	}
}

bool peer_has_replied(const struct peer *peer)
{
	return !peer->ping_is_open ||
	       clock_mono_us() - peer->pinged_us > PEERS_PING_TIMEOUT_US;
}
