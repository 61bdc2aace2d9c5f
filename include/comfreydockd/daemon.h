/*
 * NAME
 *	daemon - the parts of one comfreydockd
 *
 * DESCRIPTION
 *	Created once by main() and handed to the packages. Each part is owned
 *	by the daemon and NULL until it was created.
 */
#ifndef COMFREYDOCKD_DAEMON_H
#define COMFREYDOCKD_DAEMON_H

#include <ev.h>
#include <stdint.h>

#include "common/timeline.h"

struct config_store;
struct entry;
struct gossip;
struct headers;
struct http_client;
struct member_table;
struct operator_api;
struct owner;
struct peers;
struct platform;
struct quarantine;
struct settings;
struct slice_queue;

struct daemon {
	struct ev_loop *loop;
	const struct settings *settings;
	const struct headers *headers;
	uint64_t incarnation;
	struct timeline timeline;
	struct slice_queue *slice_queue;
	struct http_client *http;
	struct platform *platform;
	struct member_table *members;
	struct quarantine *quarantine;
	struct gossip *gossip;
	struct config_store *config;
	struct peers *peers;
	struct owner *owner;
	struct entry *entry;
	struct operator_api *operator_api;
	uint16_t peer_port; /* as bound */
	uint16_t caller_port;
	uint16_t admin_port;
};

/* Begins a graceful stop: refuses new work as not run, waits for what is in
 * flight, then leaves the loop. */
void daemon_stop(struct daemon *daemon);

#endif
