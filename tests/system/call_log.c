#include "call_log.h"

#include <glib.h>
#include <stdlib.h>

#define PARTS 7

static bool parse(char **parts, struct call_line *line)
{
	if (g_strv_length(parts) < PARTS)
		return false;
	*line = (struct call_line){
		.id = parts[0],
		.method = parts[1],
		.status = atoi(parts[2]),
		.outcome = parts[3],
		.took_us = strtoll(parts[4], NULL, 10),
		.begin_us = strtoll(parts[5], NULL, 10),
		.path = parts[6],
		.is_wrong = parts[PARTS] != NULL,
	};
	return true;
}

void call_log_read(const char *file,
		   void (*handle_line)(const struct call_line *line, void *data),
		   void *data)
{
	char *text = NULL;
	char **lines;

	g_assert_true(g_file_get_contents(file, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (char **at = lines; *at; at++) {
		char **parts = g_strsplit(*at, " ", -1);
		struct call_line line;

		if (parse(parts, &line))
			handle_line(&line, data);
		g_strfreev(parts);
	}
	g_strfreev(lines);
	g_free(text);
}
