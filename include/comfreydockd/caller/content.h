/*
 * NAME
 *	content - a key that requests with the same content share
 *
 * DESCRIPTION
 *	Requests are alike where service, method, target, caller and the first
 *	CALL_BODY_BUFFER_MAX bytes of the body are the same, whatever their ids, the
 *	entries that they come by and their other header fields. The caller is
 *	the rule's fairness key, where a header field holds it; an address and
 *	the service beside the entry are none, since the same request may come
 *	anywhere.
 *
 *	The seed is made of the daemons' shared key, so that all of them agree
 *	and no caller can choose a request with another one's key.
 */
#ifndef COMFREYDOCKD_CALLER_CONTENT_H
#define COMFREYDOCKD_CALLER_CONTENT_H

#include <stddef.h>
#include <stdint.h>

struct content {
	const char *service;
	const char *method;
	const char *target;
	const char *caller;
	const void *body;
	size_t body_size;
};

uint64_t content_seed(const void *key, size_t size);

/* RETURN VALUE: never 0. */
uint64_t content_key(const struct content *content, uint64_t seed);

#endif
