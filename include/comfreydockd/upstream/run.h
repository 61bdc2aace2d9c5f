/*
 * NAME
 *	run - one request on the upstream, by libcurl
 *
 * DESCRIPTION
 *	A run reads the request's body as it comes and hands the answer on as
 *	it comes, no faster than its credit allows.
 *
 *	libcurl repeats a request by itself when a kept connection turns out to
 *	be closed before any byte of an answer. The upstream may have run the
 *	first one by then: a booking would be charged twice. A run therefore
 *	lets only one request be written, by aborting at the second call of the
 *	callback that libcurl makes before it writes one; run_has_begun() tells
 *	whether the first was reached.
 */
#ifndef COMFREYDOCKD_UPSTREAM_RUN_H
#define COMFREYDOCKD_UPSTREAM_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/peer/fields.h"
#include "common/http_client.h"

struct run;
struct run_pool;

enum run_result {
	RUN_WHOLE, /* the answer ended as it should */
	RUN_NOT_BEGUN, /* no byte of the request was written */
	RUN_BROKEN, /* begun, and no head of an answer came */
	RUN_TRUNCATED, /* the answer broke off after its head */
};

struct run_callbacks {
	/* The head of the answer; length is -1 where it is not known. false
	 * ends the run without further callbacks but handle_done. */
	bool (*handle_head)(void *data, unsigned int status,
			    const struct fields *fields, int64_t length);
	void (*handle_body)(void *data, const void *bytes, size_t size);
	/* So much of the request's body was read by the upstream. */
	void (*handle_body_consumed)(void *data, size_t size);
	/* The run is destroyed by its owner after this, or in it. */
	void (*handle_done)(void *data, enum run_result result);
};

struct run_request {
	const char *method;
	const char *target;
	const struct fields *fields;
	const uint8_t *body; /* what is there of it */
	size_t body_size;
	bool body_ends; /* that is all */
};

/* Handles kept for reuse, all to one upstream. */
struct run_pool *run_pool_create(struct http_client *client,
				 const struct headers *headers,
				 const char *address, uint16_t port);
void run_pool_destroy(struct run_pool *pool);

struct run *run_create(struct run_pool *pool, const struct run_request *request,
		       int64_t credit, const struct run_callbacks *callbacks,
		       void *data);

/* Ends the run if it is still going; no callback follows. */
void run_destroy(struct run *run);

void run_add_body(struct run *run, const void *bytes, size_t size, bool ends);
void run_add_credit(struct run *run, uint32_t bytes);
bool run_has_begun(const struct run *run);

#endif
