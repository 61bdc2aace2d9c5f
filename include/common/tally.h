/*
 * NAME
 *	tally - counters with labels, for the metrics address
 *
 * DESCRIPTION
 *	tally_add(TALLY_CALLS, rule, "run");
 *
 *	Which tallies there are, and the names of their labels, stands in
 *	tally.c. Labels come from operators' files and from lists of our own,
 *	never from requests. Each tally keeps TALLY_SERIES_MAX combinations;
 *	what comes beyond counts under "other", as a file with thousands of
 *	rules would else make the metrics grow without end.
 */
#ifndef COMMON_TALLY_H
#define COMMON_TALLY_H

#include <glib.h>

/* GROUNDS: three outcomes for each of some 80 rules of one host's callers; at
 * 60 bytes a line they add 15 KB to an answer of 10 KB. */
#define TALLY_SERIES_MAX 256

enum tally {
	TALLY_CALLS, /* rule, outcome */
	TALLY_NOT_RUN, /* reason, as the caller was told it */
	TALLY_REFUSALS, /* reason, as the owner gave it */
	TALLY_STORE, /* call, result */
	TALLIES,
};

/* second: NULL where the tally has one label. */
void tally_add(enum tally tally, const char *first, const char *second);

/* Appends all tallies as Prometheus text. */
void tally_append_text(GString *text);

#endif
