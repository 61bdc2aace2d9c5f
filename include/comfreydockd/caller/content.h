/*
 * NAME
 *	content - a key that requests with the same content share
 *
 * DESCRIPTION
 *	Requests have the same content if service, method, target, caller and
 *	the first CALL_BODY_BUFFER_MAX bytes of the body are equal, whatever
 *	their ids, their entries and their other header fields. The caller is
 *	the rule's fairness key, if a header field holds it. The caller's
 *	address and the service that runs beside the entry are not used, since
 *	the same request may arrive at any entry.
 *
 *	The seed is derived from the daemons' shared key, so that all daemons
 *	compute the same key and no caller can craft a request that has the key
 *	of another one.
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
