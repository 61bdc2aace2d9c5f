/*
 * NAME
 *	spread_net - daemons' configurations, a platform and the ways between
 *
 * DESCRIPTION
 *	A fake network with a clock of its own, for tests of config_spread.
 *	Questions, answers and the platform's answers are delayed and lost as
 *	the faults say; gossip is one word to one random other each 100 ms.
 *	After every event it is checked that no daemon went back.
 */
#ifndef TESTS_SPREAD_NET_H
#define TESTS_SPREAD_NET_H

#include "comfreydockd/config/rows.h"
#include "comfreydockd/config/spread.h"

#define NET_MAX 12
#define NET_NAMES 3 /* namespaces "a", "b", "c" */

struct net_node {
	char host[MEMBER_HOST_MAX];
	unsigned int starts; /* counts its starts */
	bool up;
	bool partitioned; /* hears and says nothing */
	bool corrupts; /* the bodies it gives */
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
	unsigned int head_reads;
	unsigned int object_reads;
	unsigned int questions;
};

/* Up to three are in one failure domain, more in two by turns. */
void net_init(struct net *net, unsigned int count);
void net_finish(struct net *net);
void net_stop(struct net *net, unsigned int i);
void net_start(struct net *net, unsigned int i);
void net_run(struct net *net, int64_t ms);

/* Puts the next version of a namespace in the platform's rows. */
void net_apply(struct net *net, unsigned int name);

/* The same, with a body of so many bytes at least. */
void net_apply_sized(struct net *net, unsigned int name, size_t least);

/* The version that a daemon holds; 0: none. */
uint64_t net_held(const struct net *net, unsigned int i, unsigned int name);

/* Whether all that are up hold what the platform's head row lists. */
bool net_has_converged(const struct net *net);

#endif
