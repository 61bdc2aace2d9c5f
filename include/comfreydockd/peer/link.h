/*
 * NAME
 *	link - frames over one connection between daemons
 *
 * DESCRIPTION
 *	A link carries length-prefixed protobuf frames, over TCP or, where
 *	entry and owner are the same daemon, through memory. Frames that are
 *	sent in one turn of the loop leave in one write, at its end.
 *
 *	A link belongs to its creator. handle_closed is called once, from the
 *	loop and never from within link_send(); the link may be destroyed there.
 *
 *	link_send() tells the position of the frame in the stream, so that a
 *	sender can ask after a loss whether any byte of it was handed to the
 *	kernel. Without that, a lost connection would have to count as
 *	"perhaps run" also for a frame that never left.
 */
#ifndef COMFREYDOCKD_PEER_LINK_H
#define COMFREYDOCKD_PEER_LINK_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "proto/peer.pb-c.h"

#define LINK_MAX_FRAME_BYTES (1024 * 1024)
/* What a stranger may send before it has proved that it knows the key. */
#define LINK_MAX_HELLO_BYTES 512

struct link;

struct link_callbacks {
	void (*handle_frame)(struct link *link, Cfd__Frame *frame, void *data);
	/* error says why, in a few words. */
	void (*handle_closed)(struct link *link, const char *error, void *data);
	void *data;
};

/* Shared by all links of a daemon: whose turn's frames must be written. */
struct link_group {
	struct ev_loop *loop;
	uint8_t *chunk; /* what one link has just read */
	ev_prepare flush;
	ev_timer flush_timer;
	LIST_HEAD(, link) dirty;
	LIST_HEAD(, link) all;
};

void link_group_init(struct link_group *group, struct ev_loop *loop);
void link_group_finish(struct link_group *group);

/* Reads whatever is readable on any link, without waiting. */
void link_group_drain_input(struct link_group *group);

/* Takes a connected, or connecting, non-blocking socket; -1 where there is none
 * because opening it failed: the creator then calls link_fail(). */
struct link *link_create(struct link_group *group, int fd,
			 const struct link_callbacks *callbacks);

/* Two ends in this process. */
void link_create_pair(struct link_group *group, struct link *ends[2],
		      const struct link_callbacks *a,
		      const struct link_callbacks *b);

void link_destroy(struct link *link);

/* Raises the limit from LINK_MAX_HELLO_BYTES once the peer is known. */
void link_set_trusted(struct link *link);

/* RETURN VALUE: the frame's position in the stream, in bytes. */
uint64_t link_send(struct link *link, const Cfd__Frame *frame);

/* True if any byte of the frame at this position went to the kernel. */
bool link_has_handed_over(const struct link *link, uint64_t position);

/* Ends the link; handle_closed follows from the loop. */
void link_fail(struct link *link, const char *error);

#endif
