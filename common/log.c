#include "common/log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/trace.h"

/* Event numbers range from 1000 to 1999. */
#define EVENT_NUMBER_FIRST 1000
#define EVENT_NUMBERS 1000
/* Class BELIEF holds the state of other hosts as this daemon sees it. Each event
 * number of this class has its own limit, so that a flapping host does not use up
 * the lines of all other events. */
#define BELIEF_LINES_PER_S 50

struct log_rate {
	unsigned int lines; /* in this second */
	uint64_t left_out; /* since the last event log.suppressed */
};

static struct {
	enum log_format format;
	char process[64];
	unsigned int lines_per_s;
	unsigned int bytes_per_s;
	int64_t second;
	unsigned int lines; /* in this second */
	unsigned int bytes;
	unsigned int routine_lines_wanted; /* before sampling, in this second */
	double routine_sample_rate; /* share of requests, sampled by trace id */
	bool has_left_out;
	bool is_buffering;
	bool is_reporting_left_out; /* prevents recursion */
	GString *buffer;
	struct log_rate rates[EVENT_NUMBERS];
} state = {
	.format = LOG_FORMAT_TEXT,
	.lines_per_s = LOG_LINES_PER_S,
	.bytes_per_s = LOG_BYTES_PER_S,
	.routine_sample_rate = 1.0,
};

const char *log_event_name(enum event id)
{
	switch (id) {
#define EVENT(number, name, text, class) \
	case EV_##name:                  \
		return text;
#include "common/events.def"
#undef EVENT
	}
	return "unknown";
}

