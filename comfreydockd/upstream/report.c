#include "comfreydockd/upstream/report.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/health_call.h"
#include "comfreydockd/upstream/owner.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/log.h"

static const char *const verdict_names[] = {
	[REPORT_NEWS] = "news", [REPORT_NEW_START] = "new-start",
	[REPORT_LATE] = "late", [REPORT_UNCERTAIN] = "uncertain",
	[REPORT_GONE] = "gone", [REPORT_FOREIGN] = "foreign",
};

const char *report_verdict_name(enum report_verdict verdict)
{
	return verdict_names[verdict];
}

static bool is_same_start(const struct report_history *history,
			  const struct report *report)
{
	return history->born_ms == report->born_ms &&
	       strcmp(history->instance, report->instance) == 0;
}

static void note_past(struct report_history *history)
{
	unsigned int slot = history->past_count++ % REPORT_PAST_MAX;

	g_strlcpy(history->past[slot], history->instance,
		  sizeof(history->past[slot]));
}

static bool is_past(const struct report_history *history, const char *instance)
{
	for (size_t i = 0; i < REPORT_PAST_MAX; i++) {
		if (strcmp(history->past[i], instance) == 0)
			return true;
	}
	return false;
}

/* The later start time is decisive; a missing one counts as 0, as the earliest.
 * If neither start has a time, a start is later if its instance id was not
 * replaced before. */
static bool is_later_start(const struct report_history *history,
			   const struct report *report)
{
	if (history->born_ms || report->born_ms)
		return report->born_ms > history->born_ms;
	return !is_past(history, report->instance);
}

static void history_set_current_start(struct report_history *history,
				      const struct report *report)
{
	if (history->instance[0])
		note_past(history);
	g_strlcpy(history->instance, report->instance, sizeof(history->instance));
	history->born_ms = report->born_ms;
	history->sequence = report->sequence;
	history->has_left = false;
	history->challenger.reports = 0;
}

/* Counts a report of a start that is taken for an earlier one.
 * RETURN VALUE: whether that start is the current one after all. */
static bool challenger_takes_over(struct report_challenger *challenger,
				  const struct report *report, int64_t now_us)
{
	bool is_known = challenger->reports > 0 &&
			challenger->born_ms == report->born_ms &&
			strcmp(challenger->instance, report->instance) == 0;

	if (is_known && report->sequence <= challenger->sequence)
		return false;
	if (!is_known) {
		g_strlcpy(challenger->instance, report->instance,
			  sizeof(challenger->instance));
		challenger->born_ms = report->born_ms;
		challenger->reports = 0;
		challenger->since_us = now_us;
	}
	challenger->sequence = report->sequence;
	challenger->reports++;
	return challenger->reports >= REPORT_TAKEOVER_COUNT &&
	       now_us - challenger->since_us >= REPORT_TAKEOVER_US;
}

enum report_verdict report_classify(struct report_history *history,
				    const struct report *report, int64_t now_us)
{
	bool is_first = !history->instance[0];

	if (!is_first && is_same_start(history, report)) {
		if (history->has_left)
			return REPORT_GONE;
		if (report->sequence <= history->sequence)
			return REPORT_LATE;
		history->sequence = report->sequence;
		history->challenger.reports = 0;
		return REPORT_NEWS;
	}
	if (!is_first && !is_later_start(history, report) &&
	    !challenger_takes_over(&history->challenger, report, now_us))
		return report->is_draining ? REPORT_UNCERTAIN : REPORT_LATE;
	history_set_current_start(history, report);
	return REPORT_NEW_START;
}

bool report_note_leave(struct report_history *history, const char *instance)
{
	if (strcmp(history->instance, instance) != 0)
		return false;
	history->has_left = true;
	return true;
}

/* True for any upstream if the settings name none. */
static bool is_configured_upstream(const struct owner *owner,
				   const struct report *report)
{
	const struct settings_address *configured =
		&owner->daemon->settings->upstream;

	return !configured->address ||
	       (configured->port == report->port &&
		strcmp(configured->address, report->address) == 0);
}

/* A report of another service is of another writer. This daemon knows that only
 * once it has a configuration. */
