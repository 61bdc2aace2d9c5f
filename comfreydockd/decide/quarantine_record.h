/*
 * NAME
 *	quarantine_record - one record of the quarantine, and how two become one
 *
 * DESCRIPTION
 *	Internal to decide/quarantine.
 */
#ifndef COMFREYDOCKD_DECIDE_QUARANTINE_RECORD_H
#define COMFREYDOCKD_DECIDE_QUARANTINE_RECORD_H

#include "comfreydockd/decide/quarantine.h"

uint32_t record_trial_host(const struct quarantine_record *record);

/* RETURN VALUE: whether it is new. */
bool record_add_crash(struct quarantine_record *record, uint64_t crash);

void record_begin_round(struct quarantine_record *record);

/* All but the key, and what concerns its telling. */
void record_replace(struct quarantine_record *record,
		    const struct quarantine_record *heard);

/* Of the same round. RETURN VALUE: whether the record has changed. */
bool record_merge(struct quarantine_record *record,
		  const struct quarantine_record *heard);

#endif
