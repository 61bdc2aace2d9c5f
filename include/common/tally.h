/*
 * NAME
 *	tally - counters with labels for the metrics endpoint
 *
 * DESCRIPTION
 *	tally_add(TALLY_CALLS, rule, "run");
 *
 *	tally.c lists the tallies and the names of their labels. Label values
 *	come from configuration files and from constants in the code, never
 *	from requests. Each tally keeps TALLY_SERIES_MAX combinations of label
 *	values and counts all further ones under "other". Otherwise a file with
 *	thousands of rules would make the metrics grow without bound.
 */
#ifndef COMMON_TALLY_H
#define COMMON_TALLY_H

#include <glib.h>

/* GROUNDS: the callers of one host use about 80 rules, each with three outcomes.
 * At 60 bytes a line this adds 15 KB to a metrics response of 10 KB. */
#define TALLY_SERIES_MAX 256

enum tally {
	TALLY_CALLS, /* rule, outcome */
	TALLY_NOT_RUN, /* reason, as sent to the caller */
	TALLY_REFUSALS, /* reason, as sent by the owner */
	TALLY_STORE, /* call, result */
	TALLIES,
};

/* Increments a counter; second is NULL if the tally has one label. */
void tally_add(enum tally tally, const char *first, const char *second);

/* Appends all tallies in the Prometheus text format. */
void tally_append_text(GString *text);

#endif
