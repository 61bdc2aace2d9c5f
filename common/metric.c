#include "common/metric.h"

/* Exact for several years in microseconds and for fractions of a token. */
#define VALUE_FORMAT "%.15g"

void metric_append_label(GString *text, const char *name, const char *value)
{
	g_string_append_printf(text, "%s%s=\"", text->len ? "," : "", name);
	for (; *value; value++) {
		if (*value == '"' || *value == '\\')
			g_string_append_c(text, '\\');
		g_string_append_c(text, *value == '\n' ? ' ' : *value);
	}
	g_string_append_c(text, '"');
}

void metric_begin_gauge(GString *text, const char *name, const char *help)
{
	g_string_append_printf(text,
			       "# HELP comfreydock_%s %s\n"
			       "# TYPE comfreydock_%s gauge\n",
			       name, help, name);
}

void metric_append_line(GString *text, const char *name, const char *label,
			const char *label_value, double value)
{
	g_string_append_printf(text, "comfreydock_%s", name);
	if (label) {
		GString *labels = g_string_new(NULL);

		metric_append_label(labels, label, label_value);
		g_string_append_printf(text, "{%s}", labels->str);
		g_string_free(labels, TRUE);
	}
	g_string_append_printf(text, " " VALUE_FORMAT "\n", value);
}

void metric_append_gauge(GString *text, const char *name, const char *help,
			 double value)
{
	metric_begin_gauge(text, name, help);
	metric_append_line(text, name, NULL, NULL, value);
}
