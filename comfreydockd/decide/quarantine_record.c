#include "quarantine_record.h"

#include <glib.h>
#include <string.h>

#define HOST_SHIFT 32 /* position of the host hash in a crash id */

uint64_t quarantine_crash_id(uint32_t host, uint64_t random)
{
	return (uint64_t)host << HOST_SHIFT | (uint32_t)random;
}

static uint32_t crash_host(uint64_t crash_id)
{
	return (uint32_t)(crash_id >> HOST_SHIFT);
}

bool quarantine_record_is_valid(const struct quarantine_record *record)
{
	if (record->key == 0 || record->crash_count > QUARANTINE_CRASHES)
		return false;
	for (uint32_t i = 1; i < record->crash_count; i++) {
		if (record->crashes[i] <= record->crashes[i - 1])
			return false;
	}
	return true;
}

bool quarantine_record_names(const struct quarantine_record *record, uint32_t host)
{
	for (uint32_t i = 0; i < record->crash_count; i++) {
		if (crash_host(record->crashes[i]) == host)
			return true;
	}
	return false;
}

bool quarantine_record_is_held(const struct quarantine_record *record)
{
	return !record->is_cleared && record->crash_count == QUARANTINE_CRASHES;
}

uint32_t record_trial_host(const struct quarantine_record *record)
{
	return crash_host(
		record->crashes[record->failed_trials % QUARANTINE_CRASHES]);
}

/* Keeps the lowest ids, so that daemons that hear of four crashes in different
 * orders keep the same three. */
bool record_add_crash(struct quarantine_record *record, uint64_t crash_id)
{
	uint32_t at = 0;

	while (at < record->crash_count && record->crashes[at] < crash_id)
		at++;
	if (at == QUARANTINE_CRASHES ||
	    (at < record->crash_count && record->crashes[at] == crash_id))
		return false;
	record->crash_count = MIN(record->crash_count + 1, QUARANTINE_CRASHES);
	memmove(&record->crashes[at + 1], &record->crashes[at],
		(record->crash_count - at - 1) * sizeof(crash_id));
	record->crashes[at] = crash_id;
	return true;
}

void record_begin_round(struct quarantine_record *record)
{
	record->round++;
	record->is_cleared = false;
	record->crash_count = 0;
	record->failed_trials = 0;
}

void record_replace(struct quarantine_record *record,
		    const struct quarantine_record *received)
{
	record->round = received->round;
	record->is_cleared = received->is_cleared;
	record->crash_count = received->crash_count;
	memcpy(record->crashes, received->crashes, sizeof(record->crashes));
	record->failed_trials = received->failed_trials;
	record->changed_us = received->changed_us;
	record->asked_us = received->asked_us;
}

bool record_merge(struct quarantine_record *record,
		  const struct quarantine_record *received)
{
	bool is_changed = false;

	if (record->is_cleared)
		return false;
	if (received->is_cleared) {
		record->is_cleared = true;
		is_changed = true;
	}
	for (uint32_t i = 0; i < received->crash_count; i++)
		is_changed |= record_add_crash(record, received->crashes[i]);
	if (received->failed_trials > record->failed_trials) {
		record->failed_trials = received->failed_trials;
		is_changed = true;
	}
	if (is_changed) {
		record->changed_us =
			MAX(record->changed_us, received->changed_us);
		record->asked_us = MAX(record->asked_us, received->asked_us);
	}
	return is_changed;
}
