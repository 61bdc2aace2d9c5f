#include "comfreydockd/config/store_internal.h"

#include "common/clock.h"
#include "common/log.h"

uint64_t config_store_head(const struct config_store *store)
{
	return store->head;
}

uint64_t config_store_known_head(const struct config_store *store)
{
	return store->known_head;
}

int64_t config_store_superseded_us(const struct config_store *store, uint64_t head)
{
	return head_history_superseded_us(&store->history, head, clock_mono_us());
}

uint64_t config_store_required_head(const struct config_store *store)
{
	int64_t named_age_us = clock_boot_us() - store->held_head_us;

	if (!store->ready || store->held_head <= store->head ||
	    named_age_us > CONFIG_HEAD_NAMED_MAX_AGE_US ||
	    config_store_superseded_us(store, store->head) < CONFIG_STALE_AFTER_US)
		return 0;
	return store->held_head;
}

int64_t config_store_confirmed_age_us(const struct config_store *store)
{
	return store->is_confirmed ?
		       MAX(clock_boot_us() - store->confirmed_us, 0) :
		       -1;
}

void config_store_expect_confirmation(struct config_store *store)
{
	store->expects_confirmation = true;
	store->expects_since_us = clock_boot_us();
}

/* RETURN VALUE: the time since the platform last confirmed the head, or since
 * config_store_expect_confirmation(); -1 if there is no platform to confirm it. */
static int64_t unconfirmed_us(const struct config_store *store)
{
	if (!store->is_confirmed && store->expects_confirmation)
		return clock_boot_us() - store->expects_since_us;
	return config_store_confirmed_age_us(store);
}

enum config_doubt config_store_get_doubt(const struct config_store *store)
{
	if (store->known_head > store->head || config_store_has_missing(store))
		return CONFIG_DOUBT_BEHIND;
	if (unconfirmed_us(store) > CONFIG_CONFIRMED_MAX_AGE_US)
		return CONFIG_DOUBT_UNCONFIRMED;
	return CONFIG_DOUBT_NONE;
}

void store_note_confirmed_at(struct config_store *store, int64_t as_of_us)
{
	store->confirmed_us = store->is_confirmed ?
				      MAX(store->confirmed_us, as_of_us) :
				      as_of_us;
	store->is_confirmed = true;
}

void config_store_note_confirmed(struct config_store *store, uint64_t head,
				 int64_t age_us)
{
	int64_t as_of_us = clock_boot_us() - age_us;

	if (head <= store->head) {
		store_note_confirmed_at(store, as_of_us);
	} else if (head > store->pending_head) {
		store->pending_head = head;
		store->pending_confirmed_us = as_of_us;
	} else if (head == store->pending_head) {
		store->pending_confirmed_us =
			MAX(store->pending_confirmed_us, as_of_us);
	}
}

void store_note_known_head(struct config_store *store, uint64_t head)
{
	if (head < store->known_head)
		return;
	store->known_head = head;
	store->known_head_us = clock_boot_us();
	head_history_note(&store->history, head, clock_mono_us());
}

static void note_held_head(struct config_store *store, uint64_t head)
{
	if (head < store->held_head)
		return;
	store->held_head = head;
	store->held_head_us = clock_boot_us();
}

/* Drops the heads above the newest one, and the listing of such a head. See
 * config_store_note_newest() for how they arise. */
static void drop_heads_above(struct config_store *store, uint64_t head)
{
	log_event(EV_CONFIG_HEAD_DROPPED,
		  LOG_INT("known_head", store->known_head),
		  LOG_INT("newest", head), LOG_INT("head", store->head));
	store->known_head = head;
	store->held_head = MIN(store->held_head, head);
	head_history_drop_above(&store->history, head);
	store->pending_head = MIN(store->pending_head, head);
	if (store->listed_head > head) {
		store->listed_head = store->head;
		g_array_set_size(store->listing, 0);
	}
}

void config_store_note_newest(struct config_store *store, uint64_t head,
			      int64_t asked_us)
{
	uint64_t highest = MAX(head, store->head);

	config_store_note_confirmed(store, head, clock_boot_us() - asked_us);
	if (store->known_head > highest && store->known_head_us < asked_us)
		drop_heads_above(store, highest);
}

void config_store_note_head(struct config_store *store, uint64_t head,
			    const char *from_host)
{
	if (!from_host)
		config_store_note_confirmed(store, head, 0);
	if (head <= store->head && store->ready)
		return;
	if (head > store->known_head && store->ready)
		log_event(EV_CONFIG_BEHIND, LOG_INT("head", store->head),
			  LOG_INT("known_head", head),
			  LOG_STR("from", from_host ? from_host : ""));
	store_note_known_head(store, head);
	if (from_host)
		note_held_head(store, head);
	for (size_t i = 0; i < store->observer_count; i++) {
		struct config_store_observer *observer = &store->observers[i];

		if (observer->handle_behind)
			observer->handle_behind(head, from_host, observer->data);
	}
}
