/*
 * NAME
 *	quota - lets calls of an organisation start at its rate over all daemons
 *
 * DESCRIPTION
 *	Each call of an organisation with a rate needs a token before its first
 *	attempt. The entry asks the keeper of the organisation's pool in its own
 *	failure domain for tokens, or the deputy if the keeper does not respond.
 *	docs/design/quotas.md describes who grants what and what happens when a
 *	host, a link or the store fails.
 *
 *	Without a window in the settings, and for organisations without a rate,
 *	every call is granted at once and no state is kept.
 */
#ifndef COMFREYDOCKD_QUOTA_QUOTA_H
#define COMFREYDOCKD_QUOTA_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "comfreydockd/config/organisation.h"
#include "comfreydockd/daemon.h"
#include "comfreydockd/operator/organisations.h"

/* After a restart of all hosts, their member tables were complete after 1.7 s (87
 * daemons); a caller that has waited this long comes back. */
#define QUOTA_READY_WAIT_MAX_US ((int64_t)500 * 1000)

/* Keeper and deputy are the hosts that rank first by rendezvous hashing for this
 * prefix and the organisation's name. */
#define QUOTA_KEEPER_PREFIX "quota/"

enum quota_verdict {
	QUOTA_GRANTED,
	QUOTA_REFUSED, /* the organisation exceeds its quota */
	QUOTA_UNAVAILABLE, /* neither keeper nor deputy grants tokens */
	QUOTA_PENDING,
};

struct quota;
struct quota_client;

/* Zero-initialised and embedded in struct call. */
struct quota_request {
	TAILQ_ENTRY(quota_request) link;
	void (*handle_decided)(struct quota_request *request,
			       enum quota_verdict verdict, uint32_t come_back_ms);
	/* How long it may wait for a keeper that has just started and is not
	 * ready; at most QUOTA_READY_WAIT_MAX_US. */
	int64_t ready_wait_us;
	/* private */
	struct quota_client *client; /* NULL: not pending */
	const struct config_organisation *organisation; /* NULL: no token */
	int64_t since_us;
	int64_t return_until_us;
};

struct quota *quota_create(struct daemon *daemon);

/* No request may be pending. */
void quota_destroy(struct quota *quota);

/*
 * Asks for a token. handle_decided must be set and is called later if the
 * verdict is QUOTA_PENDING, but never from within this function. The
 * organisation must remain valid until the request is decided, cancelled or
 * returned.
 */
enum quota_verdict quota_acquire(struct quota *quota,
				 const struct config_organisation *organisation,
				 struct quota_request *request,
				 uint32_t *come_back_ms);

/* Withdraws a pending request; otherwise does nothing. */
void quota_cancel(struct quota *quota, struct quota_request *request);

/* Returns the token of a request whose call ended as not run, if it has one. */
void quota_return(struct quota *quota, struct quota_request *request);

/* Reads the pool of this host, for operators; data is the struct quota.
 * RETURN VALUE: false if this host holds no pool of the organisation. */
bool quota_read_pool(void *data, const char *organisation,
		     struct organisation_pool *pool);

/* Appends the pools and the waiting requests as Prometheus text. */
void quota_append_metrics(const struct quota *quota, GString *text);

#endif
