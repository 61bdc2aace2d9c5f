#include "comfreydockd/upstream/unread_fields.h"

#include <glib.h>
#include <strings.h>

#include "common/log.h"

void unread_fields_finish(struct unread_fields *unread)
{
	for (unsigned int i = 0; i < unread->count; i++)
		g_free(unread->names[i]);
	unread->count = 0;
}

static bool is_read(const struct headers *headers, const char *name)
{
	const char *const read[] = {
		headers->trace,	  headers->instance,  headers->not_run,
		headers->load,	  headers->cold_ms,   headers->limit,
		headers->leaving, headers->signature,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(read); i++) {
		if (read[i] && strcasecmp(read[i], name) == 0)
			return true;
	}
	return false;
}

static bool is_logged(const struct unread_fields *unread, const char *name)
{
	for (unsigned int i = 0; i < unread->count; i++) {
		if (strcasecmp(unread->names[i], name) == 0)
			return true;
	}
	return false;
}

void unread_fields_note(struct unread_fields *unread,
			const struct headers *headers,
			const struct fields *answer, const char *trace)
{
	for (size_t i = 0; i < answer->count; i++) {
		const char *name = answer->items[i]->name;

		if (unread->count == UNREAD_FIELDS_MAX)
			return;
		if (is_read(headers, name) || is_logged(unread, name))
			continue;
		unread->names[unread->count++] = g_strdup(name);
		log_event(EV_OWNER_UNREAD_FIELD, LOG_STR("field", name),
			  LOG_STR("trace", trace));
	}
}
