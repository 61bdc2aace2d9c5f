#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/log.h"

struct event_row {
	int number;
	const char *name;
};

static const struct event_row events[] = {
#define EVENT(number, name, text, class) {number, text},
#include "common/events.def"
#undef EVENT
};

static char *read_catalogue(void)
{
	const char *source = g_getenv("COMFREYDOCK_SOURCE");
	char *path = g_build_filename(source ? source : ".", "docs",
				      "EVENTS.md", NULL);
	char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_free(path);
	return text;
}

/* A log search could not distinguish two events with the same number. */
static void test_events_are_unique(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		for (size_t j = i + 1; j < G_N_ELEMENTS(events); j++) {
			g_assert_cmpint(events[i].number, !=, events[j].number);
			g_assert_cmpstr(events[i].name, !=, events[j].name);
		}
	}
}

/* docs/EVENTS.md must document the number and name of each event. */
static void test_events_are_catalogued(void)
{
	char *text = read_catalogue();

	for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
		char *row = g_strdup_printf("| %d | `%s` |", events[i].number,
					    events[i].name);

		if (!strstr(text, row))
			g_test_message("missing in docs/EVENTS.md: %s", row);
		g_assert_nonnull(strstr(text, row));
		g_free(row);
	}
	g_free(text);
}

/* docs/EVENTS.md must have no row for an event that no longer exists. */
static void test_catalogue_has_no_stale_rows(void)
{
	char *text = read_catalogue();
	char **lines = g_strsplit(text, "\n", -1);
	unsigned int rows = 0;

	for (char **line = lines; *line; line++) {
		int number;

		if (sscanf(*line, "| %d |", &number) == 1)
			rows++;
	}
	g_assert_cmpuint(rows, ==, G_N_ELEMENTS(events));
	g_strfreev(lines);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/events/unique", test_events_are_unique);
	g_test_add_func("/events/catalogued", test_events_are_catalogued);
	g_test_add_func("/events/no-stale-rows",
			test_catalogue_has_no_stale_rows);
	return g_test_run();
}
