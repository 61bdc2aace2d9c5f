#include "faults.h"

#include <signal.h>

#define HOUR_S 3600

static struct changes *changes;

void faults_init(struct changes *to_write)
{
	changes = to_write;
}

static struct fleet_host *host_of(struct fleet *fleet, unsigned int i)
{
	return &fleet->hosts[i];
}

/* The daemon. */

static void kill_daemon(struct fleet *fleet, unsigned int i)
{
	rig_kill(host_of(fleet, i)->daemon);
}

static void start_daemon(struct fleet *fleet, unsigned int i)
{
	fleet_start_daemon(fleet, i);
}

static void start_daemon_in_the_past(struct fleet *fleet, unsigned int i)
{
	host_of(fleet, i)->wall_clock_s -= HOUR_S;
	fleet_start_daemon(fleet, i);
}

static void start_daemon_in_the_future(struct fleet *fleet, unsigned int i)
{
	host_of(fleet, i)->wall_clock_s += HOUR_S;
	fleet_start_daemon(fleet, i);
}

static void pause_daemon(struct fleet *fleet, unsigned int i)
{
	rig_signal(host_of(fleet, i)->daemon, SIGSTOP);
}

static void continue_daemon(struct fleet *fleet, unsigned int i)
{
	rig_signal(host_of(fleet, i)->daemon, SIGCONT);
}

static void stop_daemon(struct fleet *fleet, unsigned int i)
{
	rig_signal(host_of(fleet, i)->daemon, SIGTERM);
}

static bool daemon_has_ended(struct fleet *fleet, unsigned int i)
{
	return rig_has_ended(host_of(fleet, i)->daemon);
}

static void reload_daemon(struct fleet *fleet, unsigned int i)
{
	rig_signal(host_of(fleet, i)->daemon, SIGHUP);
}

/* The upstream. */

static void kill_upstream(struct fleet *fleet, unsigned int i)
{
	rig_kill(host_of(fleet, i)->upstream);
}

static void start_upstream(struct fleet *fleet, unsigned int i)
{
	fleet_start_upstream(fleet, i);
}

static void start_upstream_again(struct fleet *fleet, unsigned int i)
{
	fleet_start_upstream_again(fleet, i);
}

static void pause_upstream(struct fleet *fleet, unsigned int i)
{
	rig_signal(host_of(fleet, i)->upstream, SIGSTOP);
}

static void continue_upstream(struct fleet *fleet, unsigned int i)
{
	rig_signal(host_of(fleet, i)->upstream, SIGCONT);
}

#define UPSTREAM_COMMAND(name, body)                          \
	static void name(struct fleet *fleet, unsigned int i) \
	{                                                     \
		fleet_set_upstream(fleet, i, body);           \
	}

UPSTREAM_COMMAND(slow_upstream, "{\"pace_percent\": 700}")
UPSTREAM_COMMAND(restore_pace, "{\"pace_percent\": 100}")
UPSTREAM_COMMAND(stall_upstream, "{\"factor\": 30}")
UPSTREAM_COMMAND(end_upstream_stall, "{\"factor\": 1}")
UPSTREAM_COMMAND(start_dropping_answers,
		 "{\"drop_next\": 6, \"drop_runs\": true}")
UPSTREAM_COMMAND(stop_dropping_answers, "{\"drop_next\": 0}")
UPSTREAM_COMMAND(start_mismatched_answers, "{\"strange_next\": 6}")
UPSTREAM_COMMAND(stop_mismatched_answers, "{\"strange_next\": 0}")
UPSTREAM_COMMAND(start_false_not_run, "{\"promise_next\": 6}")
UPSTREAM_COMMAND(stop_false_not_run, "{\"promise_next\": 0}")
UPSTREAM_COMMAND(drain_upstream, "{\"draining\": true}")
UPSTREAM_COMMAND(resume_upstream, "{\"draining\": false}")

/* The upstream has drained by now. It deregisters and exits, and a new instance
 * takes its place. */
