#include "comfreydockd/caller/head.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#define HTTP_SCHEME "http://"

static bool is_token(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++) {
		if (!g_ascii_isalnum(*text) && !strchr("!#$%&'*+-.^_`|~", *text))
			return false;
	}
	return true;
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

bool head_field_is_valid(const char *name, const char *value)
{
	return is_token(name) && is_value(value);
}

static bool is_target(const char *text)
{
	for (; *text; text++) {
		if (!g_ascii_isgraph(*text) || *text == '#')
			return false;
	}
	return true;
}

static bool is_authority(const char *text)
{
	for (; *text; text++) {
		if (!g_ascii_isalnum(*text) && !strchr("-._~:[]%", *text))
			return false;
	}
	return true;
}

static void head_split_absolute(struct head *head, const char *rest)
{
	size_t length = strcspn(rest, "/?");

	if (length == 0)
		return;
	head->authority = g_strndup(rest, length);
	rest += length;
	head->target = g_strconcat(*rest == '/' ? "" : "/", rest, NULL);
}

void head_init(struct head *head, const char *target)
{
	memset(head, 0, sizeof(*head));
	fields_init(&head->fields);
	if (!is_target(target))
		return;
	if (*target == '/')
		head->target = g_strdup(target);
	else if (g_ascii_strncasecmp(target, HTTP_SCHEME, strlen(HTTP_SCHEME)) ==
		 0)
		head_split_absolute(head, target + strlen(HTTP_SCHEME));
	if (head->authority)
		fields_add(&head->fields, "Host", head->authority);
}

void head_finish(struct head *head)
{
	fields_finish(&head->fields);
	g_free(head->target);
	g_free(head->authority);
}

void head_add_field(struct head *head, const char *name, const char *value)
{
	const char *text = value ? value : "";

	head->has_bad_field |= !head_field_is_valid(name, text);
	if (strcasecmp(name, "Content-Length") == 0) {
		head->length_count++;
		head->has_body |= strcmp(text, "0") != 0;
	} else if (strcasecmp(name, "Transfer-Encoding") == 0) {
		head->coding_count++;
		head->has_body = true;
		head->has_bad_field |= strcasecmp(text, "chunked") != 0;
	} else if (strcasecmp(name, "Host") == 0) {
		head->host_count++;
		head->has_bad_field |= !is_authority(text);
		if (head->authority)
			return; /* the target's host takes precedence */
	}
	fields_add(&head->fields, name, value);
}

const char *head_fault(const struct head *head, const char *method,
		       bool is_http_1_0)
{
	if (!is_token(method) || strcmp(method, "CONNECT") == 0)
		return "the method is not served";
	if (!head->target || (head->authority && !is_authority(head->authority)))
		return "the target can't be read";
	if (head->has_bad_field)
		return "a field can't be read";
	if (head->length_count + head->coding_count > 1 ||
	    (is_http_1_0 && head->coding_count))
		return "the end of the request can't be told";
	if (head->host_count > 1 || (!is_http_1_0 && head->host_count == 0))
		return "one Host field is needed";
	return NULL;
}

const char *head_host(const struct head *head)
{
	return fields_find(&head->fields, "Host");
}
