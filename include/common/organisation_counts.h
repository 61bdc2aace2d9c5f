/*
 * NAME
 *	organisation_counts - counts the requests of each organisation
 *
 * DESCRIPTION
 *	Counts the requests that were started, refused (by reason) and returned:
 *	started, but ended as not run. Each count has a sum of the last 60 s,
 *	for the admin API, and a total since the start, which is exported as
 *	comfreydock_organisation_requests{organisation,outcome}.
 *
 *	ORGANISATION_COUNTS_MAX organisations have counts of their own. Further
 *	ones are counted together as "other", unless one of the former has sent
 *	nothing for 60 s, whose counts are then dropped.
 *
 * UNITS
 *	Monotonic microseconds.
 */
#ifndef COMMON_ORGANISATION_COUNTS_H
#define COMMON_ORGANISATION_COUNTS_H

#include <glib.h>
#include <stdint.h>

/* Most organisations send few requests to one daemon. At four lines of 75 bytes
 * each they add 38 KB to a metrics response. */
#define ORGANISATION_COUNTS_MAX 128
#define ORGANISATION_COUNTS_OTHER "other"
#define ORGANISATION_COUNTS_WINDOW_US ((int64_t)60 * 1000 * 1000)

enum organisation_outcome {
	ORGANISATION_STARTED,
	ORGANISATION_RETURNED,
	ORGANISATION_REFUSED,
};

struct organisation_count {
	enum organisation_outcome outcome;
	const char *reason; /* of refused requests; otherwise "" */
	uint64_t recent; /* in the last 60 s */
	uint64_t total;
};

struct organisation_counts;

struct organisation_counts *organisation_counts_create(void);
void organisation_counts_destroy(struct organisation_counts *counts);

/* Counts a request. Nothing is counted if counts or organisation is NULL. reason
 * is a constant string, used only for refused requests. */
void organisation_counts_add(struct organisation_counts *counts,
			     const char *organisation,
			     enum organisation_outcome outcome,
			     const char *reason, int64_t now_us);

typedef void (*organisation_count_handler)(const char *organisation,
					   const struct organisation_count *count,
					   void *data);

/* Calls the handler for each count, sorted by organisation. */
void organisation_counts_foreach(const struct organisation_counts *counts,
				 int64_t now_us,
				 organisation_count_handler handler, void *data);

/* Appends the totals in the Prometheus text format. */
void organisation_counts_append_text(const struct organisation_counts *counts,
				     GString *text);

#endif
