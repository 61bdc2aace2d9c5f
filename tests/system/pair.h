/*
 * NAME
 *	pair - an entry and an owner, for tests of what lies between them
 *
 * DESCRIPTION
 *	A cluster of two daemons: d0 is the entry, as its own upstream drains,
 *	and the one upstream that takes work lies behind d1, the owner.
 */
#ifndef TESTS_SYSTEM_PAIR_H
#define TESTS_SYSTEM_PAIR_H

#include "cluster.h"

struct pair {
	struct cluster cluster;
	int wait_ms; /* of each wait */
};

/* The caller has set wait_ms. Ends with cluster_stop(). */
void pair_start(struct pair *pair, const char *config, const char *slots);

/* RETURN VALUE: a socket to the entry's port for callers. */
int pair_connect(const struct pair *pair);

/* Appends a request without a body. */
void pair_add_request(GString *text, const char *method, const char *path,
		      const char *id);

/* Commands the upstream, as in standin/upstream/upstream.h. */
void pair_set_upstream(struct pair *pair, const char *command);

/* Counters by name: of the daemons, and of the upstream's runs. */
int64_t pair_entry_count(struct pair *pair, const char *name);
int64_t pair_owner_count(struct pair *pair, const char *name);
int64_t pair_upstream_count(struct pair *pair, const char *name);

/* Waits until one of these has reached a value. */
void pair_wait_for(struct pair *pair,
		   int64_t (*count)(struct pair *pair, const char *name),
		   const char *name, int64_t value);

#endif
