/*
 * NAME
 *	metric - lines of Prometheus text
 *
 * DESCRIPTION
 *	metric_begin_gauge(text, "members", "hosts by state");
 *	metric_append_line(text, "members", "state", "alive", 7);
 *
 *	Names are shown as comfreydock_<name>; times are in the unit that the
 *	name ends with.
 *
 * SOURCE
 *	Prometheus, "Exposition formats", text format 0.0.4.
 */
#ifndef COMMON_METRIC_H
#define COMMON_METRIC_H

#include <glib.h>
#include <stdint.h>

void metric_begin_gauge(GString *text, const char *name, const char *help);

/* label NULL: a line without labels. */
void metric_append_line(GString *text, const char *name, const char *label,
			const char *label_value, double value);

/* A gauge of one line. */
void metric_append_gauge(GString *text, const char *name, const char *help,
			 double value);

/* name="value" with what the format can't hold escaped; a comma before it
 * where the text has something already. */
void metric_append_label(GString *text, const char *name, const char *value);

#endif
