#include "comfreydockd/peer/fields.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#include "common/http_head.h"

#define FIRST_CAPACITY 16

struct name {
	const char *text;
	size_t length;
};

/* clang-format off */
#define NAME(text) {text, sizeof(text) - 1}
/* clang-format on */

static const struct name not_forwarded[] = {
	NAME("Connection"),
	NAME("Content-Length"), /* the frames carry the length */
	NAME("Expect"),
	NAME("Keep-Alive"),
	NAME("Proxy-Authenticate"),
	NAME("Proxy-Authorization"),
	NAME("Proxy-Connection"),
	NAME("TE"),
	NAME("Trailer"),
	NAME("Transfer-Encoding"),
	NAME("Upgrade"),
	NAME(FIELD_OUTCOME),
	NAME(FIELD_REASON),
	NAME(FIELD_RETRY_AFTER_MS),
};

const struct headers headers_own = {
	.trace = "Comfreydock-Trace",
	.deadline_ms = "Comfreydock-Deadline-Ms",
	.depth = "Comfreydock-Depth",
};

void fields_init(struct fields *fields)
{
	fields->items = NULL;
	fields->count = 0;
	fields->capacity = 0;
}

void fields_finish(struct fields *fields)
{
	for (size_t i = 0; i < fields->count; i++) {
		g_free(fields->items[i]->name);
		g_free(fields->items[i]->value);
		g_free(fields->items[i]);
	}
	g_free(fields->items);
	fields_init(fields);
}

void fields_add(struct fields *fields, const char *name, const char *value)
{
	Cfd__Header *header = g_new(Cfd__Header, 1);

	cfd__header__init(header);
	header->name = g_strdup(name);
	header->value = g_strdup(value ? value : "");
	if (fields->count == fields->capacity) {
		fields->capacity = MAX(FIRST_CAPACITY, fields->capacity * 2);
		fields->items =
			g_renew(Cfd__Header *, fields->items, fields->capacity);
	}
	fields->items[fields->count++] = header;
}

static bool is_own_header(const struct headers *headers, const char *name)
{
	const char *const own_headers[] = {
		headers->trace,
		headers->deadline_ms,
		headers->depth,
		headers->caller_service,
		headers->expected_instance,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(own_headers); i++) {
		if (own_headers[i] && strcasecmp(name, own_headers[i]) == 0)
			return true;
	}
	return false;
}

bool field_is_not_forwarded(const struct headers *headers, const char *name)
{
	size_t length = strlen(name);

	/* Nearly every field of every call is compared with each name, so the
	 * cheap comparison of the lengths comes first. */
	for (size_t i = 0; i < G_N_ELEMENTS(not_forwarded); i++) {
		if (not_forwarded[i].length == length &&
		    strcasecmp(name, not_forwarded[i].text) == 0)
			return true;
	}
	return is_own_header(headers, name);
}

bool field_is_valid(const char *name, const char *value)
{
	return http_is_token(name, strlen(name)) && http_is_value(value);
}

void fields_add_forwarded(struct fields *fields, const struct headers *headers,
			  const char *name, const char *value)
{
	if (!field_is_not_forwarded(headers, name))
		fields_add(fields, name, value);
}

const char *fields_find(const struct fields *fields, const char *name)
{
	for (size_t i = 0; i < fields->count; i++) {
		if (strcasecmp(fields->items[i]->name, name) == 0)
			return fields->items[i]->value;
	}
	return NULL;
}
