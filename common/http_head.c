#include "common/http_head.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#define PROTOCOL "HTTP/1."
/* The shortest status line is "HTTP/1.1 200". */
#define STATUS_LINE_MIN 12
#define MINOR_OFFSET 7
#define CODE_OFFSET 9
#define STATUS_SWITCHING 101
#define STATUS_FINAL_MIN 200
/* RFC 9110, section 15: other values are invalid. */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define LENGTH "Content-Length"
#define CODING "Transfer-Encoding"
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

static bool head_fail(struct http_head *head, const char *fault)
{
	head->fault = fault;
	return false;
}

void http_head_init(struct http_head *head)
{
	*head = (struct http_head){.length = -1};
}

bool http_head_count_line(struct http_head *head, size_t size)
{
	if (!head->is_complete) {
		head->head_bytes += size;
		return head->head_bytes <= HTTP_HEAD_MAX_BYTES ||
		       head_fail(head, "a head that is too large");
	}
	head->trailer_bytes += size;
	return head->trailer_bytes <= HTTP_TRAILERS_MAX_BYTES ||
	       head_fail(head, "a trailer section that is too large");
}

char *http_head_dup_line(const char *bytes, size_t size)
{
	if (size > 0 && bytes[size - 1] == '\n') {
		size--;
		size -= size > 0 && bytes[size - 1] == '\r';
	}
	return g_strndup(bytes, size);
}

/* RETURN VALUE: whether the text begins with a status line. */
static bool begins_with_status(const char *text)
{
	const char *minor = text + MINOR_OFFSET;
	const char *code = text + CODE_OFFSET;

	return strncasecmp(text, PROTOCOL, strlen(PROTOCOL)) == 0 &&
	       strnlen(text, STATUS_LINE_MIN) == STATUS_LINE_MIN &&
	       (*minor == '0' || *minor == '1') && minor[1] == ' ' &&
	       g_ascii_isdigit(code[0]) && g_ascii_isdigit(code[1]) &&
	       g_ascii_isdigit(code[2]) && (code[3] == '\0' || code[3] == ' ');
}

static bool contains_status(const char *text)
{
	while ((text = strcasestr(text, PROTOCOL))) {
		if (begins_with_status(text))
			return true;
		text++;
	}
	return false;
}

bool http_is_token(const char *text, size_t size)
{
	for (size_t i = 0; i < size; i++) {
		if (!g_ascii_isalnum(text[i]) && !strchr(TOKEN_MARKS, text[i]))
			return false;
	}
	return size > 0;
}

bool http_is_value(const char *text)
{
	for (; *text; text++) {
		if (g_ascii_iscntrl(*text) && *text != '\t')
			return false;
	}
	return true;
}

static bool head_add_status(struct http_head *head, const char *line)
{
	if (head->status)
		return head_fail(head, "a second status line");
	if (!begins_with_status(line))
		return head_fail(head, "no status line");
	if (contains_status(line + 1))
		return head_fail(head, "a status line within a line");
	head->status =
		(unsigned int)g_ascii_strtoull(line + CODE_OFFSET, NULL, 10);
	if (head->status < STATUS_MIN || head->status > STATUS_MAX)
		return head_fail(head, "an invalid status");
	/* Upgrade isn't forwarded. libcurl takes what follows for a body. */
	if (head->status == STATUS_SWITCHING)
		return head_fail(head, "a switch of protocols");
	return true;
}

static bool is_framing(const char *name)
{
	return strcasecmp(name, LENGTH) == 0 || strcasecmp(name, CODING) == 0;
}

/* Where two fields state the end of the body, sender and receiver may follow
 * different ones. */
static bool head_note_framing(struct http_head *head, const char *name,
			      const char *value)
{
	guint64 length = 0;

	if (strcasecmp(name, CODING) == 0) {
		if (head->has_coding || strcasecmp(value, "chunked") != 0)
			return head_fail(head, "a transfer coding not known");
		head->has_coding = true;
	} else if (strcasecmp(name, LENGTH) == 0) {
		if (head->length >= 0)
			return head_fail(head, "a second length");
		if (!g_ascii_string_to_unsigned(value, 10, 0, G_MAXINT64,
						&length, NULL))
			return head_fail(head, "a length that is no number");
		head->length = (int64_t)length;
	}
	if (head->has_coding && head->length >= 0)
		return head_fail(head, "a length beside a transfer coding");
	return true;
}

/* Removes blanks at both ends, but no carriage return, which libcurl may take for
 * the end of the line. */
static char *strip_blanks(char *text)
{
	size_t size;

	text += strspn(text, " \t");
	size = strlen(text);
	while (size > 0 && (text[size - 1] == ' ' || text[size - 1] == '\t'))
		size--;
	text[size] = '\0';
	return text;
}

/* RETURN VALUE: the end of the field's name, without white space before the
 * colon. */
static char *trim_name(char *name, char *colon)
{
	while (colon > name && (colon[-1] == ' ' || colon[-1] == '\t'))
		colon--;
	return colon;
}

static bool head_split_field(struct http_head *head, char *line,
			     struct http_head_field *field)
{
	char *colon = strchr(line, ':');
	char *name_end;

	if (!head->status)
		return head_fail(head, "no status line");
	if (!colon)
		return head_fail(head, "a line that is no field");
	name_end = trim_name(line, colon);
	if (!http_is_token(line, (size_t)(name_end - line)))
		return head_fail(head, "a line that is no field");
	field->value = strip_blanks(colon + 1);
	*name_end = '\0';
	field->name = line;
	/* libcurl passes such a field over. */
	if (name_end != colon && is_framing(line))
		return head_fail(head, "white space in a field of the framing");
	if (!http_is_value(field->value))
		return head_fail(head, "a control character in a field");
	if (contains_status(field->value))
		return head_fail(head, "a status line within a line");
	return head_note_framing(head, field->name, field->value);
}

static bool head_end(struct http_head *head)
{
	size_t head_bytes = head->head_bytes;

	if (!head->status)
		return head_fail(head, "no status line");
	if (head->status < STATUS_FINAL_MIN) {
		http_head_init(head);
		head->head_bytes = head_bytes;
	} else {
		head->is_complete = true;
	}
	return true;
}

bool http_head_take_line(struct http_head *head, char *line,
			 struct http_head_field *field)
{
	*field = (struct http_head_field){.name = NULL};
	if (head->fault)
		return false;
	if (head->is_complete) /* a trailer */
		return true;
	if (!*line)
		return head_end(head);
	if (strncasecmp(line, "HTTP/", strlen("HTTP/")) == 0)
		return head_add_status(head, line);
	return head_split_field(head, line, field);
}
