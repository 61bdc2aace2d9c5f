#include "comfreydockd/decide/quarantine.h"

#include "swim_internal.h"

static uint32_t age_ms(const struct swim *swim, int64_t then_us)
{
	return (uint32_t)CLAMP((swim->now_us - then_us) / 1000, 0,
			       (int64_t)UINT32_MAX);
}

static void quarantine_record_encode(const struct swim *swim,
				     struct quarantine_record *from,
				     Cfd__QuarantineRecord *to)
{
	cfd__quarantine_record__init(to);
	to->key = from->key;
	to->round = from->round;
	to->cleared = from->is_cleared;
	to->crashes = from->crashes;
	to->n_crashes = from->crash_count;
	to->failed_trials = from->failed_trials;
	to->age_ms = age_ms(swim, from->changed_us);
	to->asked_age_ms = age_ms(swim, from->asked_us);
}

/* Adds the records that are still to be spread, as far as budget and packet
 * size allow. */
void swim_quarantine_fill(struct swim *swim, struct swim_packet *packet)
{
	Cfd__Gossip *message = &packet->message;
	size_t bare_size;
	size_t count;

	if (!swim->quarantine || swim->quarantine_budget_bytes <= 0)
		return;
	bare_size = cfd__gossip__get_packed_size(message);
	count = quarantine_fill_packet(swim->quarantine, swim_rumour_limit(swim),
				       packet->quarantined, SWIM_QUARANTINED_MAX);
	for (size_t i = 0; i < count; i++) {
		quarantine_record_encode(swim, &packet->quarantined[i],
					 &packet->quarantine_records[i]);
		packet->quarantine_pointers[i] = &packet->quarantine_records[i];
	}
	message->quarantine = packet->quarantine_pointers;
	message->n_quarantine = count;
	while (message->n_quarantine > 0 &&
	       cfd__gossip__get_packed_size(message) > SWIM_BODY_MAX)
		message->n_quarantine--;
	swim->quarantine_budget_bytes -=
		(int64_t)(cfd__gossip__get_packed_size(message) - bare_size);
	packet->size = 0;
}

static bool quarantine_record_decode(const struct swim *swim,
				     const Cfd__QuarantineRecord *from,
				     struct quarantine_record *to)
{
	if (from->n_crashes > QUARANTINE_CRASHES)
		return false;
	*to = (struct quarantine_record){
		.key = from->key,
		.round = from->round,
		.is_cleared = from->cleared,
		.crash_count = (uint32_t)from->n_crashes,
		.failed_trials = from->failed_trials,
		.changed_us = swim->now_us - (int64_t)from->age_ms * 1000,
		.asked_us = swim->now_us - (int64_t)from->asked_age_ms * 1000,
	};
	for (size_t i = 0; i < from->n_crashes; i++)
		to->crashes[i] = from->crashes[i];
	return quarantine_record_is_valid(to);
}

bool swim_quarantine_is_valid(const struct swim *swim, const Cfd__Gossip *message)
{
	struct quarantine_record record;

	for (size_t i = 0; i < message->n_quarantine; i++) {
		if (!quarantine_record_decode(swim, message->quarantine[i],
					      &record))
			return false;
	}
	return true;
}

void swim_quarantine_merge(struct swim *swim, const Cfd__Gossip *message)
{
	struct quarantine_record record;
	bool had_unsent;

	if (!swim->quarantine)
		return;
	had_unsent = quarantine_has_unsent(swim->quarantine);
	for (size_t i = 0; i < message->n_quarantine; i++) {
		quarantine_record_decode(swim, message->quarantine[i], &record);
		quarantine_merge(swim->quarantine, &record, swim->now_us);
	}
	if (!had_unsent && quarantine_has_unsent(swim->quarantine))
		swim->has_received_marks = true;
}
