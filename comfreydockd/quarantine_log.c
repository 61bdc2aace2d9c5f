#include "comfreydockd/quarantine_log.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/key_text.h"
#include "common/log.h"

static enum event count_change(enum quarantine_change change)
{
	switch (change) {
	case QUARANTINE_MARKED:
		counters.quarantine_marked++;
		return EV_QUARANTINE_MARKED;
	case QUARANTINE_HOLD_BEGAN:
		counters.quarantine_held++;
		return EV_QUARANTINE_HELD;
	case QUARANTINE_CLEARED:
		counters.quarantine_cleared++;
		return EV_QUARANTINE_CLEARED;
	case QUARANTINE_FORGOTTEN:
		break;
	}
	return EV_QUARANTINE_FORGOTTEN;
}

void quarantine_log_change(const struct quarantine_record *record,
			   enum quarantine_change change)
{
	char content[KEY_TEXT_SIZE];

	log_event(count_change(change),
		  LOG_STR("content", key_text(record->key, content)),
		  LOG_INT("round", record->round),
		  LOG_INT("crashes", record->crash_count),
		  LOG_INT("failed_trials", record->failed_trials),
		  LOG_INT("age_us", clock_mono_us() - record->changed_us));
}
