/*
 * NAME
 *	pair - an entry and an owner, for tests of the path between them
 *
 * DESCRIPTION
 *	A cluster of two daemons. d0 is the entry; its own upstream is draining.
 *	d1 is the owner of the only upstream that takes attempts.
 */
#ifndef TESTS_SYSTEM_PAIR_H
#define TESTS_SYSTEM_PAIR_H

#include "cluster.h"

struct pair {
	struct cluster cluster;
	int wait_ms; /* the timeout of each wait */
};

/* Starts the cluster. The caller sets wait_ms before, and stops the cluster
 * with cluster_stop(). */
void pair_start(struct pair *pair, const char *config, const char *slots);

/* RETURN VALUE: a socket that is connected to the entry's caller port. */
int pair_connect(const struct pair *pair);

/* Appends a request without a body to the text. */
void pair_add_request(GString *text, const char *method, const char *path,
		      const char *id);

/* Sends a command of standin/upstream/upstream.h to the owner's upstream. */
void pair_set_upstream(struct pair *pair, const char *command);

/* RETURN VALUE: a counter, by its name, of the entry, of the owner, or of the
 * upstream's runs. */
int64_t pair_entry_count(struct pair *pair, const char *name);
int64_t pair_owner_count(struct pair *pair, const char *name);
int64_t pair_upstream_count(struct pair *pair, const char *name);

/* Waits until one of these counters is at least value. */
void pair_wait_for(struct pair *pair,
		   int64_t (*count)(struct pair *pair, const char *name),
		   const char *name, int64_t value);

#endif
