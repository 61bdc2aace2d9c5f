/*
 * NAME
 *	organisations - shows the organisations with figures from all daemons
 *
 * DESCRIPTION
 *	Internal to the operator folder, except for the reader of pools.
 *
 *	The figures of a page of organisations are gathered from the live hosts.
 *	If there are more than ORGANISATIONS_MAX_HOSTS, only as many are asked;
 *	for a single organisation these include the hosts that hold its pools.
 *	The answer is sent when all have replied, after ORGANISATIONS_TIMEOUT_S,
 *	or when the reports exceed ORGANISATIONS_MAX_BYTES. It names the hosts
 *	that were asked and whose figures are missing.
 *
 *	Neither the answer nor a report has a key or a digest of one.
 */
#ifndef COMFREYDOCKD_OPERATOR_ORGANISATIONS_H
#define COMFREYDOCKD_OPERATOR_ORGANISATIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "comfreydockd/config/organisation.h"

#define ORGANISATIONS_PAGE 256
#define ORGANISATIONS_MAX_HOSTS 256
#define ORGANISATIONS_MAX_BYTES ((size_t)8 * 1024 * 1024)
#define ORGANISATIONS_TIMEOUT_S 2.0

/* The tokens that a daemon holds as the keeper of an organisation's quota. */
struct organisation_pool {
	bool is_deputy;
	double share; /* of the rate and the burst */
	double tokens;
	double rate_per_s; /* the limit that the pool uses */
	double burst;
	int64_t age_us; /* since the pool was last used */
};

/* RETURN VALUE: false if this daemon holds no pool of the organisation. */
typedef bool (*organisation_pool_reader)(void *data, const char *organisation,
					 struct organisation_pool *pool);

struct operator_api;
struct organisations_gatherer;
struct http_request;

/* Sets where this daemon's pools are read; without it there are none. */
void operator_api_set_pools(struct operator_api *api,
			    organisation_pool_reader reader, void *data);

/* Calls the handler for each organisation of all namespaces. */
void organisations_foreach(const struct config_snapshot *snapshot,
			   void (*handler)(const struct config_organisation *,
					   void *data),
			   void *data);

/* Handles the queries of other daemons. */
struct organisations_gatherer *
organisations_gatherer_create(struct operator_api *api);

/* Answers the requests that still wait with what has been received. */
void organisations_gatherer_destroy(struct organisations_gatherer *gatherer);

struct organisations_page {
	GPtrArray *organisations; /* of const struct config_organisation, sorted */
	bool is_single; /* one was asked for by its name */
	const char *next; /* "after" of the next page, or NULL */
};

/* Answers the request, now or later. The page is not kept. */
void organisations_gather(struct organisations_gatherer *gatherer,
			  struct http_request *request,
			  const struct organisations_page *page);

#endif
