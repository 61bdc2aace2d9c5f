/*
 * NAME
 *	config_store - the configuration in force in this daemon
 *
 * DESCRIPTION
 *	Holds the current snapshot and adopts only a higher version of each
 *	namespace, never a lower one, whoever offers it. A request in flight
 *	keeps the snapshot it began with by a reference of its own.
 *
 *	The head counts all applies of all namespaces. Hearing of a higher
 *	head, from gossip or from the platform's row, tells that something is
 *	missing; a listing tells what. The store asks nobody by itself: it
 *	calls handle_behind and waits for listings and offers.
 */
#ifndef COMFREYDOCKD_CONFIG_STORE_H
#define COMFREYDOCKD_CONFIG_STORE_H

#include <stddef.h>

#include "comfreydockd/config/model.h"
#include "common/findings.h"

struct config_store;

struct config_store_observer {
	/* A new snapshot is in force. */
	void (*handle_changed)(struct config_snapshot *snapshot, void *data);
	/* A head above the one held here is known at from_host, or at the
	 * platform where that is NULL. Called for each such note, so that a
	 * failed fetch is tried anew at the next one. */
	void (*handle_behind)(uint64_t head, const char *from_host, void *data);
	void *data;
};

enum config_offer {
	CONFIG_OFFER_ADOPTED,
	CONFIG_OFFER_NOT_NEWER,
	CONFIG_OFFER_BAD_HASH, /* the body is not what its hash says */
	CONFIG_OFFER_BAD_CONTENT,
};

/*
 * A daemon without a watch of its own hears from those that have one; theirs end
 * after 30 s without news, all about the same time, and a lost one is noticed 2 s
 * later. With nothing heard for this long, nobody near is in touch with the platform.
 */
#define CONFIG_TOLD_MAX_US ((int64_t)60 * 1000 * 1000)

/* Why the configuration held here may not be the one in force. */
enum config_doubt {
	CONFIG_DOUBT_NONE,
	CONFIG_DOUBT_BEHIND, /* a higher head is known of, and not reached */
	CONFIG_DOUBT_UNTOLD, /* for CONFIG_TOLD_MAX_US nobody has told */
};

/* One line of a listing. */
struct config_version {
	const char *name; /* of the namespace */
	uint64_t version;
	char sha256[65];
	uint64_t at; /* the head that this version made; 0: not known */
};

/* RETURN VALUE: an empty array of struct config_version that owns its names. */
GArray *config_versions_create(void);

struct config_store *config_store_create(void);
void config_store_destroy(struct config_store *store);

/* At most four. */
void config_store_observe(struct config_store *store,
			  const struct config_store_observer *observer);

/* RETURN VALUE: false where findings has errors. The file is in force as
 * version 0, until a higher version of its namespace is adopted. */
bool config_store_load_file(struct config_store *store, const char *file,
			    struct findings *findings);

/* RETURN VALUE: the store's; take a reference to keep it. Never NULL. */
struct config_snapshot *config_store_current(const struct config_store *store);

/*
 * False in a daemon that has just started until it has reached some head, be
 * it 0, or has a file. Until then work is refused as not run: with nothing
 * in force every request would be told that its service does not exist.
 */
bool config_store_is_ready(const struct config_store *store);

/* RETURN VALUE: whether this version of a namespace, or a higher one, is in force. */
bool config_store_holds(const struct config_store *store, const char *name,
			uint64_t version);

/* The head up to which everything is held here. */
uint64_t config_store_head(const struct config_store *store);

/* The highest head heard of. */
uint64_t config_store_known_head(const struct config_store *store);

/* When a version was last put in force, of the monotonic clock; 0: never. */
int64_t config_store_adopted_us(const struct config_store *store);

/* A version is here and being read, which takes some turns of the loop: nobody need
 * fetch anything meanwhile. */
void config_store_begin_adoption(struct config_store *store);
void config_store_end_adoption(struct config_store *store);
bool config_store_is_adopting(const struct config_store *store);

/* When a version, or a part of one, last came in, of the monotonic clock. */
int64_t config_store_progress_us(const struct config_store *store);
void config_store_note_piece(struct config_store *store);

/*
 * How long ago nothing newer than the head held here was there, by the word of
 * the platform, passed on by peers with its age. -1: nobody has told.
 */
int64_t config_store_told_age_us(const struct config_store *store);

/* There is a platform whose word is to be had: without one from now on for
 * CONFIG_TOLD_MAX_US, the configuration is in doubt as with an old one. */
void config_store_expect_told(struct config_store *store);

/*
 * The platform's own answer to a question of that boot time: this head is the
 * newest. What was heard of before and is higher is no longer believed: its row was
 * put back before anybody else had it, or a peer was wrong, and nobody would ever
 * bring it. Whoever holds it will name it again.
 */
void config_store_note_newest(struct config_store *store, uint64_t head,
			      int64_t asked_us);

/* age_us ago nothing newer than this head was there. */
void config_store_note_told(struct config_store *store, uint64_t head,
			    int64_t age_us);

/* RETURN VALUE: whether what no rule allows here may be allowed elsewhere. */
enum config_doubt config_store_doubt(const struct config_store *store);

/* from_host: NULL where the platform has just told it. */
void config_store_note_head(struct config_store *store, uint64_t head,
			    const char *from_host);

/*
 * Takes note of what is in force at a head: of everything, or of what has
 * changed above the head that this store has reached. Once each line was adopted at
 * this version or a higher one, the store has reached the head.
 */
void config_store_note_listing(struct config_store *store, uint64_t head,
			       const struct config_version *versions,
			       size_t count);

/* RETURN VALUE: an array of struct config_version that the last listing has
 * and this store lacks; free with g_array_unref(). The names are the store's
 * until the next listing. */
GArray *config_store_missing(const struct config_store *store);

/* RETURN VALUE: whether config_store_missing() would have any. */
bool config_store_has_missing(const struct config_store *store);

/* As config_store_missing(), for all that is held here: what this daemon lists to others. */
GArray *config_store_export(const struct config_store *store);

/* For a body whose hash was made by this daemon itself. */
enum config_offer config_store_offer_trusted(struct config_store *store,
					     const struct config_version *version,
					     const char *body);

/* For a body that came with its hash from elsewhere. */
enum config_offer config_store_offer(struct config_store *store, const char *name,
				     uint64_t version, const char *sha256,
				     const char *body, size_t size);

#endif
