/*
 * NAME
 *	spread_net - simulates daemons, a platform and the network between them
 *
 * DESCRIPTION
 *	A fake network with its own clock, for tests of config_spread. Queries,
 *	answers and the platform's answers are delayed and lost according to the
 *	configured faults. Gossip sends one message to one random other node
 *	every 100 ms. After each event the network checks that no daemon went
 *	back to a lower version.
 */
#ifndef TESTS_SPREAD_NET_H
#define TESTS_SPREAD_NET_H

#include "comfreydockd/config/rows.h"
#include "comfreydockd/config/spread.h"

#define NET_MAX 12
#define NET_NAMES 3 /* namespaces "a", "b", "c" */

struct slice_queue;

struct net_node {
	char host[MEMBER_HOST_MAX];
	unsigned int starts; /* number of its starts */
	bool up;
	bool partitioned; /* receives and sends no messages */
	bool corrupts; /* damages the bodies in its answers */
	struct config_store *store;
	struct member_table *members;
	struct config_spread *spread;
	struct config_spread_ops ops;
	uint64_t seen[NET_NAMES];
	struct net *net;
};

struct net {
	int64_t now_us;
	unsigned int count;
	struct net_node nodes[NET_MAX];
	GQueue events;
	int lost_percent;
	int slow_ms;
	bool platform_down;
	struct config_head head;
	GHashTable *objects;
	struct slice_queue *slice_queue; /* of daemons started from now on */
	unsigned int head_reads;
	unsigned int object_reads;
	unsigned int questions;
	uint64_t answer_bytes; /* of peers */
	bool asks_plainly; /* queries are those of an earlier release */
};

/* Up to three nodes are in one failure domain, more alternate between two. */
void net_init(struct net *net, unsigned int count);
void net_finish(struct net *net);
void net_stop(struct net *net, unsigned int i);
void net_start(struct net *net, unsigned int i);
void net_run(struct net *net, int64_t ms);

/* Writes the next version of a namespace to the platform's rows. */
void net_apply(struct net *net, unsigned int name);

/* The same with a body of about so many bytes that hardly compresses and has
 * little in common with the version before. */
void net_apply_sized(struct net *net, unsigned int name, size_t bytes);

/* The same with this body, which the net takes over. */
void net_apply_body(struct net *net, unsigned int name, char *body);

/* RETURN VALUE: the version that a daemon holds; 0: none. */
uint64_t net_held(const struct net *net, unsigned int i, unsigned int name);

/* RETURN VALUE: whether all running daemons hold the versions of the platform's
 * head row. */
bool net_has_converged(const struct net *net);

#endif
