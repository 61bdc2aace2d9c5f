/*
 * NAME
 *	daemon - the components of one comfreydockd process
 *
 * DESCRIPTION
 *	Created once at the start and passed to all components. The daemon owns
 *	each component; its pointer is NULL until the component is created.
 */
#ifndef COMFREYDOCKD_DAEMON_H
#define COMFREYDOCKD_DAEMON_H

#include <ev.h>
#include <stdint.h>

#include "common/timeline.h"

struct config_store;
struct entry;
struct evacuation;
struct evacuation_rows;
struct gossip;
struct headers;
struct http_client;
struct member_table;
struct operator_api;
struct organisation_counts;
struct owner;
struct peers;
struct platform;
struct quarantine;
struct quota;
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
	struct evacuation *evacuation;
	struct evacuation_rows *evacuation_rows;
	struct gossip *gossip;
	struct config_store *config;
	struct peers *peers;
	struct owner *owner;
	struct quota *quota;
	struct entry *entry;
	struct operator_api *operator_api;
	struct organisation_counts *organisation_counts;
	/* The ports that were bound. */
	uint16_t peer_port;
	uint16_t caller_port;
	uint16_t admin_port;
};

/* Begins a graceful stop: the daemon refuses new requests as not run, waits for
 * the requests in flight and then leaves the event loop. */
void daemon_stop(struct daemon *daemon);

#endif
