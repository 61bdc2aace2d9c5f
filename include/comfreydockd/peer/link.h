/*
 * NAME
 *	link - frames over one connection between daemons
 *
 * DESCRIPTION
 *	A link carries length-prefixed protobuf frames over TCP or, if entry and
 *	owner are the same daemon, through memory. All frames that are sent in
 *	one iteration of the loop leave in one write, at its end.
 *
 *	A link belongs to its creator. handle_closed is called once, from the
 *	loop and never from within link_send(). The handler may destroy the
 *	link.
 *
 *	link_send() returns the position of the frame in the stream. After a
 *	connection loss the sender can then check whether any byte of the frame
 *	was handed to the kernel. Without this check, a request whose frame
 *	never left would have to count as "perhaps run".
 */
#ifndef COMFREYDOCKD_PEER_LINK_H
#define COMFREYDOCKD_PEER_LINK_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "proto/peer.pb-c.h"

#define LINK_LENGTH_BYTES 4 /* before each frame */
#define LINK_MAX_FRAME_BYTES (1024 * 1024)
/* Limit for frames of a peer that has not yet proved that it knows the key. */
#define LINK_MAX_HELLO_BYTES 512

struct link;

struct link_callbacks {
	void (*handle_frame)(struct link *link, Cfd__Frame *frame, void *data);
	/* error is a short reason for the log. */
	void (*handle_closed)(struct link *link, const char *error, void *data);
	void *data;
};

/* Shared by all links of a daemon. In each iteration of the loop it flushes the
 * links to which frames were added. */
struct link_group {
	struct ev_loop *loop;
	uint8_t *chunk; /* read buffer, shared by all links */
	ev_prepare flush_prepare; /* flushes before the loop blocks */
	/* Prevents that the loop blocks if a frame is added after
	 * flush_prepare has run. */
	ev_timer flush_timer;
	LIST_HEAD(, link) to_flush; /* links with new frames */
	LIST_HEAD(, link) all;
	/* Of link_group_read_input(): a handler may destroy this link too. */
	struct link *next_to_read;
};

void link_group_init(struct link_group *group, struct ev_loop *loop);
void link_group_finish(struct link_group *group);

/* Reads all that is readable on any link, without blocking, and passes the
 * frames to their handlers. A link whose frames are being handled is left out. */
void link_group_read_input(struct link_group *group);

/* Takes over a connected or connecting non-blocking socket. If the socket could
 * not be opened, the creator passes -1 and then calls link_fail(). */
struct link *link_create(struct link_group *group, int fd,
			 const struct link_callbacks *callbacks);

/* Creates a link to this process itself; ends are its two ends. */
void link_create_pair(struct link_group *group, struct link *ends[2],
		      const struct link_callbacks *a,
		      const struct link_callbacks *b);

void link_destroy(struct link *link);

/* Raises the frame limit from LINK_MAX_HELLO_BYTES to LINK_MAX_FRAME_BYTES,
 * once the peer is authenticated. */
void link_set_trusted(struct link *link);

/* RETURN VALUE: the frame's position in the stream, in bytes. */
uint64_t link_send(struct link *link, const Cfd__Frame *frame);

/* RETURN VALUE: true if at least the first byte of the frame at this position
 * was handed to the kernel. */
bool link_has_begun_sending(const struct link *link, uint64_t position);

/* Ends the link; the loop calls handle_closed afterwards. */
void link_fail(struct link *link, const char *error);

#endif
