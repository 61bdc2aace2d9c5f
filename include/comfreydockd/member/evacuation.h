/*
 * NAME
 *	evacuation - failure domains whose upstreams must get no requests
 *
 * DESCRIPTION
 *	An operator evacuates a failure domain, for example before work on its
 *	power supply, and restores it later. Each daemon holds the list of all
 *	evacuated domains as of a version of the platform's store. Daemons that
 *	read the store replace the list or apply changes to it. Gossip carries
 *	the whole list in every packet, and of two lists the later one wins. So
 *	a daemon that missed a change, was partitioned or has just been started
 *	gets it from any peer.
 *
 *	Entries don't choose upstreams of an evacuated domain. An owner there
 *	refuses what it has not begun, and lets what runs finish. The daemons of
 *	the domain go on as entries.
 *
 *	A domain is identified by evacuation_key(), a hash of its name, which
 *	keeps the list small in each packet.
 */
#ifndef COMFREYDOCKD_MEMBER_EVACUATION_H
#define COMFREYDOCKD_MEMBER_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define EVACUATION_DOMAINS_MAX 16

struct evacuation_entry {
	uint64_t key;
	int64_t since_us; /* when this daemon learned of it */
};

struct evacuation {
	uint64_t as_of; /* version of the platform's store; 0: nothing is known */
	size_t count;
	struct evacuation_entry entries[EVACUATION_DOMAINS_MAX]; /* by key */
	/* Called after the list has changed; may be NULL. */
	void (*handle_changed)(const struct evacuation *evacuation, void *data);
	void *data;
};

/* A change of one domain, as of a version of the store. */
struct evacuation_change {
	uint64_t version;
	uint64_t key;
	bool is_evacuated;
};

uint64_t evacuation_key(const char *domain);

bool evacuation_has(const struct evacuation *evacuation, uint64_t key);

/*
 * Takes over the complete list as of a version, unless the own one is at least
 * as new. Domains beyond EVACUATION_DOMAINS_MAX are ignored.
 *
 * RETURN VALUE
 *	true if the list has changed.
 */
bool evacuation_replace(struct evacuation *evacuation, uint64_t as_of,
			const uint64_t *keys, size_t count, int64_t now_us);

/*
 * Applies the changes of the store after the own version, up to as_of, as a
 * whole: those of one transaction have one version, and a list with some of them
 * would pass for the complete list as of it. Older changes are left out.
 *
 * RETURN VALUE
 *	true if the list has changed.
 */
bool evacuation_apply(struct evacuation *evacuation, uint64_t as_of,
		      const struct evacuation_change *changes, size_t count,
		      int64_t now_us);

#endif
