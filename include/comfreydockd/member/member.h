/*
 * NAME
 *	member - table of all daemons in the cluster
 *
 * DESCRIPTION
 *	Holds one record per daemon, which includes the state of its upstream.
 *	Records come from gossip, from the platform's rows and from the
 *	settings; gossip changes their state. A record is soft state: nothing
 *	that needs agreement depends on it, and an owner refuses requests that
 *	were sent to it because of a stale record.
 */
#ifndef COMFREYDOCKD_MEMBER_MEMBER_H
#define COMFREYDOCKD_MEMBER_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#define MEMBER_HOST_MAX 48
#define MEMBER_DOMAIN_MAX 64 /* longest domain or region, with its 0 */
/* Longest group, with its 0. A record has to fit into a packet of gossip. */
#define MEMBER_GROUP_MAX 254
#define MEMBER_ADDRESS_MAX 46

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT,
};

/* State that the upstream on a daemon's host has announced. */
enum member_service_state {
	MEMBER_SERVICE_NONE, /* nothing announced yet */
	MEMBER_SERVICE_UP,
	MEMBER_SERVICE_DRAINING,
};

struct member {
	TAILQ_ENTRY(member) link; /* all members */
	char host[MEMBER_HOST_MAX]; /* the host's id, unique */
	uint64_t incarnation; /* grows with each start and refutation */
	char address[MEMBER_ADDRESS_MAX]; /* IP address */
	uint16_t peer_port; /* TCP: frames; UDP: gossip */
	uint16_t admin_port;
	const char *domain; /* failure domain; interned */
	const char *region; /* interned */
	enum member_state state;
	int64_t state_since_us;
	enum member_service_state service_state;
	char **groups; /* announced, interned; NULL: none */
	uint32_t slots;
	uint32_t warm_ms; /* warm-up time that the upstream declared */
	int64_t up_since_us; /* local time when service_state became UP */
	bool is_evacuated; /* its failure domain is; see evacuation.h */
	void *entry_data; /* per-upstream state of the entry */
	void *swim_data; /* protocol state of swim */
	LIST_ENTRY(member) bucket_link;
};

TAILQ_HEAD(member_list, member);
LIST_HEAD(member_bucket, member);

/* Members are hashed by host into buckets, each with a digest. Two daemons
 * compare digests to find where their tables differ without sending the tables.
 * With 22,000 hosts a bucket holds five or six. */
#define MEMBER_BUCKETS 4096

/* RETURN VALUE: true if the member is not known to be gone. */
static inline bool member_is_live(const struct member *member)
{
	return member->state == MEMBER_ALIVE || member->state == MEMBER_SUSPECT;
}

/* RETURN VALUE: true if new requests may be sent to the member's upstream. */
static inline bool member_is_usable(const struct member *member)
{
	return member_is_live(member) &&
	       member->service_state == MEMBER_SERVICE_UP &&
	       !member->is_evacuated;
}

struct member_table;

struct member_observer {
	/* Called after a record was added or replaced by a newer one. */
	void (*handle_changed)(struct member *member, void *data);
	/* Called before a removed record is freed. */
	void (*handle_removed)(struct member *member, void *data);
	void *data;
};

/* Short id of a host in messages; two hosts may share one. */
uint32_t member_host_hash(const char *host);

struct member_table *member_table_create(void);
void member_table_destroy(struct member_table *table);
void member_table_observe(struct member_table *table,
			  const struct member_observer *observer);
/* Removes the observers with this data. */
void member_table_unobserve(struct member_table *table, const void *data);
struct member *member_table_find(struct member_table *table, const char *host);
struct member_list *member_table_all(struct member_table *table);
size_t member_table_size(const struct member_table *table);

/*
 * Elects daemons without a lease, by rendezvous hashing. A suspected member does
 * not count, because it may be dead; one elected daemon more is harmless.
 *
 * RETURN VALUE
 *	the number of live members that are before the host in the order for
 *	key, but limit at most. domain: only members of this failure domain
 *	count; NULL: all.
 */
unsigned int member_table_count_before(struct member_table *table,
				       const char *host, const char *key,
				       const char *domain, unsigned int limit);

/*
 * RETURN VALUE
 *	The members that announced the group, in whatever state; never NULL.
 *	The array of struct member belongs to the table and is valid until the
 *	next change.
 */
const GPtrArray *member_table_group(struct member_table *table,
				    const char *group);

/*
 * The version of a group changes with each change of a member that announces
 * the group, or that announced it until this change. A caller that caches data
 * derived from the group compares versions. An entry that was notified of each
 * change instead would have to search all its services for each of 22,000 hosts.
 *
 * RETURN VALUE
 *	The version; 0 if no member announces the group.
 */
uint64_t member_table_group_version(struct member_table *table,
				    const char *group);

/*
 * Applies a record from any source. A higher incarnation takes precedence; at
 * the same incarnation DEAD and LEFT take precedence over SUSPECT, and SUSPECT
 * over ALIVE. The record is copied. Its up_since_us, if not 0, is the time when
 * the upstream became UP; its state_since_us, entry_data and swim_data are
 * ignored.
 *
 * RETURN VALUE
 *	true if the table changed.
 */
bool member_table_update(struct member_table *table,
			 const struct member *record, int64_t now_us);
void member_table_remove(struct member_table *table, const char *host);

struct evacuation;

/* Sets is_evacuated of all members. The evacuation also applies to members that
 * are added later, and must outlive the table. */
void member_table_set_evacuation(struct member_table *table,
				 const struct evacuation *evacuation);

struct member_bucket *member_table_bucket(struct member_table *table,
					  unsigned int bucket);

/* Digest of a bucket. It is equal in two tables that hold the same live members
 * with the same incarnations. Dead members and those that left don't count,
 * because each daemon removes them at a different time. */
uint64_t member_table_digest(const struct member_table *table,
			     unsigned int bucket);

#endif
