/*
 * NAME
 *	metric - writes the Prometheus text format
 *
 * DESCRIPTION
 *	metric_begin_gauge(text, "members", "hosts by state");
 *	metric_append_line(text, "members", "state", "alive", 7);
 *
 *	A metric is exported as comfreydock_<name>. Times are in the unit that
 *	the name ends with.
 *
 * SOURCE
 *	Prometheus, "Exposition formats", text format 0.0.4.
 */
#ifndef COMMON_METRIC_H
#define COMMON_METRIC_H

#include <glib.h>
#include <stdint.h>

void metric_begin_gauge(GString *text, const char *name, const char *help);

/* A label of NULL gives a line without labels. */
void metric_append_line(GString *text, const char *name, const char *label,
			const char *label_value, double value);

/* Appends a gauge that has a single line. */
void metric_append_gauge(GString *text, const char *name, const char *help,
			 double value);

/* Appends name="value" with special characters escaped or replaced, after a
 * comma if text is not empty. */
void metric_append_label(GString *text, const char *name, const char *value);

#endif
