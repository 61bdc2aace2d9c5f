#include "comfreydockd/assembly.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "comfreydockd/caller/entry.h"
#include "comfreydockd/caller/listener.h"
#include "comfreydockd/config/platform_ops.h"
#include "comfreydockd/config/spread_peers.h"
#include "comfreydockd/config/store.h"
#include "comfreydockd/daemon.h"
#include "comfreydockd/member/evacuation.h"
#include "comfreydockd/member/gossip.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/member/rows.h"
#include "comfreydockd/operator/operator.h"
#include "comfreydockd/peer/peers.h"
#include "comfreydockd/platform/evacuation_rows.h"
#include "comfreydockd/platform/platform.h"
#include "comfreydockd/platform/rows_store.h"
#include "comfreydockd/platform_integration.h"
#include "comfreydockd/quarantine_log.h"
#include "comfreydockd/quota/quota.h"
#include "comfreydockd/reload.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/stop.h"
#include "comfreydockd/upstream/owner.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/http_client.h"
#include "common/id.h"
#include "common/log.h"
#include "common/organisation_counts.h"
#include "common/slice.h"
#include "platform/headers.h"
#include "platform/manifest.h"

#define TIMELINE_ENTRIES 8192
struct assembly {
	struct daemon daemon;
	struct listener *listener;
	struct rows_store *rows_store;
	struct rows *rows;
	ev_signal terminate;
	ev_signal interrupt;
	ev_prepare log_flush_prepare; /* flushes the log once per loop iteration */
	struct stop *stop;
	struct platform_integration *platform_integration;
	struct reload *reload;
	struct evacuation evacuation;
	struct gossip_handlers gossip_handlers;
	struct config_platform *config_platform; /* NULL: no platform */
	struct spread_peers *spread;
};

static struct assembly *assembly_of(struct daemon *daemon)
{
	return (struct assembly *)((char *)daemon -
				   offsetof(struct assembly, daemon));
}

/* Announces the owner's state to the other daemons. */
static void handle_owner_state(struct owner *owner, void *data)
{
	struct assembly *assembly = data;
	struct daemon *daemon = &assembly->daemon;
	const struct owner_announcement *announced = owner_announced(owner);
	enum member_service_state state = MEMBER_SERVICE_NONE;
	struct owner_status status;

	owner_get_status(owner, &status);
	if (status.state == OWNER_UP)
		state = MEMBER_SERVICE_UP;
	else if (status.state == OWNER_DRAINING)
		state = MEMBER_SERVICE_DRAINING;
	gossip_announce_self(daemon->gossip, state,
			     announced ? announced->groups : NULL,
			     announced ? announced->slots : 0,
			     announced ? announced->warm_ms : 0);
}

/* Joins a host that has a row and isn't known from gossip. */
static void handle_unknown_host_row(const char *address, uint16_t port, void *data)
{
	struct daemon *daemon = data;
	bool is_v6 = strchr(address, ':') != NULL;
	char *peer = g_strdup_printf(is_v6 ? "[%s]:%u" : "%s:%u", address, port);

	gossip_join(daemon->gossip, peer);
	g_free(peer);
}

/*
 * Drops the connections to a dead host. It sends neither answers nor a FIN, so
 * a call to it would otherwise wait for a TCP timeout, and the caller's whole
 * deadline would pass.
 */
static void handle_member_changed(struct member *member, void *data)
{
	struct daemon *daemon = data;

	if (member->state == MEMBER_DEAD)
		peers_note_dead(daemon->peers, member->host);
}

static void handle_config_head(const char *host, uint64_t head,
			       int64_t told_age_us, void *data)
{
	struct daemon *daemon = data;

	if (head != config_store_head(daemon->config))
		config_store_note_head(daemon->config, head, host);
	if (told_age_us >= 0)
		config_store_note_confirmed(daemon->config, head, told_age_us);
}

/* Gossip may still send the previous head for a moment after this daemon has
 * adopted a new one. The confirmation of the new head says nothing about it. */
static int64_t config_told_age_us(uint64_t head, void *data)
{
	const struct daemon *daemon = data;

	if (head != config_store_head(daemon->config))
		return -1;
	return config_store_confirmed_age_us(daemon->config);
}

static void handle_config_changed(struct config_snapshot *snapshot, void *data)
{
	struct daemon *daemon = data;

	(void)snapshot;
	owner_note_config(daemon->owner);
}

void daemon_stop(struct daemon *daemon)
{
	struct assembly *assembly = assembly_of(daemon);

	stop_begin(assembly->stop);
}

static void handle_signal(struct ev_loop *loop, ev_signal *signal, int events)
{
	struct assembly *assembly = signal->data;

	(void)loop;
	(void)events;
	daemon_stop(&assembly->daemon);
}

static bool report_bind_error(const char *what,
			      const struct settings_address *where)
{
	fprintf(stderr, "comfreydockd: can't bind the %s port %s:%u: %s\n",
		what, where->address, where->port, g_strerror(errno));
	return false;
}

