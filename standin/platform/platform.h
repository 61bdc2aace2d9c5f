/*
 * NAME
 *	platform - state and replies shared within the platform stand-in
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include <ev.h>
#include <glib.h>
#include <sys/queue.h>

#include "common/http_server.h"
#include "table.h"

struct faults {
	gboolean down; /* every connection is closed without a response */
	gboolean silent; /* requests stay open without a response */
	int64_t status; /* status sent to every request; 0: no such fault */
	int64_t slow_ms; /* delay before every request is handled */
	/* Share of writes, and number of next writes, that are applied without
	 * a response. */
	double lose_answer_share;
	int64_t lose_next;
	int64_t late_ms; /* delay before such a transaction is applied */
};

struct delayed;
struct late_write;

struct platform {
	struct ev_loop *loop;
	struct http_server *server;
	struct table table;
	unsigned int era; /* incremented by each restore */
	GHashTable *objects; /* name -> GBytes */
	struct faults faults;
	GRand *random;
	uint64_t reads;
	uint64_t writes;
	uint64_t lost_answers;
	LIST_HEAD(, delayed) delayed;
	LIST_HEAD(, late_write) late_writes;
};

/* All replies carry the store's era in a header. */
void platform_reply_text(const struct platform *platform,
			 struct http_request *request, unsigned int status,
			 const char *text);

/* Takes ownership of the object. */
void platform_reply_json(const struct platform *platform,
			 struct http_request *request, unsigned int status,
			 struct json_object *object);
void platform_reply_status(const struct platform *platform,
			   struct http_request *request, unsigned int status);

/* Aborts the requests that are held back, and discards the transactions that
 * were to be applied later. */
void platform_abort_delayed(struct platform *platform);

/* The watches that are open now get no answer, though their connections stay
 * open. */
void platform_forget_watches(struct platform *platform);

#endif
