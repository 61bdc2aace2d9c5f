#include "common/log.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"

static struct {
	enum log_format format;
	char process[64];
} log_state = {.format = LOG_FORMAT_TEXT};

/* Event numbers lie between 1000 and 1999. */
#define LOG_RATES 1000
#define LOG_LINES_PER_SECOND 50

struct log_rate {
	int64_t second;
	unsigned int lines;
	uint64_t dropped;
};

static struct log_rate log_rates[LOG_RATES];

const char *log_event_name(enum event id)
{
	switch (id) {
#define EVENT(number, name, text) \
	case EV_##name:           \
		return text;
#include "common/events.def"
#undef EVENT
	}
	return "unknown";
}

static void append_json_string(GString *line, const char *s)
{
	g_string_append_c(line, '"');
	for (; *s; s++) {
		unsigned char c = (unsigned char)*s;

		if (c == '"' || c == '\\')
			g_string_append_printf(line, "\\%c", c);
		else if (c < 0x20)
			g_string_append_printf(line, "\\u%04x", c);
		else
			g_string_append_c(line, (char)c);
	}
	g_string_append_c(line, '"');
}

static void append_json_field(GString *line, const struct log_field *field)
{
	g_string_append_c(line, ',');
	append_json_string(line, field->key);
	g_string_append_c(line, ':');
	if (field->text)
		append_json_string(line, field->text);
	else
		g_string_append_printf(line, "%" G_GINT64_FORMAT, field->number);
}

static void append_text_field(GString *line, const struct log_field *field)
{
	g_string_append_printf(line, " %s=", field->key);
	if (field->text)
		g_string_append(line, field->text);
	else
		g_string_append_printf(line, "%" G_GINT64_FORMAT, field->number);
}

static void append_time(GString *line)
{
	int64_t now = clock_wall_us();
	GDateTime *time = g_date_time_new_from_unix_utc(now / US_PER_S);
	char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");

	g_string_append_printf(line, "%s.%06" G_GINT64_FORMAT "Z", text,
			       now % US_PER_S);
	g_free(text);
	g_date_time_unref(time);
}

static char *render_json(enum event id, const struct log_field *fields)
{
	GString *line = g_string_new("{\"time\":\"");

	append_time(line);
	g_string_append_printf(line, "\",\"event\":%d,\"name\":\"%s\",", id,
			       log_event_name(id));
	g_string_append(line, "\"process\":");
	append_json_string(line, log_state.process);
	for (; fields->key; fields++)
		append_json_field(line, fields);
	g_string_append_c(line, '}');
	return g_string_free(line, FALSE);
}

static char *render_text(enum event id, const struct log_field *fields)
{
	GString *line = g_string_new(NULL);

	append_time(line);
	g_string_append_printf(line, " %d %s %s", id, log_state.process,
			       log_event_name(id));
	for (; fields->key; fields++)
		append_text_field(line, fields);
	return g_string_free(line, FALSE);
}

/* Lines reach the writer rendered; whatever GLib itself warns of does not. */
static GLogWriterOutput handle_log_line(GLogLevelFlags level,
					const GLogField *fields, gsize count,
					gpointer data)
{
	const char *message = "";

	(void)level;
	(void)data;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			message = fields[i].value;
	}
	fprintf(stderr, "%s\n", message);
	return G_LOG_WRITER_HANDLED;
}

void log_init(enum log_format format, const char *process)
{
	static bool writer_is_set;

	log_state.format = format;
	g_strlcpy(log_state.process, process, sizeof(log_state.process));
	if (!writer_is_set)
		g_log_set_writer_func(handle_log_line, NULL, NULL);
	writer_is_set = true;
}

/*
 * A stranger that knocks a thousand times a second, or a host that flaps, would
 * otherwise fill the log's disk or pipe and take the loop's time. RETURN VALUE:
 * false where this event has had its lines for this second.
 */
static bool log_is_allowed(enum event id)
{
	struct log_rate *rate = &log_rates[(unsigned int)id % LOG_RATES];
	int64_t second = clock_mono_us() / US_PER_S;
	uint64_t dropped = rate->dropped;

	if (rate->second != second) {
		rate->second = second;
		rate->lines = 0;
		rate->dropped = 0;
		if (dropped)
			log_event(EV_LOG_SUPPRESSED,
				  LOG_STR("event", log_event_name(id)),
				  LOG_INT("lines", dropped));
	}
	if (++rate->lines <= LOG_LINES_PER_SECOND)
		return true;
	rate->dropped++;
	return false;
}

void log_event_fields(enum event id, const struct log_field *fields)
{
	char *line;

	if (log_state.format == LOG_FORMAT_NONE || !log_is_allowed(id))
		return;
	line = log_state.format == LOG_FORMAT_JSON ? render_json(id, fields) :
						     render_text(id, fields);
	g_log_structured("comfreydock", G_LOG_LEVEL_MESSAGE, "MESSAGE", "%s",
			 line);
	g_free(line);
}
