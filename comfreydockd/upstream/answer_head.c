#include "comfreydockd/upstream/answer_head.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#define PROTOCOL "HTTP/1."
/* "HTTP/1.1 200" */
#define STATUS_LINE_MIN 12
#define CODE_OFFSET 9
#define STATUS_SWITCHING 101
#define TOKEN_MARKS "!#$%&'*+-.^_`|~"

static bool head_fail(struct answer_head *head, const char *fault)
{
	head->fault = fault;
	return false;
}

void answer_head_init(struct answer_head *head, const struct headers *headers)
{
	memset(head, 0, sizeof(*head));
	head->headers = headers;
	head->length = -1;
	fields_init(&head->fields);
}

void answer_head_finish(struct answer_head *head)
{
	fields_finish(&head->fields);
}

void answer_head_restart(struct answer_head *head)
{
	answer_head_finish(head);
	answer_head_init(head, head->headers);
}

char *answer_head_dup_line(const char *bytes, size_t size)
{
	if (size > 0 && bytes[size - 1] == '\n')
		size--;
	if (size > 0 && bytes[size - 1] == '\r')
		size--;
	return g_strndup(bytes, size);
}

static bool is_digits(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text);
}

/* RETURN VALUE: whether the text begins with a status line. */
static bool begins_with_status(const char *text)
{
	const char *code = text + CODE_OFFSET;

	return strncasecmp(text, PROTOCOL, strlen(PROTOCOL)) == 0 &&
	       strnlen(text, STATUS_LINE_MIN) == STATUS_LINE_MIN &&
	       (code[-2] == '0' || code[-2] == '1') && code[-1] == ' ' &&
	       g_ascii_isdigit(code[0]) && g_ascii_isdigit(code[1]) &&
	       g_ascii_isdigit(code[2]) && (code[3] == '\0' || code[3] == ' ');
}

static bool contains_status(const char *text)
{
	for (; *text; text++) {
		if (begins_with_status(text))
			return true;
	}
	return false;
}

static bool is_token(const char *text, size_t size)
{
	for (size_t i = 0; i < size; i++) {
		if (!g_ascii_isalnum(text[i]) && !strchr(TOKEN_MARKS, text[i]))
			return false;
	}
	return size > 0;
}

/* A value may have non-ASCII bytes, but no control character except a tab. */
static bool is_value(const char *text)
{
	for (; *text; text++) {
		if (g_ascii_iscntrl(*text) && *text != '\t')
			return false;
	}
	return true;
}

static bool head_add_status(struct answer_head *head, const char *line)
{
	if (head->status)
		return head_fail(head, "a second status line");
	if (!begins_with_status(line) || line[CODE_OFFSET] == '0')
		return head_fail(head, "no status line");
	if (contains_status(line + 1))
		return head_fail(head, "a status line within a line");
	head->status =
		(unsigned int)g_ascii_strtoull(line + CODE_OFFSET, NULL, 10);
	/* Upgrade isn't forwarded. libcurl takes what follows for a body. */
	if (head->status == STATUS_SWITCHING)
		return head_fail(head, "a switch of protocols");
	return true;
}

/* Where two fields tell of the body's end, upstream and daemon may read another
 * one each. */
static bool head_note_framing(struct answer_head *head, const char *name,
			      const char *value)
{
	guint64 length = 0;

	if (strcasecmp(name, "Transfer-Encoding") == 0) {
		if (head->has_coding || strcasecmp(value, "chunked") != 0)
			return head_fail(head, "a transfer coding not known");
		head->has_coding = true;
	} else if (strcasecmp(name, "Content-Length") == 0) {
		if (head->length >= 0)
			return head_fail(head, "a second length");
		if (!is_digits(value) ||
		    !g_ascii_string_to_unsigned(value, 10, 0, G_MAXINT64,
						&length, NULL))
			return head_fail(head, "a length that is no number");
		head->length = (int64_t)length;
	}
	if (head->has_coding && head->length >= 0)
		return head_fail(head, "a length beside a transfer coding");
	return true;
}

/* RETURN VALUE: whether the field tells whose answer it is, or whether the request
 * ran. */
static bool is_identity(const struct headers *headers, const char *name)
{
	const char *const identities[] = {headers->trace, headers->signature,
					  headers->not_run, headers->instance};

	for (size_t i = 0; i < G_N_ELEMENTS(identities); i++) {
		if (identities[i] && strcasecmp(name, identities[i]) == 0)
			return true;
	}
	return false;
}

static bool head_add_field(struct answer_head *head, const char *name,
			   const char *value)
{
	const struct headers *headers = head->headers;

	if (is_identity(headers, name) && fields_find(&head->fields, name))
		return head_fail(head,
				 "a field of the answer's identity twice");
	if (!head_note_framing(head, name, value))
		return false;
	if (strcasecmp(name, headers->trace) == 0)
		fields_add(&head->fields, name, value);
	else
		fields_add_forwarded(&head->fields, headers, name, value);
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

static bool head_add_field_line(struct answer_head *head, char *line)
{
	char *colon = strchr(line, ':');
	char *value;

	if (!head->status)
		return head_fail(head, "no status line");
	if (!colon || !is_token(line, (size_t)(colon - line)))
		return head_fail(head, "a line that is no field");
	*colon = '\0';
	value = strip_blanks(colon + 1);
	if (!is_value(value))
		return head_fail(head, "a control character in a field");
	if (contains_status(value))
		return head_fail(head, "a status line within a line");
	return head_add_field(head, line, value);
}

bool answer_head_add_line(struct answer_head *head, const char *line)
{
	char *copy;

	if (head->fault)
		return false;
	if (strncasecmp(line, "HTTP/", strlen("HTTP/")) == 0)
		return head_add_status(head, line);
	copy = g_strdup(line);
	head_add_field_line(head, copy);
	g_free(copy);
	return !head->fault;
}
