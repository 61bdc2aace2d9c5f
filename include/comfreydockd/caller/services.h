/*
 * NAME
 *	services - what an entry knows of each service and its upstreams
 *
 * DESCRIPTION
 *	One struct service for each group of upstreams that was called,
 *	whichever rules led there: the candidates for a pick, their health, and the budgets for retries and hedges. The
 *	candidates follow the member table; a service with more upstreams than
 *	SUBSET_SIZE uses a subset of them.
 */
#ifndef COMFREYDOCKD_CALLER_SERVICES_H
#define COMFREYDOCKD_CALLER_SERVICES_H

#include <glib.h>
#include <sys/queue.h>

#include "comfreydockd/config/model.h"
#include "comfreydockd/daemon.h"
#include "comfreydockd/decide/deadline.h"
#include "comfreydockd/decide/health.h"
#include "comfreydockd/decide/hedge.h"
#include "comfreydockd/decide/pick.h"
#include "comfreydockd/decide/retry.h"
#include "comfreydockd/member/member.h"

struct service;

struct service_upstream {
	TAILQ_ENTRY(service_upstream) link;
	struct service *service;
	unsigned int references; /* attempts that use it, and its service */
	bool listed; /* still one of the service's */
	char host[MEMBER_HOST_MAX];
	struct pick_candidate candidate;
	struct health_upstream health;
	enum health_state logged_state;
	struct deadline_rtt path;
};

TAILQ_HEAD(service_upstream_list, service_upstream);

struct service {
	LIST_ENTRY(service) active_link;
	bool is_active; /* used of late, or attempts are out */
	int64_t used_us;
	struct services *services;
	char *group; /* whose upstreams these are */
	uint32_t retry_budget_percent;
	uint32_t hedge_budget_percent;
	struct service_upstream_list upstreams;
	struct pick_set picks;
	struct health health;
	struct retry retry;
	struct hedge hedge;
	uint64_t group_version; /* of the group's members, as last seen */
	bool stale; /* to be brought up to date whatever the version says */
};

struct services;

struct services *services_create(struct daemon *daemon);
void services_destroy(struct services *services);

/* The state for the upstreams of a group, brought up to date. */
struct service *services_get(struct services *services, const char *group);

/* The upstream for the next attempt, with the weights of this moment. */
struct service_upstream *service_choose(struct service *service,
					const struct pick_tried *tried,
					int64_t now_us);

/* RETURN VALUE: the upstream of the host with that member_host_hash(), or
 * NULL. */
struct service_upstream *service_find_hash(const struct service *service,
					   uint32_t host_hash);

/* RETURN VALUE: false where no owner of the group answers; see health.h. */
bool service_may_try(struct service *service, bool idempotent, int64_t now_us);

/* The upstream's owner left a question open, or gave a sign of life. */
void service_upstream_note_mute(struct service_upstream *upstream,
				int64_t now_us);
void service_upstream_note_heard(struct service_upstream *upstream,
				 int64_t now_us);

struct service_upstream *service_upstream_ref(struct service_upstream *upstream);
void service_upstream_unref(struct service_upstream *upstream);

/* An owner tells its load by itself. */
void services_note_load(struct services *services, const char *host,
			const struct pick_load *load);

/* Ends ejections and finds silent upstreams; called ten times a second. Looks
 * at the services in use only: of the thousands that an entry has once called,
 * few are, and a walk over all would hold up every call that comes meanwhile. */
void services_tick(struct services *services, int64_t now_us);

/* What is left of the budgets of the services in use, as Prometheus text. */
void services_append_metrics(const struct services *services, GString *text);

#endif
