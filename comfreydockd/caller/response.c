#include "comfreydockd/caller/response.h"

#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/clock.h"

#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

static void write_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

static void write_field(GByteArray *out, const char *name, const char *value)
{
	write_text(out, name);
	write_text(out, ": ");
	write_text(out, value);
	write_text(out, "\r\n");
}

static void write_status_line(GByteArray *out, unsigned int status)
{
	char line[64];

	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
		   http_status_str((enum http_status)status));
	write_text(out, line);
}

/* Doesn't use strftime(), which writes the days in the locale's language. */
static void write_date(GByteArray *out)
{
	static const char *const days[] = {"Sun", "Mon", "Tue", "Wed",
					   "Thu", "Fri", "Sat"};
	static const char *const months[] = {"Jan", "Feb", "Mar", "Apr",
					     "May", "Jun", "Jul", "Aug",
					     "Sep", "Oct", "Nov", "Dec"};
	time_t now = (time_t)(clock_wall_us() / US_PER_S);
	char text[64];
	struct tm at;

	gmtime_r(&now, &at);
	g_snprintf(text, sizeof(text), "%s, %02d %s %04d %02d:%02d:%02d GMT",
		   days[at.tm_wday], at.tm_mday, months[at.tm_mon],
		   at.tm_year + 1900, at.tm_hour, at.tm_min, at.tm_sec);
	write_field(out, "Date", text);
}

bool response_has_body(unsigned int status, bool is_head_method)
{
	return !is_head_method && status != STATUS_NO_CONTENT &&
	       status != STATUS_NOT_MODIFIED;
}

enum response_framing response_framing_of(const struct response_head *head)
{
	if (!response_has_body(head->status, head->is_head_method))
		return RESPONSE_NO_BODY;
	if (head->length >= 0)
		return RESPONSE_LENGTH;
	return head->is_http_1_0 ? RESPONSE_UNTIL_CLOSE : RESPONSE_CHUNKED;
}

static void write_framing(GByteArray *out, const struct response_head *head,
			  enum response_framing framing)
{
	char text[24];

	if (head->length >= 0 && head->status != STATUS_NO_CONTENT) {
		g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, head->length);
		write_field(out, "Content-Length", text);
	}
	if (framing == RESPONSE_CHUNKED)
		write_field(out, "Transfer-Encoding", "chunked");
	if (head->closes || framing == RESPONSE_UNTIL_CLOSE)
		write_field(out, "Connection", "close");
	else if (head->is_http_1_0)
		write_field(out, "Connection", "keep-alive");
}

void response_write_head(GByteArray *out, const struct response_head *head,
			 enum response_framing framing)
{
	write_status_line(out, head->status);
	if (!fields_find(head->fields, "Date"))
		write_date(out);
	for (size_t i = 0; i < head->fields->count; i++)
		write_field(out, head->fields->items[i]->name,
			    head->fields->items[i]->value);
	write_framing(out, head, framing);
	write_text(out, "\r\n");
}

void response_write_body(GByteArray *out, enum response_framing framing,
			 const uint8_t *bytes, size_t size)
{
	char line[24];

	if (framing == RESPONSE_NO_BODY || size == 0)
		return;
	if (framing == RESPONSE_CHUNKED) {
		g_snprintf(line, sizeof(line), "%zx\r\n", size);
		write_text(out, line);
	}
	g_byte_array_append(out, bytes, (guint)size);
	if (framing == RESPONSE_CHUNKED)
		write_text(out, "\r\n");
}

void response_write_end(GByteArray *out, enum response_framing framing)
{
	if (framing == RESPONSE_CHUNKED)
		write_text(out, "0\r\n\r\n");
}

void response_write_continue(GByteArray *out)
{
	write_text(out, "HTTP/1.1 100 Continue\r\n\r\n");
}
