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

/* RETURN VALUE: the hash of the host at which the next trial runs: trials take
 * the hosts of the record's crashes in turn. */
uint32_t record_trial_host(const struct quarantine_record *record);

/* RETURN VALUE: true if the crash was not in the record yet. */
bool record_add_crash(struct quarantine_record *record, uint64_t crash_id);

/* Removes the marks and the failed trials of a cleared record, for the marks
 * that follow. The new round number lets daemons tell these from the old
 * ones. */
void record_begin_round(struct quarantine_record *record);

/* Copies the received state, except the key and the fields that track how often
 * the record was sent. */
void record_replace(struct quarantine_record *record,
		    const struct quarantine_record *received);

/* Merges a record of the same round. RETURN VALUE: true if record changed. */
bool record_merge(struct quarantine_record *record,
		  const struct quarantine_record *received);

#endif
