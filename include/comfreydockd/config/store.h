/*
 * NAME
 *	config_store - the configuration in force in this daemon
 *
 * DESCRIPTION
 *	Holds the current snapshot and adopts only a higher version of each
 *	namespace, never a lower one, whatever its source. A request in flight
 *	holds its own reference to the snapshot it began with.
 *
 *	The head counts all applies of all namespaces. A higher head, heard by
 *	gossip or read from the platform's row, shows that something is missing;
 *	a listing shows what. The store sends no queries itself: it calls
 *	handle_behind and waits for listings and offers.
 */
#ifndef COMFREYDOCKD_CONFIG_STORE_H
#define COMFREYDOCKD_CONFIG_STORE_H

#include <stddef.h>

#include "comfreydockd/config/model.h"
#include "common/findings.h"

struct config_store;

struct config_store_observer {
	/* Called when a new snapshot is in force. */
	void (*handle_changed)(struct config_snapshot *snapshot, void *data);
	/* Called by config_store_note_head() each time that from_host, or the
	 * platform if it is NULL, has a head above the one held here, or any
	 * head while the store is not ready. So a failed fetch is retried at
	 * the next such report. */
	void (*handle_behind)(uint64_t head, const char *from_host, void *data);
	void *data;
};

enum config_offer {
	CONFIG_OFFER_ADOPTED,
	CONFIG_OFFER_NOT_NEWER,
	CONFIG_OFFER_BAD_HASH, /* the body does not match its hash */
	CONFIG_OFFER_BAD_CONTENT,
};

/*
 * The platform confirms to a daemon with a watch that a head is the newest, and
 * the other daemons get the confirmation from those. Their watches end after
 * 30 s without a change, all at about the same time, and a lost watch is noticed
 * 2 s later. If a daemon gets no confirmation for this long, no daemon nearby
 * reaches the platform.
 */
#define CONFIG_CONFIRMED_MAX_AGE_US ((int64_t)60 * 1000 * 1000)

/* A change has usually been adopted everywhere after this time. A daemon that
 * still lacks it must not run requests by the rules that it removed. */
#define CONFIG_STALE_AFTER_US ((int64_t)1500 * 1000)

/* A version that is being fetched has usually arrived after this time. */
#define CONFIG_BEHIND_COME_BACK_MS 300

/* A head that no daemon has named as its own for this long may be out of reach:
 * those that hold it are gone or cut off. */
#define CONFIG_HEAD_NAMED_MAX_AGE_US ((int64_t)3 * 1000 * 1000)

/* Why the configuration held here may not be the one in force. */
enum config_doubt {
	CONFIG_DOUBT_NONE,
	CONFIG_DOUBT_BEHIND, /* a higher head is known but not reached */
	CONFIG_DOUBT_UNCONFIRMED, /* not confirmed for CONFIG_CONFIRMED_MAX_AGE_US */
};

/* One line of a listing. */
struct config_version {
	const char *name; /* of the namespace */
	uint64_t version;
	char sha256[65];
	uint64_t at; /* the head at which it was applied; 0: not known */
};

/* RETURN VALUE: an empty array of struct config_version that owns its names. */
GArray *config_versions_create(void);

struct config_store *config_store_create(void);
void config_store_destroy(struct config_store *store);

/* At most four. */
void config_store_observe(struct config_store *store,
			  const struct config_store_observer *observer);

/* Puts a file in force as version 0, until a higher version of its namespace is
 * adopted. The file is only checked if a version of the namespace is already in
 * force.
 *
 * RETURN VALUE
 *	false if findings has errors. */
bool config_store_load_file(struct config_store *store, const char *file,
			    struct findings *findings);

/* RETURN VALUE: the current snapshot, never NULL. The store owns it; take a
 * reference to keep it. */
struct config_snapshot *config_store_current(const struct config_store *store);

/*
 * False after the start until the daemon has reached a head, which may be 0, or
 * has loaded a file. Until then requests are refused as not run. Without this,
 * a daemon with nothing in force would answer that every service does not
 * exist.
 */
bool config_store_is_ready(const struct config_store *store);

/* RETURN VALUE: whether this version of a namespace, or a higher one, is in
 * force. */
bool config_store_holds(const struct config_store *store, const char *name,
			uint64_t version);