static bool load_config_file(struct daemon *daemon)
{
	struct findings findings;
	bool good = true;

	if (!daemon->settings->config_file)
		return true;
	findings_init(&findings);
	good = config_store_load_file(daemon->config,
				      daemon->settings->config_file, &findings);
	findings_print(&findings, stderr);
	findings_finish(&findings);
	return good;
}

static void handle_quarantine(const struct quarantine_record *record,
			      enum quarantine_change change, void *data)
{
	struct assembly *assembly = data;

	quarantine_log_change(record, change);
	if (assembly->rows)
		rows_note_quarantine(assembly->rows, record, change);
}

/* Applies a change of the evacuated domains, from the platform or from a peer. */
static void handle_evacuation(const struct evacuation *evacuation, void *data)
{
	const struct daemon *daemon = data;
	bool is_own = evacuation_has(evacuation,
				     evacuation_key(daemon->settings->domain));

	log_event(EV_EVACUATION_CHANGED, LOG_INT("domains", evacuation->count),
		  LOG_INT("as_of", evacuation->as_of), LOG_INT("own", is_own));
	counters.evacuation_changes++;
	member_table_set_evacuation(daemon->members, evacuation);
	if (daemon->owner)
		owner_set_evacuated(daemon->owner, is_own);
	if (daemon->gossip)
		gossip_note_evacuation(daemon->gossip);
}

static bool create_components(struct assembly *assembly)
{
	struct daemon *daemon = &assembly->daemon;
	const struct settings *settings = daemon->settings;

	daemon->slice_queue = slice_queue_create(daemon->loop);
	daemon->http = http_client_create(daemon->loop);
	daemon->members = member_table_create();
	daemon->organisation_counts = organisation_counts_create();
	assembly->evacuation.handle_changed = handle_evacuation;
	assembly->evacuation.data = daemon;
	daemon->evacuation = &assembly->evacuation;
	member_table_set_evacuation(daemon->members, daemon->evacuation);
	daemon->quarantine =
		quarantine_create(settings->quarantine_trial_ms * US_PER_MS,
				  handle_quarantine, assembly);
	daemon->config = config_store_create();
	if (!load_config_file(daemon))
		return false;
	daemon->platform = platform_create(daemon->http, settings->platform_url);
	daemon->peers = peers_create(daemon);
	if (!daemon->peers)
		return report_bind_error("peer", &settings->peer);
	daemon->peer_port = peers_port(daemon->peers);
	daemon->operator_api = operator_api_create(daemon);
	if (!daemon->operator_api)
		return report_bind_error("admin", &settings->admin);
	assembly->gossip_handlers.handle_config_head = handle_config_head;
	assembly->gossip_handlers.config_told_age_us = config_told_age_us;
	assembly->gossip_handlers.data = daemon;
	daemon->gossip = gossip_create(daemon, daemon->peer_port,
				       &assembly->gossip_handlers);
	if (!daemon->gossip)
		return report_bind_error("gossip", &settings->peer);
	daemon->owner = owner_create(daemon);
	daemon->quota = quota_create(daemon);
	operator_api_set_pools(daemon->operator_api, quota_read_pool,
			       daemon->quota);
	daemon->entry = entry_create(daemon);
	assembly->listener = listener_create(daemon);
	if (!assembly->listener)
		return report_bind_error("caller", &settings->caller);
	daemon->caller_port = listener_port(assembly->listener);
	return true;
}

static void connect_components(struct assembly *assembly)
{
	struct daemon *daemon = &assembly->daemon;
	struct member_observer observer = {
		.handle_changed = handle_member_changed,
		.data = daemon,
	};
	struct config_store_observer config_observer = {
		.handle_changed = handle_config_changed,
		.data = daemon,
	};

	config_store_observe(daemon->config, &config_observer);
	owner_when_changed(daemon->owner, handle_owner_state, assembly);
	member_table_observe(daemon->members, &observer);
}

static void handle_restored(void *data)
{
	struct assembly *assembly = data;

	rows_note_store_restored(assembly->rows);
}

static void create_rows(struct assembly *assembly)
{
	struct daemon *daemon = &assembly->daemon;
	struct rows_store *store = rows_store_create(daemon->platform);
	struct rows_options options = {
		.loop = daemon->loop,
		.ops = &rows_store_ops,
		.store = store,
		.table = daemon->members,
		.self = gossip_self(daemon->gossip),
		.quarantine = daemon->quarantine,
		.seed = id_random_u64(),
		.handle_peer = handle_unknown_host_row,
		.data = daemon,
	};

	assembly->rows_store = store;
	assembly->rows = rows_create(&options);
	platform_set_restore_handler(daemon->platform, handle_restored, assembly);
}

static void create_evacuation_rows(struct daemon *daemon)
{
	bool follows = daemon->settings->follows_platform;
	struct evacuation_rows_options options = {
		.loop = daemon->loop,
		.platform = daemon->platform,
		.evacuation = daemon->evacuation,
		.members = daemon->members,
		.prefix = follows ? PLATFORM_EVACUATION_PREFIX :
				    EVACUATION_ROWS_PREFIX,
		.is_polled = !follows,
		.seed = id_random_u64(),
	};

	daemon->evacuation_rows = evacuation_rows_create(&options);
}