enum log_class log_event_class(enum event id)
{
	switch (id) {
#define EVENT(number, name, text, class) \
	case EV_##name:                  \
		return LOG_CLASS_##class;
#include "common/events.def"
#undef EVENT
	}
	return LOG_CLASS_BELIEF;
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

/* RETURN VALUE: the text to show, which may be in label. */
static const char *shown_text(const struct log_field *field,
			      char label[TRACE_LABEL_SIZE])
{
	return strcmp(field->key, LOG_TRACE_KEY) == 0 ?
		       trace_label(field->text, label) :
		       field->text;
}

static void append_json_field(GString *line, const struct log_field *field)
{
	char label[TRACE_LABEL_SIZE];

	g_string_append_c(line, ',');
	append_json_string(line, field->key);
	g_string_append_c(line, ':');
	if (field->text)
		append_json_string(line, shown_text(field, label));
	else
		g_string_append_printf(line, "%" G_GINT64_FORMAT, field->number);
}

static void append_text_field(GString *line, const struct log_field *field)
{
	char label[TRACE_LABEL_SIZE];

	g_string_append_printf(line, " %s=", field->key);
	if (field->text)
		g_string_append(line, shown_text(field, label));
	else
		g_string_append_printf(line, "%" G_GINT64_FORMAT, field->number);
}

/* Some hundred lines share the same second, so that part is rendered once. */
static void append_time(GString *line)
{
	static int64_t rendered = -1;
	static char text[32];
	int64_t now = clock_wall_us();

	if (now / US_PER_S != rendered) {
		GDateTime *time = g_date_time_new_from_unix_utc(now / US_PER_S);
		char *whole = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");

		g_strlcpy(text, whole, sizeof(text));
		g_free(whole);
		g_date_time_unref(time);
		rendered = now / US_PER_S;
	}
	g_string_append_printf(line, "%s.%06" G_GINT64_FORMAT "Z", text,
			       now % US_PER_S);
}

static char *render_json(enum event id, const struct log_field *fields)
{
	GString *line = g_string_sized_new(256);

	g_string_append(line, "{\"time\":\"");
	append_time(line);
	g_string_append_printf(line, "\",\"event\":%d,\"name\":\"%s\",", id,
			       log_event_name(id));
	g_string_append(line, "\"process\":");
	append_json_string(line, state.process);
	for (; fields->key; fields++)
		append_json_field(line, fields);
	g_string_append_c(line, '}');
	return g_string_free(line, FALSE);
}

static char *render_text(enum event id, const struct log_field *fields)
{
	GString *line = g_string_sized_new(256);

	append_time(line);
	g_string_append_printf(line, " %d %s %s", id, state.process,
			       log_event_name(id));
	for (; fields->key; fields++)
		append_text_field(line, fields);
	return g_string_free(line, FALSE);
}

/* Makes room when the reader of standard output is too slow. Drops whole lines
 * only, because half a line would corrupt the next one. */
static void drop_unwritten_lines(void)
{
	/* The first line may be partly written and is kept. */
	char *end = strchr(state.buffer->str, '\n');

	if (!end)
		return;
	for (char *at = end + 1; (at = strchr(at, '\n')); at++)
		counters.log_lines_dropped++;
	g_string_truncate(state.buffer, (gsize)(end + 1 - state.buffer->str));
}

void log_flush(void)
{
	ssize_t written;

	if (!state.buffer || state.buffer->len == 0)
		return;
	written = write(STDOUT_FILENO, state.buffer->str, state.buffer->len);
	if (written > 0)
		g_string_erase(state.buffer, 0, written);
	else if (written < 0 && errno != EAGAIN && errno != EINTR)
		g_string_truncate(state.buffer, 0); /* no reader */
	if (state.buffer->len > LOG_BUFFER_BYTES)
		drop_unwritten_lines();
}

void log_enable_buffering(void)
{
	state.is_buffering = true;
}

/* Receives the rendered lines of events as well as warnings of GLib itself. The
 * warnings stay plain text even if the log format is JSON. */
static GLogWriterOutput handle_log_line(GLogLevelFlags level,
					const GLogField *fields, gsize count,
					gpointer data)
{
	const char *message = "";

	(void)data;
	for (gsize i = 0; i < count; i++) {
		if (strcmp(fields[i].key, "MESSAGE") == 0)
			message = fields[i].value;
	}
	if (!state.buffer)
		state.buffer = g_string_new(NULL);
	g_string_append(state.buffer, message);
	g_string_append_c(state.buffer, '\n');
	if (!state.is_buffering || state.buffer->len > LOG_BUFFER_BYTES ||
	    (level & G_LOG_FLAG_FATAL))
		log_flush();
	return G_LOG_WRITER_HANDLED;
}

void log_init(enum log_format format, const char *process)
{
	static bool writer_is_set;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	state.format = format;
	g_strlcpy(state.process, process, sizeof(state.process));
	if (!writer_is_set)
		g_log_set_writer_func(handle_log_line, NULL, NULL);
	writer_is_set = true;
	if (format != LOG_FORMAT_NONE && flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void log_set_budget(unsigned int lines, unsigned int bytes)
{
	state.lines_per_s = lines ? lines : state.lines_per_s;
	state.bytes_per_s = bytes ? bytes : state.bytes_per_s;
}

/* Logs one log.suppressed for each event of which lines were dropped. */
static void report_left_out(void)
{
	state.has_left_out = false;
	state.is_reporting_left_out = true;
	for (unsigned int i = 0; i < EVENT_NUMBERS; i++) {
		struct log_rate *rate = &state.rates[i];

		if (rate->left_out)
			log_event(EV_LOG_SUPPRESSED,
				  LOG_STR("event",
					  log_event_name((enum event)(
						  i + EVENT_NUMBER_FIRST))),
				  LOG_INT("lines", rate->left_out));
		counters.log_lines_left_out += rate->left_out;
		rate->left_out = 0;
	}
	state.is_reporting_left_out = false;
}

/* Sets the share of requests that is logged in this second, from the number of
 * ROUTINE lines that the last second had. */
static void adapt_routine_sample_rate(void)
{
	double allowed = state.lines_per_s * LOG_ROUTINE_SHARE;
	double wanted = state.routine_lines_wanted;

	state.routine_sample_rate = wanted > allowed ? allowed / wanted : 1.0;
	state.routine_lines_wanted = 0;
}

static void begin_second(int64_t second)
{
	state.second = second;
	state.lines = 0;
	state.bytes = 0;
	for (unsigned int i = 0; i < EVENT_NUMBERS; i++)
		state.rates[i].lines = 0;
	adapt_routine_sample_rate();
	if (state.has_left_out)
		report_left_out();
}

static const char *find_trace(const struct log_field *fields)
{
	for (; fields->key; fields++) {
		if (fields->text && strcmp(fields->key, LOG_TRACE_KEY) == 0)
			return fields->text;
	}
	return NULL;
}

/* Every daemon samples by the same hash of the trace id. A daemon with a smaller
 * share logs a subset of the requests that the others log. */
static bool trace_is_sampled(const char *trace)
{
	return !trace || g_str_hash(trace) * 2654435761u <=
				 state.routine_sample_rate * (double)G_MAXUINT32;
}

static bool has_budget(double share)
{
	return state.lines < state.lines_per_s * share &&
	       state.bytes < state.bytes_per_s * share;
}

/* Also counts the lines of class ROUTINE. */
static bool check_class_budget(enum event id, const struct log_field *fields)
{
	const struct log_rate *rate =
		&state.rates[(unsigned int)id % EVENT_NUMBERS];

	switch (log_event_class(id)) {
	case LOG_CLASS_BELIEF:
		return has_budget(1.0) && rate->lines < BELIEF_LINES_PER_S;
	case LOG_CLASS_FAILURE:
		return has_budget(LOG_FAILURE_SHARE);
	case LOG_CLASS_ROUTINE:
		state.routine_lines_wanted++;
		return trace_is_sampled(find_trace(fields)) &&
		       has_budget(LOG_ROUTINE_SHARE);
	}
	return true;
}

/* RETURN VALUE: false if the line must be left out, because the budget of its class
 * or event for this second is spent or because its trace is not sampled. */
static bool take_budget(enum event id, const struct log_field *fields)
{
	struct log_rate *rate = &state.rates[(unsigned int)id % EVENT_NUMBERS];
	int64_t second = clock_mono_us() / US_PER_S;

	if (state.second != second && !state.is_reporting_left_out)
		begin_second(second);
	if (id == EV_LOG_SUPPRESSED || check_class_budget(id, fields)) {
		rate->lines++;
		state.lines++;
		return true;
	}
	rate->left_out++;
	state.has_left_out = true;
	return false;
}

void log_event_fields(enum event id, const struct log_field *fields)
{
	char *line;

	if (state.format == LOG_FORMAT_NONE || !take_budget(id, fields))
		return;
	line = state.format == LOG_FORMAT_JSON ? render_json(id, fields) :
						 render_text(id, fields);
	state.bytes += (unsigned int)strlen(line) + 1;
	counters.log_lines++;
	g_log_structured("comfreydock", G_LOG_LEVEL_MESSAGE, "MESSAGE", "%s",
			 line);
	g_free(line);
}