static bool names_known_service(const struct owner *owner,
				const struct report *report)
{
	const struct daemon *daemon = owner->daemon;

	return g_strcmp0(report->group, daemon->settings->service) == 0 ||
	       !config_store_is_ready(daemon->config) ||
	       config_snapshot_group(config_store_current(daemon->config),
				     report->group);
}

void report_check_reset(struct report_check *check)
{
	if (check->pending)
		health_call_cancel(check->pending);
	g_free(check->group);
	g_free(check->address);
	memset(check, 0, sizeof(*check));
}

/* Passes the upstream to the owner as it was last reported. A start that drained in
 * its first report and is ready in a later one is new to the owner then. */
static void announce_to_owner(struct owner *owner,
			      const struct report_check *check, bool is_new_start)
{
	const char *announced = owner_instance(owner);
	char *groups[] = {check->group, NULL};
	struct owner_announcement announcement = {
		.groups = groups,
		.address = check->address,
		.port = check->port,
		.slots = check->slots,
		.warm_ms = check->warm_ms,
		.is_new_start = is_new_start ||
				g_strcmp0(announced, owner->history.instance),
		.is_report = true,
	};

	owner_announce(owner, &announcement);
}

/* Ends the confirmation of the current start and announces the upstream to the
 * owner, which sends it requests from then on. */
static void confirm_start(struct owner *owner, const char *by)
{
	/* No earlier daemon can have sent requests to this start: this one has
	 * seen the start before it, or its very first report. */
	bool is_fresh = owner->history.past_count > 0 ||
			owner->start_check.saw_first_report;

	log_event(EV_OWNER_CONFIRMED,
		  LOG_STR("instance", owner->history.instance), LOG_STR("by", by),
		  LOG_INT("reports", owner->start_check.reports));
	owner->start_check.is_unconfirmed = false;
	if (is_fresh)
		cold_start_forget(&owner->cold);
	owner_reset_limit(owner, !is_fresh);
	announce_to_owner(owner, &owner->start_check, true);
	owner_note_cold_heartbeat(owner, owner->start_check.warm_ms);
}

static void note_health_answer(struct owner *owner,
			       const struct http_answer *answer)
{
	const struct headers *names = owner->daemon->headers;
	const char *limit = NULL;
	uint32_t cold_ms;

	if (names->limit)
		limit = http_answer_header(answer, names->limit);
	if (names->cold_ms &&
	    answer_parse_cold_ms(http_answer_header(answer, names->cold_ms),
				 &cold_ms))
		owner_note_cold_health(owner, cold_ms);
	if (limit)
		owner_note_limit(owner, limit, "health");
}

static bool says_leaving(const struct owner *owner,
			 const struct http_answer *answer)
{
	const char *name = owner->daemon->headers->leaving;

	return name && answer_says_leaving(http_answer_header(answer, name));
}

static void handle_health(const struct http_answer *answer, void *data)
{
	struct owner *owner = data;
	const char *name = owner->daemon->headers->instance;
	const char *instance = answer->result == CURLE_OK ?
				       http_answer_header(answer, name) :
				       NULL;

	owner->start_check.pending = NULL;
	if (!owner->start_check.is_unconfirmed || owner->history.has_left)
		return;
	if (instance && strcmp(instance, owner->history.instance) == 0) {
		if (says_leaving(owner, answer)) {
			owner_note_leaving(owner, instance, "health");
			return;
		}
		if (answer->status / 100 == 2) {
			confirm_start(owner, "health");
			note_health_answer(owner, answer);
			return;
		}
	}
	ev_timer_again(owner->daemon->loop, &owner->start_check_timer);
	if (owner->start_check.failed_checks++ == 0)
		log_event(EV_OWNER_UNCONFIRMED,
			  LOG_STR("instance", owner->history.instance),
			  LOG_STR("answers", instance ? instance : ""),
			  LOG_INT("status", answer->status));
}

/* RETURN VALUE: false if no health path is known. Further reports then confirm
 * the start. */