static void replace_upstream(struct fleet *fleet, unsigned int i)
{
	struct rig_process *old = host_of(fleet, i)->upstream;

	fleet_set_upstream(fleet, i, "{\"leave\": true}");
	rig_signal(old, SIGTERM);
	rig_wait_end(old, RIG_START_MS);
	fleet_start_upstream(fleet, i);
}

/* Links. */

#define LINK_COMMAND(name, link, body)                        \
	static void name(struct fleet *fleet, unsigned int i) \
	{                                                     \
		fleet_set_relay(fleet, i, link, body);        \
	}

#define LINK_RESTORED                                \
	"{\"cut\": false, \"hold_forward\": false, " \
	"\"hold_backward\": false, \"delay_ms\": 0, \"lose_share\": 0}"
#define LINK_BLACKHOLED "{\"hold_forward\": true, \"hold_backward\": true}"

LINK_COMMAND(restore_peers, FLEET_LINK_PEERS, LINK_RESTORED)
LINK_COMMAND(cut_peers, FLEET_LINK_PEERS, "{\"cut\": true}")
LINK_COMMAND(hold_to_peer, FLEET_LINK_PEERS, "{\"hold_forward\": true}")
LINK_COMMAND(hold_from_peer, FLEET_LINK_PEERS, "{\"hold_backward\": true}")
LINK_COMMAND(blackhole_peers, FLEET_LINK_PEERS, LINK_BLACKHOLED)
LINK_COMMAND(delay_peers, FLEET_LINK_PEERS, "{\"delay_ms\": 150}")
LINK_COMMAND(lose_gossip, FLEET_LINK_PEERS, "{\"lose_share\": 0.5}")
LINK_COMMAND(silence_peers, FLEET_LINK_PEERS, "{\"silence\": true}")
/* The relay's kernel acknowledges what is sent into a silent connection, so that
 * the keepalive of the daemons doesn't notice. */
LINK_COMMAND(reset_silent_peers, FLEET_LINK_PEERS, "{\"silence\": false}")
LINK_COMMAND(silence_store, FLEET_LINK_STORE, "{\"silence\": true}")
LINK_COMMAND(restore_store_link, FLEET_LINK_STORE, LINK_RESTORED)
LINK_COMMAND(cut_store, FLEET_LINK_STORE, "{\"cut\": true}")
LINK_COMMAND(blackhole_store, FLEET_LINK_STORE, LINK_BLACKHOLED)
LINK_COMMAND(delay_store, FLEET_LINK_STORE, "{\"delay_ms\": 700}")
LINK_COMMAND(restore_upstream_link, FLEET_LINK_UPSTREAM, LINK_RESTORED)
LINK_COMMAND(cut_upstream, FLEET_LINK_UPSTREAM, "{\"cut\": true}")
LINK_COMMAND(hold_to_upstream, FLEET_LINK_UPSTREAM, "{\"hold_forward\": true}")
LINK_COMMAND(hold_from_upstream, FLEET_LINK_UPSTREAM, "{\"hold_backward\": true}")
LINK_COMMAND(delay_upstream, FLEET_LINK_UPSTREAM, "{\"delay_ms\": 80}")

/* The store. */

#define STORE_COMMAND(name, body)                             \
	static void name(struct fleet *fleet, unsigned int i) \
	{                                                     \
		(void)i;                                      \
		fleet_set_store(fleet, body);                 \
	}

STORE_COMMAND(store_down, "{\"down\": true}")
STORE_COMMAND(store_up, "{\"down\": false}")
STORE_COMMAND(store_silent, "{\"silent\": true}")
STORE_COMMAND(store_answers, "{\"silent\": false}")
STORE_COMMAND(store_refuses, "{\"status\": 503}")
STORE_COMMAND(store_accepts, "{\"status\": 0}")
STORE_COMMAND(store_slow, "{\"slow_ms\": 900}")
STORE_COMMAND(store_fast, "{\"slow_ms\": 0}")
STORE_COMMAND(store_loses, "{\"lose_answer_share\": 0.5, \"late_ms\": 1500}")
STORE_COMMAND(store_delivers, "{\"lose_answer_share\": 0, \"late_ms\": 0}")

