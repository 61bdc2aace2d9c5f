#include <string.h>

#include "comfreydockd/decide/limit.h"
#include "comfreydockd/decide/warm.h"
#include "comfreydockd/upstream/gate.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/log.h"

/* An answer with a status from here on may come from a part of the upstream that
 * doesn't know the limit. */
#define STATUS_ERRORS 400

void owner_publish(struct owner *owner)
{
	if (owner->handle_state)
		owner->handle_state(owner, owner->state_data);
}

static void owner_refuse_all(struct owner *owner, Cfd__Reason reason)
{
	struct queue_item *item;

	gate_refuse_all(owner, reason);
	while ((item = queue_take_any(&owner->queue))) {
		struct owner_attempt *attempt = owner_attempt_of(item);

		attempt_owner_step(&attempt->state, OWNER_REFUSE);
		attempt_refuse(attempt, reason, OWNER_RETRY_AFTER_MS);
	}
}

void owner_note_reachable(bool reachable, void *data)
{
	struct owner *owner = data;

	if (!reachable)
		crash_confirm(owner, "unreachable");
	if (!reachable && owner->state == OWNER_UP) {
		owner->state = OWNER_NO_UPSTREAM;
		owner_refuse_all(owner, CFD__REASON__REASON_NO_UPSTREAM);
	} else if (reachable && owner->state == OWNER_NO_UPSTREAM &&
		   !owner->is_superseded) {
		owner->state = OWNER_UP;
		warm_begin(&owner->warm, owner->announced.warm_ms,
			   clock_mono_us());
	}
	owner_publish(owner);
}

const struct limit_policy *owner_limit_policy(const struct owner *owner)
{
	return owner->daemon->headers->load ? &limit_fixed : &limit_adaptive;
}

void owner_announcement_finish(struct owner_announcement *announcement)
{
	g_strfreev(announcement->groups);
	g_free(announcement->address);
	memset(announcement, 0, sizeof(*announcement));
}

static void owner_use_pool(struct owner *owner,
			   const struct owner_announcement *announcement)
{
	if (owner->pool)
		g_ptr_array_add(owner->old_pools, owner->pool);
	owner->pool = run_pool_create(owner->daemon->http,
				      owner->daemon->headers, &owner->answered,
				      announcement->address, announcement->port);
	g_strlcpy(owner->pool_instance, owner->history.instance,
		  sizeof(owner->pool_instance));
}

static bool is_known(const struct owner *owner,
		     const struct owner_announcement *announcement)
{
	const struct owner_announcement *known = &owner->announced;

	return owner->pool && !announcement->is_new_start &&
	       known->port == announcement->port &&
	       known->slots == MAX(announcement->slots, 1) &&
	       strcmp(known->address, announcement->address) == 0 &&
	       g_strv_equal((const char *const *)known->groups,
			    (const char *const *)announcement->groups);
}

void owner_announce(struct owner *owner,
		    const struct owner_announcement *announcement)
{
	int64_t now = clock_mono_us();
	struct owner_announcement copy = {
		.groups = g_strdupv(announcement->groups),
		.address = g_strdup(announcement->address),
		.port = announcement->port,
		.slots = MAX(announcement->slots, 1),
		.warm_ms = announcement->warm_ms,
	};
	bool moved = !owner->pool || announcement->is_new_start ||
		     owner->announced.port != copy.port ||
		     g_strcmp0(owner->announced.address, copy.address) != 0;

	if (!announcement->is_report)
		owner->is_closed = owner->is_stopping;
	owner->is_superseded = false;
	if (is_known(owner, announcement) &&
	    (owner->state == OWNER_UP || owner->is_closed)) {
		owner_announcement_finish(&copy);
		return;
	}

	if (moved)
		owner_use_pool(owner, &copy);
	owner_announcement_finish(&owner->announced);
	owner->announced = copy;
	owner_configure_cold(owner);
	if (moved)
		memset(&owner->knee, 0, sizeof(owner->knee));
	if (moved)
		memset(&owner->breaker, 0, sizeof(owner->breaker));
	if (moved)
		limit_init(&owner->limit, owner_limit_policy(owner), copy.slots,
			   now);
	else
		limit_set_slots(&owner->limit, copy.slots);
	if (moved || owner->state != OWNER_UP)
		warm_begin(&owner->warm, copy.warm_ms, now);
	if (!owner->is_closed)
		owner->state = OWNER_UP;
	probe_set_upstream(owner->probe, &owner->announced);
	log_event(EV_OWNER_ANNOUNCED, LOG_STR("address", copy.address),
		  LOG_INT("port", copy.port), LOG_INT("slots", copy.slots));
	owner_publish(owner);
	owner_schedule_dispatch(owner);
}

