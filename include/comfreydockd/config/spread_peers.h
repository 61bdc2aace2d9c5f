/*
 * NAME
 *	spread_peers - runs config_spread on the daemon's loop
 *
 * DESCRIPTION
 *	Passes the time and the frames of peers to config_spread, sends its
 *	queries and answers to peers, and announces its head by gossip.
 */
#ifndef COMFREYDOCKD_CONFIG_SPREAD_PEERS_H
#define COMFREYDOCKD_CONFIG_SPREAD_PEERS_H

#include <stdbool.h>

#include "comfreydockd/config/apply.h"
#include "comfreydockd/daemon.h"

struct spread_peers;

/* The daemon's loop, settings, config, members, gossip, peers, owner and entry
 * must exist. ops NULL: there is no platform. */
struct spread_peers *spread_peers_create(struct daemon *daemon,
					 const struct config_platform_ops *ops,
					 void *platform);

/* Call this after the platform and the peers are destroyed, so that nothing
 * calls back. */
void spread_peers_destroy(struct spread_peers *peers);

/* RETURN VALUE: whether this daemon reads the platform's head row for its
 * domain. */
bool spread_peers_is_reader(const struct spread_peers *peers);

#endif