static void compact_history(struct fleet *fleet, unsigned int i)
{
	(void)i;
	g_free(rig_http_ok("POST", fleet->store->port, "/standin/compact", ""));
}

static void forget_watches(struct fleet *fleet, unsigned int i)
{
	(void)i;
	g_free(rig_http_ok("POST", fleet->store->port, "/standin/forget", ""));
}

/* Restores the store from a copy that lacks the last three transactions. The
 * operator then writes the current configuration again. */
static void restore_store(struct fleet *fleet, unsigned int i)
{
	(void)i;
	g_free(rig_http_ok("POST", fleet->store->port, "/standin/restore",
			   "{\"transactions\": 3}"));
	changes_put(changes, fleet, fleet->config_version);
}

static void change_config(struct fleet *fleet, unsigned int i)
{
	(void)i;
	changes_put(changes, fleet, ++fleet->config_version);
}

/* The watches that are opened right after a change never get their answer. */
static void change_config_before_silence(struct fleet *fleet, unsigned int i)
{
	change_config(fleet, i);
	store_silent(fleet, i);
}

/* An operator's mistake: an older version is written after a newer one. */
static void revert_config(struct fleet *fleet, unsigned int i)
{
	(void)i;
	if (fleet->config_version > 1)
		changes_put(changes, fleet, fleet->config_version - 1);
}

#define NO_DURATION 0, 0
#define STOP_MAX_MS 30000

