#include "comfreydockd/peer/fields.h"

#include <glib.h>
#include <strings.h>

#define FIRST_CAPACITY 16

static const char *const not_passed[] = {
	"Connection",
	"Content-Length", /* the frames tell the length */
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	FIELD_DEADLINE,
	FIELD_DEPTH,
	FIELD_FIRST_STATUS,
	FIELD_OUTCOME,
	FIELD_REASON,
	FIELD_RETRY_AFTER_MS,
	FIELD_TRACE,
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

bool field_is_hop_by_hop(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(not_passed); i++) {
		if (strcasecmp(name, not_passed[i]) == 0)
			return true;
	}
	return false;
}

void fields_add_passed(struct fields *fields, const char *name, const char *value)
{
	if (!field_is_hop_by_hop(name))
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
