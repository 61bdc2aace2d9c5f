/*
 * NAME
 *	connection_internal - what the two halves of connection share
 *
 * DESCRIPTION
 *	connection_input.c takes requests out of the bytes and begins them;
 *	connection.c reads, writes the answers, and ends the connection.
 */
#ifndef COMFREYDOCKD_CALLER_CONNECTION_INTERNAL_H
#define COMFREYDOCKD_CALLER_CONNECTION_INTERNAL_H

#include "comfreydockd/caller/connection.h"
#include "comfreydockd/caller/reader.h"
#include "comfreydockd/caller/request.h"
#include "common/address.h"

/* One read: a few heads, or a body's next part. */
#define READ_BYTES (16 * 1024)

struct connection {
	LIST_ENTRY(connection) link;
	struct listener *listener;
	int fd;
	char address[ADDRESS_TEXT_SIZE];
	ev_io read;
	ev_io write; /* also fed by connection_wake() */
	ev_timer hangup_poll; /* while nothing is read */
	ev_timer idle;
	struct reader reader;
	GByteArray *in; /* read and not used */
	GByteArray *out; /* written and not taken */
	guint in_peak; /* since the buffer was allocated */
	guint out_peak;
	struct caller_request_list requests;
	uint32_t unanswered; /* length of the list */
	struct caller_request *waiting; /* the last of them: not yet begun */
	int64_t waiting_since_us;
	struct caller_request *in_body; /* the last of them: its body comes */
	bool is_surplus;
	bool is_pipelined; /* its caller does, or has done so */
	bool has_request; /* a request line was read */
	bool input_ended; /* no request follows those in the list */
	bool output_full; /* of an answer, than fits into what is written */
	bool must_reset; /* its end must not look like an answer's */
	bool lingers; /* nothing more is written */
	size_t lingered_bytes;
	int64_t active_us; /* bytes came or went */
	int64_t head_since_us; /* of an unfinished head; 0: none */
};

/* connection_input.c */

/* Takes from the input what may be taken now. */
void connection_parse(struct connection *connection);

/* RETURN VALUE: whether to read from the kernel. */
bool connection_wants_input(const struct connection *connection);

/* Where the request has a call, it is abandoned. */
void connection_remove_request(struct connection *connection,
			       struct caller_request *request);
void connection_remove_all_requests(struct connection *connection);

/* No answer is in front of this one's any more. */
void connection_end_ahead(struct caller_request *request);

#endif
