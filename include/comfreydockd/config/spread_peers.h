/*
 * NAME
 *	spread_peers - the spread of configuration on the daemon's loop
 *
 * DESCRIPTION
 *	Feeds config_spread with time, with what gossip says and with peers'
 *	frames, and sends what it asks and answers.
 */
#ifndef COMFREYDOCKD_CONFIG_SPREAD_PEERS_H
#define COMFREYDOCKD_CONFIG_SPREAD_PEERS_H

#include <stdbool.h>

#include "comfreydockd/config/apply.h"
#include "comfreydockd/daemon.h"

struct spread_peers;

/* Needs the daemon's loop, settings, config, members, gossip, peers, owner and
 * entry. ops NULL: there is no platform. */
struct spread_peers *spread_peers_create(struct daemon *daemon,
					 const struct config_platform_ops *ops,
					 void *platform);

/* After the platform and the peers, so that nothing calls back. */
void spread_peers_destroy(struct spread_peers *peers);

/* RETURN VALUE: whether this daemon reads the platform's head row for others. */
bool spread_peers_is_reader(const struct spread_peers *peers);

#endif
