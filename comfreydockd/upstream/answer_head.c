#include "comfreydockd/upstream/answer_head.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

void answer_head_init(struct answer_head *head, const struct headers *headers)
{
	head->headers = headers;
	http_head_init(&head->message);
	fields_init(&head->fields);
	head->idle_timeout_s = 0;
}

void answer_head_finish(struct answer_head *head)
{
	fields_finish(&head->fields);
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

/* Parses a Keep-Alive value such as "timeout=10, max=100". */
static void head_note_keep_alive(struct answer_head *head, const char *value)
{
	const char *timeout = strstr(value, "timeout=");

	if (timeout)
		head->idle_timeout_s = (long)g_ascii_strtoll(
			timeout + strlen("timeout="), NULL, 10);
}

static bool head_add_field(struct answer_head *head,
			   const struct http_head_field *field)
{
	const struct headers *headers = head->headers;

	if (is_identity(headers, field->name) &&
	    fields_find(&head->fields, field->name)) {
		head->message.fault = "a field of the answer's identity twice";
		return false;
	}
	if (strcasecmp(field->name, "Keep-Alive") == 0)
		head_note_keep_alive(head, field->value);
	if (strcasecmp(field->name, headers->trace) == 0)
		fields_add(&head->fields, field->name, field->value);
	else
		fields_add_forwarded(&head->fields, headers, field->name,
				     field->value);
	return true;
}

bool answer_head_add_line(struct answer_head *head, const char *bytes, size_t size)
{
	struct http_head_field field;
	bool is_good;
	char *line;

	if (!http_head_count_line(&head->message, size))
		return false;
	line = http_head_dup_line(bytes, size);
	is_good = http_head_take_line(&head->message, line, &field);
	if (is_good && field.name)
		is_good = head_add_field(head, &field);
	/* What came with an interim answer is not of the final one. */
	if (is_good && !head->message.status)
		fields_finish(&head->fields);
	g_free(line);
	return is_good;
}