static void connect_config_sources(struct assembly *assembly)
{
	struct daemon *daemon = &assembly->daemon;
	const struct config_platform_ops *ops = NULL;

	if (daemon->platform)
		config_store_expect_confirmation(daemon->config);
	if (daemon->platform && !daemon->settings->follows_platform) {
		ops = &config_platform_ops;
		assembly->config_platform =
			config_platform_create(daemon->loop, daemon->platform);
		operator_api_set_platform(daemon->operator_api, ops,
					  assembly->config_platform);
	}
	assembly->spread =
		spread_peers_create(daemon, ops, assembly->config_platform);
}

static bool start_platform_integration(struct assembly *assembly)
{
	struct daemon *daemon = &assembly->daemon;

	assembly->stop = stop_create(daemon, assembly->listener, assembly->rows);
	assembly->platform_integration =
		platform_integration_create(daemon, assembly->stop);
	if (!assembly->platform_integration)
		return report_bind_error("platform's", &daemon->settings->ready);
	return true;
}

static void handle_log_flush(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	(void)loop;
	(void)prepare;
	(void)events;
	log_flush();
}

static void watch_signals(struct assembly *assembly)
{
	ev_prepare_init(&assembly->log_flush_prepare, handle_log_flush);
	ev_prepare_start(assembly->daemon.loop, &assembly->log_flush_prepare);
	log_enable_buffering();
	ev_signal_init(&assembly->terminate, handle_signal, SIGTERM);
	ev_signal_init(&assembly->interrupt, handle_signal, SIGINT);
	assembly->terminate.data = assembly;
	assembly->interrupt.data = assembly;
	ev_signal_start(assembly->daemon.loop, &assembly->terminate);
	ev_signal_start(assembly->daemon.loop, &assembly->interrupt);
}

struct assembly *assembly_create(struct settings *settings, const char *file)
{
	struct assembly *assembly = g_new0(struct assembly, 1);
	struct daemon *daemon = &assembly->daemon;

	daemon->settings = settings;
	daemon->loop = ev_default_loop(0);
	daemon->headers =
		settings->follows_platform ? &platform_headers : &headers_own;
	/* The wall clock makes the incarnation grow with each start. If the
	 * clock was set back, gossip raises the incarnation by refutation. */
	daemon->incarnation = (uint64_t)clock_wall_us();
	timeline_init(&daemon->timeline, TIMELINE_ENTRIES);
	watch_signals(assembly);
	assembly->reload = reload_create(daemon->loop, file, settings);
	if (!create_components(assembly)) {
		assembly_destroy(assembly);
		return NULL;
	}
	create_rows(assembly);
	create_evacuation_rows(daemon);
	connect_components(assembly);
	connect_config_sources(assembly);
	if (!start_platform_integration(assembly)) {
		assembly_destroy(assembly);
		return NULL;
	}
	log_event(EV_DAEMON_STARTED, LOG_STR("version", COMFREYDOCK_VERSION),
		  LOG_INT("caller_port", daemon->caller_port),
		  LOG_INT("peer_port", daemon->peer_port),
		  LOG_INT("admin_port", daemon->admin_port));
	return assembly;
}

void assembly_run(struct assembly *assembly)
{
	ev_run(assembly->daemon.loop, 0);
	/* What the job uses still exists. */
	slice_queue_finish_job(assembly->daemon.slice_queue);
}

void assembly_destroy(struct assembly *assembly)
{
	struct daemon *daemon = &assembly->daemon;

	if (daemon->members)
		member_table_unobserve(daemon->members, daemon);
	entry_destroy(daemon->entry);
	listener_destroy(assembly->listener);
	quota_destroy(daemon->quota);
	peers_destroy(daemon->peers);
	owner_destroy(daemon->owner);
	operator_api_destroy(daemon->operator_api);
	if (assembly->rows)
		rows_destroy(assembly->rows);
	gossip_destroy(daemon->gossip);
	platform_destroy(daemon->platform);
	slice_queue_destroy(daemon->slice_queue);
	platform_integration_destroy(assembly->platform_integration);
	reload_destroy(assembly->reload);
	stop_destroy(assembly->stop);
	rows_store_destroy(assembly->rows_store);
	evacuation_rows_destroy(daemon->evacuation_rows);
	spread_peers_destroy(assembly->spread);
	config_platform_destroy(assembly->config_platform);
	member_table_destroy(daemon->members);
	organisation_counts_destroy(daemon->organisation_counts);
	quarantine_destroy(daemon->quarantine);
	config_store_destroy(daemon->config);
	http_client_destroy(daemon->http);
	ev_signal_stop(daemon->loop, &assembly->terminate);
	ev_prepare_stop(daemon->loop, &assembly->log_flush_prepare);
	log_flush();
	ev_signal_stop(daemon->loop, &assembly->interrupt);
	timeline_finish(&daemon->timeline);
	ev_loop_destroy(daemon->loop);
	g_free(assembly);
}