const struct fault faults[] = {
	{"daemon killed", PART_DAEMON, IMPACT_CALLERS, 100, 3000, kill_daemon,
	 start_daemon, NULL},
	{"daemon killed, clock set back", PART_DAEMON, IMPACT_CALLERS, 100,
	 3000, kill_daemon, start_daemon_in_the_past, NULL},
	{"daemon killed, clock set forward", PART_DAEMON, IMPACT_CALLERS, 100,
	 3000, kill_daemon, start_daemon_in_the_future, NULL},
	{"daemon paused", PART_DAEMON, IMPACT_CALLERS, 100, 3500, pause_daemon,
	 continue_daemon, NULL},
	{"daemon restarted", PART_DAEMON, IMPACT_NONE, 0, STOP_MAX_MS,
	 stop_daemon, start_daemon, daemon_has_ended},
	{"settings reloaded", PART_DAEMON, IMPACT_NONE, NO_DURATION,
	 reload_daemon, NULL, NULL},
	{"upstream killed", PART_UPSTREAM, IMPACT_ATTEMPTS, 100, 3000,
	 kill_upstream, start_upstream, NULL},
	{"upstream killed, same id", PART_UPSTREAM, IMPACT_ATTEMPTS, 100, 3000,
	 kill_upstream, start_upstream_again, NULL},
	{"upstream paused", PART_UPSTREAM, IMPACT_ATTEMPTS, 100, 6000,
	 pause_upstream, continue_upstream, NULL},
	{"upstream slow", PART_UPSTREAM, IMPACT_ATTEMPTS, 500, 2000,
	 slow_upstream, restore_pace, NULL},
	{"upstream stalled", PART_UPSTREAM, IMPACT_ATTEMPTS, 500, 2000,
	 stall_upstream, end_upstream_stall, NULL},
	{"answers dropped", PART_UPSTREAM, IMPACT_ATTEMPTS, 500, 2000,
	 start_dropping_answers, stop_dropping_answers, NULL},
	{"answers mismatched", PART_UPSTREAM, IMPACT_ATTEMPTS, 500, 2000,
	 start_mismatched_answers, stop_mismatched_answers, NULL},
	{"false not-run answers", PART_UPSTREAM, IMPACT_ATTEMPTS, 500, 2000,
	 start_false_not_run, stop_false_not_run, NULL},
	{"upstream drained", PART_UPSTREAM, IMPACT_NONE, 1500, 4000,
	 drain_upstream, resume_upstream, NULL},
	{"upstream replaced", PART_UPSTREAM, IMPACT_NONE, 3000, 4000,
	 drain_upstream, replace_upstream, NULL},
	{"peers cut", PART_PEERS, IMPACT_ATTEMPTS, 100, 6000, cut_peers,
	 restore_peers, NULL},
	{"peers one way, to", PART_PEERS, IMPACT_ATTEMPTS, 100, 6000,
	 hold_to_peer, restore_peers, NULL},
	{"peers one way, from", PART_PEERS, IMPACT_ATTEMPTS, 100, 6000,
	 hold_from_peer, restore_peers, NULL},
	{"peers silent", PART_PEERS, IMPACT_ATTEMPTS, 100, 6000,
	 blackhole_peers, restore_peers, NULL},
	{"peer connections silent", PART_PEERS, IMPACT_ATTEMPTS, 500, 8000,
	 silence_peers, reset_silent_peers, NULL},
	{"peers delayed", PART_PEERS, IMPACT_ATTEMPTS, 500, 3000, delay_peers,
	 restore_peers, NULL},
	{"gossip lost", PART_PEERS, IMPACT_ATTEMPTS, 500, 3000, lose_gossip,
	 restore_peers, NULL},
	{"store link cut", PART_STORE_LINK, IMPACT_NONE, 500, 5000, cut_store,
	 restore_store_link, NULL},
	{"store link silent", PART_STORE_LINK, IMPACT_NONE, 500, 5000,
	 blackhole_store, restore_store_link, NULL},
	{"store connections silent", PART_STORE_LINK, IMPACT_NONE, NO_DURATION,
	 silence_store, NULL, NULL},
	{"store link delayed", PART_STORE_LINK, IMPACT_NONE, 500, 5000,
	 delay_store, restore_store_link, NULL},
	{"upstream link cut", PART_UPSTREAM_LINK, IMPACT_ATTEMPTS, 100, 2000,
	 cut_upstream, restore_upstream_link, NULL},
	{"upstream link one way, to", PART_UPSTREAM_LINK, IMPACT_ATTEMPTS, 100,
	 6000, hold_to_upstream, restore_upstream_link, NULL},
	{"upstream link one way, from", PART_UPSTREAM_LINK, IMPACT_ATTEMPTS,
	 100, 6000, hold_from_upstream, restore_upstream_link, NULL},
	{"upstream link delayed", PART_UPSTREAM_LINK, IMPACT_ATTEMPTS, 100,
	 2000, delay_upstream, restore_upstream_link, NULL},
	{"store down", PART_STORE, IMPACT_NONE, 500, 6000, store_down, store_up,
	 NULL},
	{"store silent", PART_STORE, IMPACT_NONE, 500, 6000, store_silent,
	 store_answers, NULL},
	{"store silent after a change", PART_STORE, IMPACT_NONE, 100, 1000,
	 change_config_before_silence, store_answers, NULL},
	{"store forgets watches", PART_STORE, IMPACT_NONE, NO_DURATION,
	 forget_watches, NULL, NULL},
	{"store refuses", PART_STORE, IMPACT_NONE, 500, 6000, store_refuses,
	 store_accepts, NULL},
	{"store slow", PART_STORE, IMPACT_NONE, 500, 6000, store_slow,
	 store_fast, NULL},
	{"store loses answers", PART_STORE, IMPACT_NONE, 500, 6000, store_loses,
	 store_delivers, NULL},
	{"store history compacted", PART_STORE, IMPACT_NONE, NO_DURATION,
	 compact_history, NULL, NULL},
	{"store restored", PART_STORE, IMPACT_NONE, NO_DURATION, restore_store,
	 NULL, NULL},
	{"configuration changed", PART_CONFIG, IMPACT_NONE, NO_DURATION,
	 change_config, NULL, NULL},
	{"configuration reverted", PART_CONFIG, IMPACT_NONE, NO_DURATION,
	 revert_config, NULL, NULL},
};
const unsigned int fault_count = G_N_ELEMENTS(faults);

bool fault_part_is_per_host(enum fault_part part)
{
	return part != PART_STORE && part != PART_CONFIG;
}
