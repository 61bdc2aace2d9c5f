/*
 * NAME
 *	config_follow - takes the configuration from a row of the platform
 *
 * DESCRIPTION
 *	If the platform's own operator writes the configuration, one row holds
 *	all of it. Further rows of the same table, whose keys begin with
 *	evacuation_prefix, name the failure domains that are evacuated. They are
 *	read and watched together with the configuration, without further calls;
 *	see member/evacuation.h. The daemon reads the row once and then watches it: the
 *	platform's store answers as soon as it changes. A lower version never
 *	replaces a higher one; see config_store.
 *
 *	In each failure domain CONFIG_FOLLOWERS daemons, selected by rendezvous
 *	hashing, watch the row. The others, and those whose watch fails, hear of
 *	a higher version by gossip and ask a peer; see config_spread. Without
 *	this bound 22,000 daemons would make 11,700 reads a second for 46,000
 *	changes a day, and the platform's store allows 2,000.
 *
 *	A daemon that stays behind, for whatever reason its peers can't help,
 *	reads the row once by itself. It does so after
 *	CONFIG_FOLLOW_PEER_GRACE_US and a random time of up to
 *	CONFIG_FOLLOW_READ_SPACING_US per member, so that all daemons together
 *	make at most 100 such reads a second, and fewer while the reads fail.
 *	The read is made in addition to the watch, which may be lost without an
 *	error.
 *
 *	A watch that the platform's store or the network has lost looks like one
 *	without a change. So a few daemons of the installation also ask for
 *	changes beside the watch, as decide/poll.h says: one call a second in
 *	most cases, 3.4 at most, however many daemons there are. They find a
 *	change within a second, and the others hear of it by gossip. A daemon
 *	whose watch has not reported a change that it knows of, from such a poll
 *	or from a peer, opens another watch.
 *
 *	If the platform's store is unavailable, the daemon retries after
 *	CONFIG_FOLLOW_RETRY_MIN_US and doubles the delay up to
 *	CONFIG_FOLLOW_RETRY_MAX_US.
 */
#ifndef COMFREYDOCKD_CONFIG_FOLLOW_H
#define COMFREYDOCKD_CONFIG_FOLLOW_H

#include <ev.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/member/member.h"
#include "comfreydockd/platform/platform.h"

/* So many that some still watch if half of a domain is partitioned off. */
#define CONFIG_FOLLOWERS 8
/* The longest wait that the platform's store allows. Each answer without a
 * change costs a call. */
#define CONFIG_FOLLOW_WAIT_MS 30000
#define CONFIG_FOLLOW_RETRY_MIN_US (100 * 1000)
/* Also the interval at which a daemon that does not watch the row checks whether
 * it is elected to. */
#define CONFIG_FOLLOW_RETRY_MAX_US (1000 * 1000)
/* Most daemons get a version from their peers within this time. */
#define CONFIG_FOLLOW_PEER_GRACE_US (1500 * 1000)
#define CONFIG_FOLLOW_READ_SPACING_US (10 * 1000)
/* No read is made unless pieces from peers have stopped for this time: a read
 * beside them would halve the bandwidth of the link. */
#define CONFIG_FOLLOW_STALL_US (500 * 1000)
/* A daemon that is behind for this long reads the row although pieces
 * arrive. */
#define CONFIG_FOLLOW_PIECES_MAX_US (5 * 1000 * 1000)
#define CONFIG_FOLLOW_CHECK_US \
	(100 * 1000) /* interval of checks while behind */
/* Changes that are closer together than this are read as one. */
#define CONFIG_FOLLOW_COALESCE_US (200 * 1000)

struct config_follow;
struct evacuation;
struct slice_queue;

struct config_follow_ops {
	/* Converts the value of a row to a namespace file; see
	 * platform/manifest.h. */
	bool (*read)(const char *value, size_t size, uint64_t *version,
		     char **body, const char **error, void *data);
	void *data;
};

/* Everything that the pointers refer to must outlive the config_follow. */
struct config_follow_options {
	struct ev_loop *loop;
	struct platform *platform;
	struct config_store *store;
	struct member_table *members;
	const char *host; /* this daemon */
	const char *domain;
	const char *table;
	const char *key; /* "TABLE/REST" */
	/* Sorts after key. The rest of such a key is a failure domain. NULL:
	 * none. */
	const char *evacuation_prefix;
	struct evacuation *evacuation;
	const char *namespace; /* of the file that ops->read returns */
	const struct config_follow_ops *ops;
	struct slice_queue *slice_queue; /* to parse rows in; NULL: at once */
	uint64_t seed;
};

struct config_follow *
config_follow_create(const struct config_follow_options *options);

/* The config_store must not be used afterwards, because it still has this
 * observer. The platform must be destroyed first, so that no callback is
 * made. */
void config_follow_destroy(struct config_follow *follow);

#endif
