/*
 * NAME
 *	store_internal - state of config_store, shared by config/store*.c
 *
 * DESCRIPTION
 *	store.c holds the listing and the snapshot and adopts versions;
 *	store_heads.c tracks which heads exist, who holds them and when the
 *	platform confirmed the one held here.
 */
#ifndef COMFREYDOCKD_CONFIG_STORE_INTERNAL_H
#define COMFREYDOCKD_CONFIG_STORE_INTERNAL_H

#include "comfreydockd/config/head_history.h"
#include "comfreydockd/config/store.h"

#define OBSERVERS_MAX 4

struct config_store {
	struct config_snapshot *current;
	bool ready;
	uint64_t head; /* everything applied up to it is held here */
	uint64_t known_head; /* the highest heard of, confirmed or not */
	struct head_history history; /* of known_head */
	uint64_t listed_head; /* of listing */
	int64_t adopted_us;
	int64_t progress_us;
	unsigned int adoptions_open; /* begun and not ended */
	bool is_confirmed; /* confirmed_us is valid */
	int64_t confirmed_us; /* boot time at which head was the newest one */
	uint64_t pending_head; /* the highest confirmed but not yet reached */
	int64_t pending_confirmed_us; /* boot time at which it was the newest one */
	bool expects_confirmation;
	int64_t expects_since_us; /* boot time */
	int64_t known_head_us; /* boot time at which it was last heard of */
	uint64_t held_head; /* the highest that another daemon holds */
	int64_t held_head_us; /* boot time at which one last said so */
	GArray *listing; /* the last one; of struct config_version, names owned */
	GHashTable *applied_heads; /* name -> struct applied_head */
	struct config_store_observer observers[OBSERVERS_MAX];
	size_t observer_count;
};

/* store_heads.c */

void store_note_known_head(struct config_store *store, uint64_t head);

/* Notes that the head held here was the newest one at the boot time as_of_us. */
void store_note_confirmed_at(struct config_store *store, int64_t as_of_us);

#endif
