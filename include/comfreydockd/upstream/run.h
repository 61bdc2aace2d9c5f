/*
 * NAME
 *	run - sends one request to the upstream, using libcurl
 *
 * DESCRIPTION
 *	A run streams the request's body to the upstream as it arrives, and the
 *	answer back as it arrives, but no faster than its credit allows.
 *
 *	libcurl retries a request by itself if a keep-alive connection turns
 *	out to be closed before the first byte of an answer. The upstream may
 *	already have run the first request, and a booking would be charged
 *	twice. A run therefore permits a single write of the request: libcurl
 *	calls a callback before each write, and the second call aborts the
 *	transfer. run_has_begun() tells whether the first call was made.
 */
#ifndef COMFREYDOCKD_UPSTREAM_RUN_H
#define COMFREYDOCKD_UPSTREAM_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "comfreydockd/peer/fields.h"
#include "comfreydockd/upstream/recent_ids.h"
#include "common/http_client.h"

struct run;
struct run_pool;

enum run_result {
	RUN_COMPLETE, /* the answer is complete */
	RUN_NOT_BEGUN, /* no byte of the request was written */
	RUN_BROKEN, /* the request was written, but no answer's head came */
	RUN_TRUNCATED, /* the answer ended early, after its head */
};

struct run_callbacks {
	/* The head of the answer came; length is -1 if it isn't known. If the
	 * handler returns false, the run ends and only handle_done follows. */
	bool (*handle_head)(void *data, unsigned int status,
			    const struct fields *fields, int64_t length);
	void (*handle_answer_body)(void *data, const void *bytes, size_t size);
	/* libcurl took this many bytes of the request's body. */
	void (*handle_request_body_consumed)(void *data, size_t size);
	/* The run has ended; its owner destroys it in this call or later. */
	void (*handle_done)(void *data, enum run_result result);
};

struct run_request {
	const char *method;
	const char *target;
	const struct fields *fields;
	const uint8_t *body; /* the part that has arrived so far */
	size_t body_size;
	bool body_ends; /* the body is complete */
};

/* Creates a pool of reusable libcurl handles for one upstream. answered outlives
 * the pool, as connections do. */
struct run_pool *run_pool_create(struct http_client *client,
				 const struct headers *headers,
				 struct recent_ids *answered,
				 const char *address, uint16_t port);
void run_pool_destroy(struct run_pool *pool);

struct run *run_create(struct run_pool *pool, const struct run_request *request,
		       int64_t credit, const struct run_callbacks *callbacks,
		       void *data);

/* Aborts the run if it is still going; no callback follows. */
void run_destroy(struct run *run);

void run_add_body(struct run *run, const void *bytes, size_t size, bool ends);
void run_add_credit(struct run *run, uint32_t bytes);
bool run_has_begun(const struct run *run);

/* RETURN VALUE: whether the upstream answered a request with the same id in the last
 * minute. */
bool run_is_repeat(const struct run *run);

/* RETURN VALUE: why the answer's head can't be that of one answer; the run ended as
 * RUN_BROKEN then. NULL: nothing was found. */
const char *run_fault(const struct run *run);

/* RETURN VALUE: the pool of the upstream that it runs on. */
const struct run_pool *run_pool_of(const struct run *run);

#endif
