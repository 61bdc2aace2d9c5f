/*
 * NAME
 *	quarantine_record - a single quarantine record and how two of them merge
 *
 * DESCRIPTION
 *	Internal to decide/quarantine.
 */
#ifndef COMFREYDOCKD_DECIDE_QUARANTINE_RECORD_H
#define COMFREYDOCKD_DECIDE_QUARANTINE_RECORD_H

#include "comfreydockd/decide/quarantine.h"

uint32_t record_trial_host(const struct quarantine_record *record);

/* RETURN VALUE: true if the crash was not in the record yet. */
bool record_add_crash(struct quarantine_record *record, uint64_t crash_id);

void record_begin_round(struct quarantine_record *record);

/* Copies the received state, except the key and the fields that track how often
 * the record was sent. */
void record_replace(struct quarantine_record *record,
		    const struct quarantine_record *received);

/* Merges a record of the same round. RETURN VALUE: true if record changed. */
bool record_merge(struct quarantine_record *record,
		  const struct quarantine_record *received);

#endif
