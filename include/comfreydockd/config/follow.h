/*
 * NAME
 *	config_follow - takes the configuration from a row of the platform
 *
 * DESCRIPTION
 *	Where the platform's own operator writes the configuration, there is
 *	one row with all of it. It is read once, and then watched: the store
 *	answers as soon as it changes. A version that is held is never replaced
 *	by a lower one; see config_store.
 *
 *	In each failure domain CONFIG_FOLLOWERS daemons, drawn by rendezvous
 *	hash, watch the row. All others, and those whose watch fails, hear of a
 *	higher version by gossip and ask a peer; see config_spread. Without a
 *	bound 22,000 daemons would make 11,700 reads a second of 46,000 changes
 *	a day, where the store gives 2,000.
 *
 *	One that stays behind, whatever keeps its peers from helping, reads the
 *	row once by itself, after CONFIG_FOLLOW_BEHIND_US and a time drawn from
 *	CONFIG_FOLLOW_APART_US for each member, so that all of them together
 *	make 100 such reads a second at most, and fewer as long as that is in
 *	vain. It reads beside its watch, which may be lost without a word.
 *
 *	A store that is away is asked again after CONFIG_FOLLOW_RETRY_MIN_US,
 *	then ever more rarely up to CONFIG_FOLLOW_RETRY_MAX_US.
 */
#ifndef COMFREYDOCKD_CONFIG_FOLLOW_H
#define COMFREYDOCKD_CONFIG_FOLLOW_H

#include <ev.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/platform/platform.h"

/* Enough that some still watch when half of a domain is cut off. */
#define CONFIG_FOLLOWERS 8
/* The store's longest wait. Each answer without news costs a call. */
#define CONFIG_FOLLOW_WAIT_MS 30000
#define CONFIG_FOLLOW_RETRY_MIN_US (100 * 1000)
#define CONFIG_FOLLOW_RETRY_MAX_US (1000 * 1000)
/* Most get a version from their peers in that time. */
#define CONFIG_FOLLOW_BEHIND_US (1500 * 1000)
#define CONFIG_FOLLOW_APART_US (10 * 1000)
/* While parts still come from peers, reading it as well would halve the link. */
#define CONFIG_FOLLOW_STILL_US (500 * 1000)
#define CONFIG_FOLLOW_PARTS_MAX_US (5 * 1000 * 1000)
#define CONFIG_FOLLOW_LOOK_US (100 * 1000) /* while behind */
/* Changes that come closer together are taken as one. */
#define CONFIG_FOLLOW_PAUSE_US (200 * 1000)

struct config_follow;
struct slice_queue;

struct config_follow_ops {
	/* Rewrites a row's value as a namespace file; see
	 * platform/manifest.h. */
	bool (*read)(const char *value, size_t size, uint64_t *version,
		     char **body, const char **error, void *data);
	void *data;
};

/* What it points to must outlive it. */
struct config_follow_options {
	struct ev_loop *loop;
	struct platform *platform;
	struct config_store *store;
	struct member_table *members;
	const char *host; /* this daemon */
	const char *domain;
	const char *table;
	const char *key; /* "TABLE/REST" */
	const char *namespace; /* of the file that read makes */
	const struct config_follow_ops *ops;
	struct slice_queue *slice_queue; /* for reading rows; NULL: at once */
	uint64_t seed;
};

struct config_follow *
config_follow_create(const struct config_follow_options *options);

/* Observes the store, which must not be used after this. The platform must be
 * destroyed before, so that it calls nobody back. */
void config_follow_destroy(struct config_follow *follow);

#endif