/* The head up to which everything is held here. */
uint64_t config_store_head(const struct config_store *store);

/* The highest head heard of. */
uint64_t config_store_known_head(const struct config_store *store);

/* RETURN VALUE: the time since a head above this one became known here, see
 * head_history_superseded_us(). */
int64_t config_store_superseded_us(const struct config_store *store,
				   uint64_t head);

/*
 * RETURN VALUE
 *	the head that another daemon must hold to confirm that a rule held here
 *	is in force. 0: no confirmation is needed, because no higher head has
 *	been known for CONFIG_STALE_AFTER_US, or because no daemon in reach
 *	holds it. A host that is cut off goes on with the rules that it has.
 */
uint64_t config_store_required_head(const struct config_store *store);

/* RETURN VALUE: the monotonic time at which a version was last adopted; 0:
 * never. */
int64_t config_store_adopted_us(const struct config_store *store);

/* Marks the time in which a received version is parsed and adopted, which takes
 * several loop iterations. Nothing needs to be fetched meanwhile. */
void config_store_begin_adoption(struct config_store *store);
void config_store_end_adoption(struct config_store *store);
bool config_store_is_adopting(const struct config_store *store);

/* RETURN VALUE: the monotonic time at which a version or a piece last
 * arrived. */
int64_t config_store_progress_us(const struct config_store *store);
void config_store_note_piece(struct config_store *store);

/*
 * RETURN VALUE
 *	the time since the platform last confirmed that no head above the one
 *	held here exists; peers pass such a confirmation on with its age. -1: it
 *	was never confirmed.
 */
int64_t config_store_confirmed_age_us(const struct config_store *store);

/* Declares that a platform exists which confirms the head. If no confirmation
 * comes within CONFIG_CONFIRMED_MAX_AGE_US from now, the configuration is in doubt, as
 * it is with an old confirmation. */
void config_store_expect_confirmation(struct config_store *store);

/*
 * Notes that the platform, asked at the boot time asked_us, answered that head
 * is the newest. A higher head heard of before asked_us is dropped with its
 * listing, unless this store has reached it: its row was rolled back before any
 * daemon had it, or a peer was wrong, so no peer would ever provide it. A daemon
 * that holds it will name it again.
 */
void config_store_note_newest(struct config_store *store, uint64_t head,
			      int64_t asked_us);

/* Notes that the platform confirmed age_us ago that head was the newest. If this
 * store has not reached the head, the confirmation counts once it has. */
void config_store_note_confirmed(struct config_store *store, uint64_t head,
				 int64_t age_us);

/* RETURN VALUE: whether and why a newer configuration may be in force
 * elsewhere, so that a request without a rule here may have one there. */
enum config_doubt config_store_get_doubt(const struct config_store *store);

/* Notes a head that a host named. from_host NULL: the platform named it just
 * now, which also confirms it. Calls handle_behind if this store has not reached
 * the head or is not ready. */
void config_store_note_head(struct config_store *store, uint64_t head,
			    const char *from_host);

/*
 * Notes the versions in force at a head: all of them, or those that changed
 * above the head that this store has reached. Once each listed version, or a
 * higher one, is adopted, the store has reached the head.
 */
void config_store_note_listing(struct config_store *store, uint64_t head,
			       const struct config_version *versions,
			       size_t count);

/* RETURN VALUE: an array of struct config_version with the versions of the last
 * listing that this store lacks; free it with g_array_unref(). The store owns
 * the names, which are valid until the next listing. */
GArray *config_store_missing(const struct config_store *store);

/* RETURN VALUE: whether config_store_missing() would return any version. */
bool config_store_has_missing(const struct config_store *store);

/* RETURN VALUE: an array as of config_store_missing() with all versions held
 * here. This daemon sends it to peers as its listing. */
GArray *config_store_held_versions(const struct config_store *store);

/* Offers a body whose hash this daemon has computed itself. */
enum config_offer config_store_offer_trusted(struct config_store *store,
					     const struct config_version *version,
					     const char *body);

/* Offers a body that came with its hash from elsewhere; the hash is
 * verified. */
enum config_offer config_store_offer(struct config_store *store, const char *name,
				     uint64_t version, const char *sha256,
				     const char *body, size_t size);

#endif