static bool ask_health(struct owner *owner)
{
	const struct config_group *group =
		config_snapshot_group(config_store_current(owner->daemon->config),
				      owner->start_check.group);
	struct health_call_target target = {
		.address = owner->start_check.address,
		.port = owner->start_check.port,
		.timeout_ms = REPORT_CHECK_TIMEOUT_MS,
	};

	if (!group || !group->health_path)
		return false;
	if (owner->start_check.pending)
		return true;
	target.path = group->health_path;
	owner->start_check.pending =
		health_call_start(owner->daemon, &target, handle_health, owner);
	return true;
}

static void handle_check_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct owner *owner = timer->data;

	(void)events;
	ev_timer_stop(loop, timer);
	report_check_retry(owner);
}

void report_check_init(struct owner *owner)
{
	ev_timer_init(&owner->start_check_timer, handle_check_timer, 0.0,
		      REPORT_CHECK_RETRY_S);
	owner->start_check_timer.data = owner;
}

void report_check_retry(struct owner *owner)
{
	if (owner->start_check.is_unconfirmed && !owner->history.has_left)
		ask_health(owner);
}

static void check_fill(struct report_check *check, const struct report *report)
{
	g_free(check->group);
	g_free(check->address);
	check->group = g_strdup(report->group);
	check->address = g_strdup(report->address);
	check->port = report->port;
	check->slots = report->slots;
	check->warm_ms = report->warm_ms;
}

static void handle_ready_report(struct owner *owner,
				const struct report *report, bool is_new_start)
{
	struct report_check *check = &owner->start_check;

	if (is_new_start) {
		crash_confirm(owner, "new-start");
		report_check_reset(check);
		check->is_unconfirmed = true;
		check->saw_first_report =
			report->sequence <= REPORT_FIRST_SEQUENCE;
		/* The announced start has been replaced. The owner sends no
		 * requests until the new start is confirmed and announced. */
		owner_set_no_upstream(owner);
	}
	check_fill(check, report);
	if (!check->is_unconfirmed) {
		announce_to_owner(owner, check, false);
		owner_note_cold_heartbeat(owner, report->warm_ms);
		return;
	}
	check->reports++;
	if (!owner->daemon->headers->instance ||
	    check->reports >= REPORT_CONFIRM_COUNT)
		confirm_start(owner, "reports");
	else
		ask_health(owner);
}

enum report_verdict owner_handle_report(struct owner *owner,
					const struct report *report)
{
	enum report_verdict verdict = REPORT_FOREIGN;

	if (is_configured_upstream(owner, report) &&
	    names_known_service(owner, report))
		verdict = report_classify(&owner->history, report,
					  clock_mono_us());
	if (verdict != REPORT_NEWS)
		log_event(EV_OWNER_REPORT, LOG_STR("instance", report->instance),
			  LOG_STR("group", report->group),
			  LOG_STR("address", report->address),
			  LOG_INT("sequence", report->sequence),
			  LOG_INT("born_ms", report->born_ms),
			  LOG_INT("drains", report->is_draining),
			  LOG_STR("verdict", report_verdict_name(verdict)));
	if (verdict != REPORT_NEWS && verdict != REPORT_NEW_START)
		return verdict;
	if (report->is_draining) {
		owner->start_check.is_unconfirmed = false;
		owner_drain_upstream(owner);
	} else {
		handle_ready_report(owner, report, verdict == REPORT_NEW_START);
	}
	return verdict;
}

/* RETURN VALUE: false if the instance isn't the current one. */
static bool leave(struct owner *owner, const char *instance, const char *by)
{
	bool is_current = report_note_leave(&owner->history, instance);

	log_event(EV_OWNER_LEFT, LOG_STR("instance", instance),
		  LOG_STR("by", by), LOG_INT("counts", is_current));
	if (is_current) {
		owner->start_check.is_unconfirmed = false;
		owner_drain_upstream(owner);
	}
	return is_current;
}

/*
 * An instance that deregisters without draining first still serves for a
 * while: its running requests go on, and it gets no new ones.
 */
bool owner_handle_leave(struct owner *owner, const char *instance)
{
	return leave(owner, instance, "deregistration");
}

void owner_note_leaving(struct owner *owner, const char *instance, const char *by)
{
	/* Each of its answers says so again. */
	if (!owner->history.has_left)
		leave(owner, instance ? instance : "", by);
}
