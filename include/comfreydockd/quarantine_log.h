/*
 * NAME
 *	quarantine_log - logs and counts each change of the quarantine
 */
#ifndef COMFREYDOCKD_QUARANTINE_LOG_H
#define COMFREYDOCKD_QUARANTINE_LOG_H

#include "comfreydockd/decide/quarantine.h"

void quarantine_log_change(const struct quarantine_record *record,
			   enum quarantine_change change);

#endif
