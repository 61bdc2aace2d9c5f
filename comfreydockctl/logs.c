#include "comfreydockctl/logs.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "comfreydockctl/ctl.h"
#include "common/jsonc.h"

#define US_PER_S 1000000

static void read_line(const char *line, logs_handler handler, void *data,
		      size_t *unreadable)
{
	const char *brace = strchr(line, '{');
	json_object *object = brace ? json_tokener_parse(brace) : NULL;

	if (object && json_object_is_type(object, json_type_object))
		handler(object, data);
	else if (*line != '\0' && *line != '\n')
		(*unreadable)++;
	json_object_put(object);
}

static bool read_file(const char *name, logs_handler handler, void *data,
		      size_t *unreadable)
{
	bool is_input = strcmp(name, "-") == 0;
	FILE *file = is_input ? stdin : fopen(name, "r");
	char *line = NULL;
	size_t size = 0;
	bool ok;

	if (!file) {
		ctl_print_error("%s: %s", name, g_strerror(errno));
		return false;
	}
	while (getline(&line, &size, file) >= 0)
		read_line(line, handler, data, unreadable);
	ok = !ferror(file);
	if (!ok)
		ctl_print_error("%s: %s", name, g_strerror(errno));
	free(line);
	if (!is_input)
		fclose(file);
	return ok;
}

bool logs_read(char **files, logs_handler handler, void *data, size_t *unreadable)
{
	*unreadable = 0;
	for (; *files; files++) {
		if (!read_file(*files, handler, data, unreadable))
			return false;
	}
	return true;
}

uint64_t logs_parse_time_us(const char *text)
{
	GTimeZone *utc = g_time_zone_new_utc();
	GDateTime *time = g_date_time_new_from_iso8601(text, utc);
	uint64_t us = 0;

	if (time) {
		us = (uint64_t)g_date_time_to_unix(time) * US_PER_S +
		     (uint64_t)g_date_time_get_microsecond(time);
		g_date_time_unref(time);
	}
	g_time_zone_unref(utc);
	return us;
}

uint64_t logs_time_us(json_object *line)
{
	return logs_parse_time_us(jsonc_get_text(line, "time"));
}
