#include "comfreydockd/config/store.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/owner_internal.h"
#include "common/clock.h"
#include "common/log.h"

/* An upstream may become cold between two heartbeats. While requests arrive, it
 * is asked this often; what it can get meanwhile is within the limit. */
#define COLD_ASK_INTERVAL_US (250 * US_PER_MS)

void owner_configure_cold(struct owner *owner)
{
	const struct settings_cold_start *settings =
		&owner->daemon->settings->cold_start;
	const struct config_group *group;

	if (!owner->announced.groups || !owner->announced.groups[0])
		return;
	group = config_snapshot_group(config_store_current(owner->daemon->config),
				      owner->announced.groups[0]);
	if (group)
		cold_start_configure(&owner->cold,
				     &(struct cold_start_options){
					     .per_s = group->cold_per_s,
					     .overage = settings->overage,
					     .slack = settings->slack,
					     .duration_ms = group->cold_ms,
				     });
}

/* Logs that the limit begins or ends to apply. */
static void log_change(struct owner *owner, const char *source, uint32_t cold_ms)
{
	bool is_limiting = cold_start_is_limiting(&owner->cold, clock_mono_us());

	if (is_limiting == owner->was_limiting)
		return;
	owner->was_limiting = is_limiting;
	log_event(EV_OWNER_COLD, LOG_INT("limits", is_limiting),
		  LOG_INT("cold_ms", cold_ms), LOG_STR("source", source),
		  LOG_INT("limit", owner->cold.window.limit),
		  LOG_INT("running", owner->running),
		  LOG_INT("queued", queue_length(&owner->queue)));
}

/* An answer that says nothing doesn't end a cold state reported before. */
void owner_note_not_cold(struct owner *owner)
{
	owner_note_cold_heartbeat(owner, 0);
}

void owner_note_cold_heartbeat(struct owner *owner, uint32_t cold_ms)
{
	cold_start_note_heartbeat(&owner->cold, cold_ms, clock_mono_us());
	log_change(owner, "heartbeat", cold_ms);
}

void owner_note_cold_health(struct owner *owner, uint32_t cold_ms)
{
	cold_start_note_health(&owner->cold, cold_ms, clock_mono_us());
	log_change(owner, "health", cold_ms);
}

bool owner_cold_is_outdated(const struct owner *owner)
{
	return owner->cold.window.limit > 0 &&
	       cold_start_report_age_us(&owner->cold, clock_mono_us()) >
		       COLD_ASK_INTERVAL_US;
}
