/*
 * NAME
 *	fleet - daemons and upstreams as the users' platform runs them
 *
 * DESCRIPTION
 *	The operator's row is in the store, upstreams send heartbeats to the
 *	daemon beside them, readiness is asked from outside. Host number i is
 *	called d0, d1, ..., its upstream's starts i-0-1, i-0-2, ...
 *
 *	Where the fleet is relayed, a relay stands before the peer port of each
 *	daemon, before its upstream, and between it and the store.
 */
#ifndef TESTS_SYSTEM_FLEET_H
#define TESTS_SYSTEM_FLEET_H

#include "rig.h"

#define FLEET_SERVICE "desk"
#define FLEET_VIRTUAL_HOST "a.example"
#define FLEET_GRACE_S 6
#define FLEET_DEADLINE_MS 2000
/* Of /patient/. */
#define FLEET_LONG_DEADLINE_MS 20000

enum fleet_link {
	FLEET_LINK_PEERS, /* from the other daemons */
	FLEET_LINK_STORE, /* to the store */
	FLEET_LINK_UPSTREAM, /* to the upstream */
	FLEET_LINKS,
};

struct fleet_host {
	uint16_t caller;
	uint16_t peer;
	uint16_t admin;
	uint16_t ready;
	uint16_t reports;
	uint16_t upstream_port; /* relayed: the same for each start */
	struct rig_process *daemon;
	struct rig_process *upstream;
	struct rig_process *relays[FLEET_LINKS]; /* NULL: none */
	const char *runs_file;
	unsigned int starts; /* of the upstream */
	int wall_clock_s; /* added to the daemon's wall clock */
};

struct fleet_options {
	unsigned int count;
	unsigned int domains;
	const char *slots;
	const char *service_time_us;
	bool relayed;
};

struct fleet {
	struct rig *rig;
	struct rig_process *store;
	struct fleet_host *hosts;
	struct fleet_options options;
	unsigned int config_version; /* kept by whoever changes it */
	unsigned int gets; /* sent by fleet_get() */
};

/* Starts all; the store has no configuration yet. */
void fleet_start(struct fleet *fleet, const struct fleet_options *options);
void fleet_stop(struct fleet *fleet);

/* Starts the daemon, or the upstream under a new id, of host i (again). */
void fleet_start_daemon(struct fleet *fleet, unsigned int i);
void fleet_start_upstream(struct fleet *fleet, unsigned int i);

/* The same under the id of the last start. */
void fleet_start_upstream_again(struct fleet *fleet, unsigned int i);

/* Writes the operator's row: GET below /prefix/, /patient/, /bytes/ and, with
 * one attempt only, /once/; POST below /book/. */
void fleet_put_config(const struct fleet *fleet, unsigned int version,
		      const char *prefix);

/* The same with so many routes more, of some 200 bytes each. */
void fleet_put_large_config(const struct fleet *fleet, unsigned int version,
			    const char *prefix, unsigned int more);

/* Commands to the stand-ins; the body as in their own pages. */
void fleet_set_store(const struct fleet *fleet, const char *body);
void fleet_set_upstream(const struct fleet *fleet, unsigned int i,
			const char *body);
void fleet_set_relay(const struct fleet *fleet, unsigned int i,
		     enum fleet_link link, const char *body);

/* RETURN VALUE: how often the upstreams ran the request; how many requests the
 * upstream of host i has run. */
unsigned int fleet_count_runs_of_id(const struct fleet *fleet, const char *id);
unsigned int fleet_count_runs_on_host(const struct fleet *fleet, unsigned int i);

/* Sends a GET to the daemon of host i, under an id of its own.
 * RETURN VALUE: the status, 0 where no answer came. */
long fleet_get(struct fleet *fleet, unsigned int i, const char *path);

/* RETURN VALUE: the status of the readiness that the platform asks for. */
long fleet_readiness(const struct fleet *fleet, unsigned int i);

/* RETURN VALUE: whether the daemon holds its upstream for up. */
bool fleet_has_upstream(const struct fleet *fleet, unsigned int i);

/* RETURN VALUE: of the daemon's metrics, 0 where it has none of that name. */
uint64_t fleet_metric(const struct fleet *fleet, unsigned int i,
		      const char *name);

#endif