void owner_drain(struct owner *owner)
{
	owner->is_closed = true;
	owner_drain_upstream(owner);
}

void owner_stop(struct owner *owner)
{
	owner->is_stopping = true;
	owner_drain(owner);
}

void owner_drain_upstream(struct owner *owner)
{
	if (owner->state == OWNER_DRAINING)
		return;
	owner->state = OWNER_DRAINING;
	log_event(EV_OWNER_DRAINING, LOG_INT("running", owner->running),
		  LOG_INT("queued", queue_length(&owner->queue)));
	owner_refuse_all(owner, CFD__REASON__REASON_DRAINING);
	owner_publish(owner);
	owner_schedule_dispatch(owner);
}

void owner_resume(struct owner *owner)
{
	owner->is_closed = owner->is_stopping;
	if (owner->state != OWNER_DRAINING || !owner->pool)
		return;
	owner->state = owner->is_superseded ? OWNER_NO_UPSTREAM : OWNER_UP;
	warm_begin(&owner->warm, owner->announced.warm_ms, clock_mono_us());
	log_event(EV_OWNER_RESUMED);
	owner_publish(owner);
}

void owner_set_evacuated(struct owner *owner, bool is_evacuated)
{
	if (owner->is_evacuated == is_evacuated)
		return;
	owner->is_evacuated = is_evacuated;
	log_event(EV_OWNER_EVACUATED, LOG_INT("evacuated", is_evacuated),
		  LOG_INT("running", owner->running),
		  LOG_INT("queued", queue_length(&owner->queue)));
	if (is_evacuated)
		owner_refuse_all(owner, CFD__REASON__REASON_EVACUATED);
	/* Without requests the upstream may have become cold. */
	cold_start_invalidate(&owner->cold);
}

static const char *find_field(const struct fields *fields, const char *name)
{
	return name ? fields_find(fields, name) : NULL;
}

void owner_note_answer(struct owner *owner, const struct owner_attempt *attempt,
		       const struct fields *fields)
{
	const struct headers *headers = owner->daemon->headers;
	const char *limit = find_field(fields, headers->limit);

	unread_fields_note(&owner->unread, headers, fields,
			   attempt->request->trace);
	/* A former upstream's answer says nothing about this one. */
	if (run_pool_of(attempt->run) != owner->pool)
		return;
	if (limit)
		owner_note_limit(owner, limit, "answer");
	else if (attempt->status < STATUS_ERRORS)
		owner_note_no_limit(owner);
	if (answer_says_leaving(find_field(fields, headers->leaving)))
		owner_note_leaving(owner, owner->pool_instance, "answer");
}

void owner_note_other_instance(struct owner *owner)
{
	log_event(EV_OWNER_OTHER_INSTANCE,
		  LOG_STR("expected", owner->history.instance));
	owner_set_no_upstream(owner);
}

void owner_set_no_upstream(struct owner *owner)
{
	owner->is_superseded = true;
	if (owner->state != OWNER_UP)
		return;
	owner->state = OWNER_NO_UPSTREAM;
	owner_refuse_all(owner, CFD__REASON__REASON_NO_UPSTREAM);
	owner_publish(owner);
}

void owner_note_config(struct owner *owner)
{
	probe_configure(owner->probe);
	owner_configure_cold(owner);
	report_check_retry(owner);
}

void owner_when_changed(struct owner *owner,
			void (*handle_state)(struct owner *owner, void *data),
			void *data)
{
	owner->handle_state = handle_state;
	owner->state_data = data;
}

const struct owner_announcement *owner_announced(const struct owner *owner)
{
	return owner->pool ? &owner->announced : NULL;
}
