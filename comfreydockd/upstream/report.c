#include "comfreydockd/upstream/report.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/owner.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/log.h"

static const char *const verdict_names[] = {
	[REPORT_NEWS] = "news",	      [REPORT_NEW_START] = "new-start",
	[REPORT_LATE] = "late",	      [REPORT_GONE] = "gone",
	[REPORT_FOREIGN] = "foreign",
};

const char *report_verdict_name(enum report_verdict verdict)
{
	return verdict_names[verdict];
}

static bool is_same_start(const struct report_lifetime *lifetime,
			  const struct report *report)
{
	return lifetime->born_ms == report->born_ms &&
	       strcmp(lifetime->instance, report->instance) == 0;
}

static void note_past(struct report_lifetime *lifetime)
{
	unsigned int slot = lifetime->past_count++ % REPORT_PAST_MAX;

	g_strlcpy(lifetime->past[slot], lifetime->instance,
		  sizeof(lifetime->past[slot]));
}

static bool is_past(const struct report_lifetime *lifetime, const char *instance)
{
	for (size_t i = 0; i < REPORT_PAST_MAX; i++) {
		if (strcmp(lifetime->past[i], instance) == 0)
			return true;
	}
	return false;
}

/* Where no start is told, the id is all there is to go by. */
static bool is_later_start(const struct report_lifetime *lifetime,
			   const struct report *report)
{
	if (lifetime->born_ms || report->born_ms)
		return report->born_ms > lifetime->born_ms;
	return !is_past(lifetime, report->instance);
}

static void lifetime_begin(struct report_lifetime *lifetime,
			   const struct report *report)
{
	if (lifetime->instance[0])
		note_past(lifetime);
	g_strlcpy(lifetime->instance, report->instance,
		  sizeof(lifetime->instance));
	lifetime->born_ms = report->born_ms;
	lifetime->sequence = report->sequence;
	lifetime->left = false;
}

enum report_verdict report_judge(struct report_lifetime *lifetime,
				 const struct report *report)
{
	bool is_first = !lifetime->instance[0];

	if (!is_first && is_same_start(lifetime, report)) {
		if (lifetime->left)
			return REPORT_GONE;
		if (report->sequence <= lifetime->sequence)
			return REPORT_LATE;
		lifetime->sequence = report->sequence;
		return REPORT_NEWS;
	}
	if (!is_first && !is_later_start(lifetime, report))
		return REPORT_LATE;
	lifetime_begin(lifetime, report);
	return REPORT_NEW_START;
}

bool report_note_leave(struct report_lifetime *lifetime, const char *instance)
{
	if (strcmp(lifetime->instance, instance) != 0)
		return false;
	lifetime->left = true;
	return true;
}

static bool is_beside(const struct owner *owner, const struct report *report)
{
	const struct settings_address *own = &owner->daemon->settings->upstream;

	return !own->address || (own->port == report->port &&
				 strcmp(own->address, report->address) == 0);
}

static void take_ready(struct owner *owner, const struct report *report,
		       bool is_new_start)
{
	char *groups[] = {(char *)report->group, NULL};
	struct owner_announcement announcement = {
		.groups = groups,
		.address = (char *)report->address,
		.port = report->port,
		.slots = report->slots,
		.warm_ms = report->warm_ms,
		.is_new_start = is_new_start,
	};

	owner_announce(owner, &announcement);
}

enum report_verdict owner_take_report(struct owner *owner,
				      const struct report *report)
{
	enum report_verdict verdict = REPORT_FOREIGN;

	if (is_beside(owner, report))
		verdict = report_judge(&owner->lifetime, report);
	if (verdict != REPORT_NEWS)
		log_event(EV_OWNER_REPORT, LOG_STR("instance", report->instance),
			  LOG_STR("group", report->group),
			  LOG_STR("address", report->address),
			  LOG_INT("sequence", report->sequence),
			  LOG_INT("born_ms", report->born_ms),
			  LOG_INT("drains", report->drains),
			  LOG_STR("verdict", report_verdict_name(verdict)));
	if (verdict != REPORT_NEWS && verdict != REPORT_NEW_START)
		return verdict;
	if (report->drains)
		owner_drain_upstream(owner);
	else
		take_ready(owner, report, verdict == REPORT_NEW_START);
	return verdict;
}

/*
 * One that leaves without having drained before goes on serving for a while;
 * what runs there goes on, and nothing new is sent.
 */
bool owner_take_leave(struct owner *owner, const char *instance)
{
	bool counts = report_note_leave(&owner->lifetime, instance);

	log_event(EV_OWNER_LEFT, LOG_STR("instance", instance),
		  LOG_INT("counts", counts));
	if (counts)
		owner_drain_upstream(owner);
	return counts;
}
