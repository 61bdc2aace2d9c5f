/*
 * NAME
 *	connection_internal - what the files of connection share
 *
 * DESCRIPTION
 *	connection_input.c parses requests and begins them. connection.c reads
 *	from the socket, writes the answers, and closes the connection.
 */
#ifndef COMFREYDOCKD_CALLER_CONNECTION_INTERNAL_H
#define COMFREYDOCKD_CALLER_CONNECTION_INTERNAL_H

#include "comfreydockd/caller/arrivals.h"
#include "comfreydockd/caller/connection.h"
#include "comfreydockd/caller/reader.h"
#include "comfreydockd/caller/request.h"
#include "common/address.h"

/* Size of one read: a few heads, or the next part of a body. */
#define READ_BYTES (16 * 1024)

struct connection {
	LIST_ENTRY(connection) link;
	struct listener *listener;
	int fd;
	char address[ADDRESS_TEXT_SIZE];
	ev_io read;
	ev_io write; /* also fed by connection_wake() */
	ev_timer hangup_poll; /* while the socket is not read */
	ev_timer idle;
	struct reader reader;
	GByteArray *in; /* read and not yet parsed */
	struct arrivals arrivals; /* of the bytes of in */
	GByteArray *out; /* written and not yet taken by the kernel */
	guint in_peak; /* largest length since the buffer was allocated */
	guint out_peak;
	struct caller_request_list requests;
	uint32_t unanswered; /* length of the list */
	struct caller_request *waiting; /* the last, if not yet begun */
	int64_t waiting_arrived_us;
	struct caller_request *in_body; /* the last, while its body arrives */
	bool is_surplus; /* beyond the listener's limit of connections */
	bool is_pipelined; /* its caller has sent requests ahead of answers */
	bool has_request; /* a request line was read */
	bool input_ended; /* no request follows those in the list */
	bool output_full; /* more of an answer is ready than fits in */
	bool resets; /* a close is a reset, see connection_set_resets() */
	bool is_cut; /* ends at once, with a reset */
	bool lingers; /* no more answers are written; input is dropped */
	size_t lingered_bytes;
	int64_t active_us; /* when bytes were last read or written */
	int64_t head_since_us; /* when an unfinished head began; 0: none */
	int64_t unread; /* by the caller, at the last listener_is_being_read() */
	int64_t unread_changed_us;
};

/* connection_unread.c */

/* RETURN VALUE: the bytes that the kernel has taken and the caller's has not
 * acknowledged. */
int64_t connection_unacknowledged(const struct connection *connection);

/* connection_input.c */

/* Handles as much of the input as may be handled now. */
void connection_parse(struct connection *connection);

/* RETURN VALUE: whether to read from the socket. */
bool connection_wants_input(const struct connection *connection);

/* Abandons the request's call, if it has one. */
void connection_remove_request(struct connection *connection,
			       struct caller_request *request);
void connection_remove_all_requests(struct connection *connection);

/* Called once no answer is in front of this request's: the request no longer
 * counts against the limit of requests that run ahead. */
void request_end_ahead(struct caller_request *request);

#endif
