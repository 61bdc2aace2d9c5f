#include "comfreydockd/config/spread_peers.h"

#include <ev.h>

#include "comfreydockd/config/spread.h"
#include "comfreydockd/member/gossip.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/id.h"

struct spread_peers {
	struct daemon *daemon;
	struct config_spread *spread;
	struct config_spread_ops ops;
	ev_timer tick;
};

static void handle_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct spread_peers *peers = timer->data;

	(void)loop;
	(void)events;
	config_spread_tick(peers->spread, clock_mono_us());
}

static void ask(const struct member *member, const Cfd__ConfigQuery *query,
		void *data)
{
	struct spread_peers *peers = data;
	struct peer *peer = peers_connect_for_query(peers->daemon->peers, member);
	Cfd__Frame frame = CFD__FRAME__INIT;

	frame.kind_case = CFD__FRAME__KIND_CONFIG_QUERY;
	frame.config_query = (Cfd__ConfigQuery *)query;
	counters.config_bytes_out += cfd__config_query__get_packed_size(query);
	peer_send(peer, &frame);
}

static void publish(uint64_t head, void *data)
{
	struct spread_peers *peers = data;

	gossip_set_config_head(peers->daemon->gossip, head);
}

static void handle_query(struct peer *peer, const Cfd__Frame *asked, void *data)
{
	struct spread_peers *peers = data;
	Cfd__ConfigBody *answer =
		config_spread_answer(peers->spread, asked->config_query);
	Cfd__Frame frame = CFD__FRAME__INIT;

	frame.kind_case = CFD__FRAME__KIND_CONFIG_BODY;
	frame.config_body = answer;
	counters.config_bytes_in +=
		cfd__config_query__get_packed_size(asked->config_query);
	counters.config_bytes_out += cfd__config_body__get_packed_size(answer);
	peer_send(peer, &frame);
	config_spread_free_answer(answer);
}

static void handle_answer(struct peer *peer, const Cfd__Frame *frame, void *data)
{
	struct spread_peers *peers = data;

	counters.config_bytes_in +=
		cfd__config_body__get_packed_size(frame->config_body);
	config_spread_take_answer(peers->spread, peer_host(peer),
				  frame->config_body);
}

struct spread_peers *spread_peers_create(struct daemon *daemon,
					 const struct config_platform_ops *ops,
					 void *platform)
{
	struct spread_peers *peers = g_new0(struct spread_peers, 1);
	struct config_spread_options options = {
		.store = daemon->config,
		.members = daemon->members,
		.host = daemon->settings->host,
		.domain = daemon->settings->domain,
		.platform_ops = ops,
		.platform = platform,
		.ops = &peers->ops,
		.slice_queue = daemon->slice_queue,
		.seed = id_random_u64(),
	};

	peers->daemon = daemon;
	peers->ops = (struct config_spread_ops){ask, publish, peers};
	peers->spread = config_spread_create(&options, clock_mono_us());
	peers_set_frame_handler(daemon->peers, CFD__FRAME__KIND_CONFIG_QUERY,
				handle_query, peers);
	peers_set_frame_handler(daemon->peers, CFD__FRAME__KIND_CONFIG_BODY,
				handle_answer, peers);
	ev_timer_init(&peers->tick, handle_tick, 0.0,
		      (double)CONFIG_SPREAD_TICK_US / US_PER_S);
	peers->tick.data = peers;
	ev_timer_start(daemon->loop, &peers->tick);
	return peers;
}

void spread_peers_destroy(struct spread_peers *peers)
{
	if (!peers)
		return;
	ev_timer_stop(peers->daemon->loop, &peers->tick);
	config_spread_destroy(peers->spread);
	g_free(peers);
}

bool spread_peers_is_reader(const struct spread_peers *peers)
{
	return config_spread_is_reader(peers->spread);
}
