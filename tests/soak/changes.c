#include "changes.h"

void changes_init(struct changes *changes)
{
	g_mutex_init(&changes->lock);
	changes->all = g_array_new(FALSE, FALSE, sizeof(struct change));
}

void changes_finish(struct changes *changes)
{
	g_array_unref(changes->all);
	g_mutex_clear(&changes->lock);
}

static guint note_sent(struct changes *changes, unsigned int version)
{
	struct change change = {
		.version = version,
		.sent_us = g_get_monotonic_time(),
		.acked_us = INT64_MAX,
	};
	guint number;

	g_mutex_lock(&changes->lock);
	g_array_append_val(changes->all, change);
	number = changes->all->len - 1;
	g_mutex_unlock(&changes->lock);
	return number;
}

static void note_acked(struct changes *changes, guint number)
{
	g_mutex_lock(&changes->lock);
	g_array_index(changes->all, struct change, number).acked_us =
		g_get_monotonic_time();
	g_mutex_unlock(&changes->lock);
}

void changes_put(struct changes *changes, const struct fleet *fleet,
		 unsigned int version)
{
	const char *prefixes[CHANGES_ROUTE_LIFE + 2] = {"list"};
	char names[CHANGES_ROUTE_LIFE][16];
	guint number = note_sent(changes, version);
	unsigned int count = 1;

	for (unsigned int i = 0; i < CHANGES_ROUTE_LIFE && i < version; i++) {
		g_snprintf(names[i], sizeof(names[i]), "v%u", version - i);
		prefixes[count++] = names[i];
	}
	fleet_put_routes(fleet, version, prefixes);
	note_acked(changes, number);
}

unsigned int changes_latest(struct changes *changes)
{
	unsigned int latest = 0;

	g_mutex_lock(&changes->lock);
	for (guint i = 0; i < changes->all->len; i++)
		latest = MAX(
			latest,
			g_array_index(changes->all, struct change, i).version);
	g_mutex_unlock(&changes->lock);
	return latest;
}

bool changes_has_route(unsigned int version, unsigned int route)
{
	return route == CHANGES_LASTING_ROUTE ||
	       (version >= route && version < route + CHANGES_ROUTE_LIFE);
}
