/*
 * NAME
 *	cluster - a platform and daemons with their upstreams, for a test
 *
 * DESCRIPTION
 *	Daemons are named d0, d1, ... and lie in the failure domains hall-esja
 *	and hall-katla by turns. Each joins by d0. Upstreams announce the group
 *	"s". cluster_wait_up() returns once each daemon sees all others up.
 *
 *	A daemon that is started again takes the ports that it had, and joins by
 *	any that runs. Where a relay is asked for, all other daemons reach that
 *	one through it, frames and gossip.
 */
#ifndef TESTS_SYSTEM_CLUSTER_H
#define TESTS_SYSTEM_CLUSTER_H

#include "rig.h"

#define CLUSTER_MAX 8

/* A service "s" for all paths: GET and HEAD may be repeated, POST may not. */
#define CLUSTER_CONFIG                                                     \
	"{ // by hand\n"                                                   \
	"\"namespace\": \"t\", \"services\": {\"s\": {\n"                  \
	"  \"path_prefixes\": [\"/\"], \"group\": \"s\",\n"                \
	"  \"rules\": [\n"                                                 \
	"   {\"name\": \"get\", \"methods\": [\"GET\", \"HEAD\"],\n"       \
	"    \"idempotent\": true, \"deadline_ms\": 2000,\n"               \
	"    \"retry\": {\"max_attempts\": 3, \"budget_percent\": 20}},\n" \
	"   {\"name\": \"post\", \"deadline_ms\": 2000}]}}}\n"

struct cluster_ports {
	uint16_t caller;
	uint16_t peer; /* behind the relay, if there is one */
	uint16_t admin;
};

struct cluster {
	struct rig *rig;
	const char *key_file;
	const char *config_file;
	struct rig_process *platform;
	struct rig_process *daemons[CLUSTER_MAX];
	struct rig_process *upstreams[CLUSTER_MAX];
	struct rig_process *relays[CLUSTER_MAX]; /* NULL: none */
	struct cluster_ports ports[CLUSTER_MAX]; /* the same after a restart */
	const char *runs_files[CLUSTER_MAX]; /* the upstreams' own counts */
	unsigned int count;
};

struct cluster_options {
	unsigned int count;
	const char *config; /* NULL: CLUSTER_CONFIG; "": nothing in force */
	const char *slots; /* NULL: "4" */
	const char *service_time_us; /* NULL: "2000" */
	unsigned int upstreams; /* bit i: one beside daemon i; 0: all */
	const char *backlog; /* of each upstream; NULL: "64" */
	unsigned int relayed; /* bit i: a relay before daemon i */
	unsigned int drain_timeout_ms; /* 0: 10 s */
	unsigned int quarantine_trial_ms; /* 0: 60 s */
};

/* RETURN VALUE: a port for TCP and UDP, kept for this test until it ends. */
uint16_t cluster_reserve_port(void);

void cluster_start(struct cluster *cluster,
		   const struct cluster_options *options);
void cluster_stop(struct cluster *cluster);

/* Starts daemon and upstream number i (again). */
void cluster_start_daemon(struct cluster *cluster, unsigned int i,
			  const struct cluster_options *options);
void cluster_start_upstream(struct cluster *cluster, unsigned int i,
			    const struct cluster_options *options);

/* Tells daemon number i of its upstream, as after a restart of the daemon. */
void cluster_announce(struct cluster *cluster, unsigned int i,
		      const struct cluster_options *options);

/* Commands the relay before daemon i, or upstream i; body as in relay.h and
 * standin/upstream/upstream.h. */
void cluster_set_relay(struct cluster *cluster, unsigned int i, const char *body);
void cluster_set_upstream(struct cluster *cluster, unsigned int i,
			  const char *body);

/* Waits until each running daemon sees so many upstreams up. */
void cluster_wait_up(struct cluster *cluster, unsigned int count, int timeout_ms);

/* A call through daemon number i. headers as for rig_http(). */
struct rig_answer *cluster_call(struct cluster *cluster, unsigned int i,
				const char *method, const char *path,
				const char *request_id, const char *body,
				int timeout_ms);

/* How often the upstreams together ran a request id. */
int64_t cluster_runs(struct cluster *cluster, const char *request_id);

/* The answer's outcome field; "" where it has none. */
const char *cluster_outcome(const struct rig_answer *answer);

/* Starts the upstreams again that have ended.
 * RETURN VALUE: how many these were. */
unsigned int cluster_restart_upstreams(struct cluster *cluster,
				       const struct cluster_options *options);

/* A counter, over all daemons. */
int64_t cluster_sum_counter(struct cluster *cluster, const char *name);

/* A counter of a daemon, or -1. */
int64_t cluster_counter(struct cluster *cluster, unsigned int i,
			const char *name);

#endif
