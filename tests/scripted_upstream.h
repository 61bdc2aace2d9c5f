/*
 * NAME
 *	scripted_upstream - sends given answers, or parts of them, on the loop
 */
#ifndef TESTS_SCRIPTED_UPSTREAM_H
#define TESTS_SCRIPTED_UPSTREAM_H

#include <ev.h>
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define CONNECTIONS_MAX 8

/* How the upstream ends a connection after a part of its answer. */
enum ending {
	ENDING_NONE, /* the whole answer, and the connection is kept */
	ENDING_CLOSE,
	ENDING_RESET,
	ENDING_RESET_LATER, /* when the part has been read */
};

/* An upstream that answers each request with the next of these texts, and closes
 * the connection if there is none, as one that crashes while it works does. */
struct scripted_upstream {
	struct ev_loop *loop;
	int listener;
	int connection; /* the newest; -1: closed */
	ev_io acceptor;
	ev_io readers[CONNECTIONS_MAX];
	const char *const *answers; /* ends with NULL */
	/* Sent on the first connection when the second request has come. */
	const char *late;
	size_t late_bytes;
	enum ending ending;
	size_t answer_bytes; /* with an ending: the part that is sent */
	ev_timer reset_timer;
	/* Answers once this has come; NULL: whatever comes. */
	const char *awaited;
	/* Sent again and again after the first answer, until the caller closes or
	 * flood_max bytes have been sent. NULL: nothing. */
	const char *flood;
	size_t flood_max; /* 0: no limit */
	size_t flooded; /* bytes */
	GString *flood_block; /* repeats the flood */
	ev_io flood_writer;
	GString *received; /* while something is awaited */
	size_t answered; /* this much of it */
	unsigned int requests;
	unsigned int connections;
};

/* Listens on a free port of 127.0.0.1, which it returns. */
uint16_t scripted_upstream_start(struct scripted_upstream *upstream);

/* Refuses further connections. */
void scripted_upstream_stop_listening(struct scripted_upstream *upstream);
void scripted_upstream_stop(struct scripted_upstream *upstream);

#endif
