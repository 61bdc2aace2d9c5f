/*
 * NAME
 *	encodings - compressed forms of the versions in force, for peers
 *
 * DESCRIPTION
 *	For each namespace with a body of at least ENCODINGS_BODY_MIN_BYTES it
 *	holds the compressed body and the differences between the latest
 *	versions that this daemon has adopted. They are encoded by jobs, in the
 *	order of the adoptions. A body of over CONFIG_SPREAD_BODY_MAX_BYTES is
 *	not sent to peers, so it is not encoded.
 *
 *	LOAD PATTERN: operators change one of thousands of routes, again and
 *	again, and each change goes to each host.
 *	WITHOUT IT: the cost of a change on the network grows with the size of
 *	the configuration, and on slow links it is in force too late.
 */
#ifndef COMFREYDOCKD_CONFIG_ENCODINGS_H
#define COMFREYDOCKD_CONFIG_ENCODINGS_H

#include <stdbool.h>

#include "comfreydockd/config/model.h"
#include "proto/peer.pb-c.h"

struct slice_queue;
struct encodings;

/* A smaller body is sent as it is. */
#define ENCODINGS_BODY_MIN_BYTES (16 * 1024)
/* A larger difference is not kept: the compressed body is sent in its place. */
#define ENCODINGS_DELTA_MAX_BYTES (64 * 1024)
/* Differences kept of one namespace. */
#define ENCODINGS_DELTAS_MAX 8

/* handle_done is called each time that no version is left to encode. */
struct encodings *encodings_create(struct slice_queue *slice_queue,
				   void (*handle_done)(void *data), void *data);
void encodings_destroy(struct encodings *encodings);

/* Begins to encode what is new in the snapshot that is in force now. */
void encodings_update(struct encodings *encodings,
		      const struct config_snapshot *snapshot);

/* RETURN VALUE: whether the versions in force are not encoded yet. */
bool encodings_are_pending(const struct encodings *encodings);

/*
 * Fills in the differences from one of the bodies with the hashes held to the
 * version in force, unless they take more than max_bytes. The line refers to
 * them until the next iteration of the loop; its array belongs to the caller.
 *
 * RETURN VALUE
 *	the size of the differences; 0 if there are none.
 */
size_t encodings_fill_deltas(const struct encodings *encodings,
			     const struct config_namespace *ns,
			     char *const *held, size_t held_count,
			     size_t max_bytes, Cfd__ConfigLine *line);

/* RETURN VALUE: the compressed body of the version in force, with the XXH64 of
 * it in *hash, or NULL. */
GBytes *encodings_find_body(const struct encodings *encodings,
			    const struct config_namespace *ns, uint64_t *hash);

#endif
