/*
 * NAME
 *	fake_peers - simulates all peers of one real daemon
 *
 * DESCRIPTION
 *	One UDP socket that speaks gossip for any number of hosts. It answers
 *	each ping in the name of its target and sends the whole member table to
 *	a daemon that joins. It also sends what a daemon in a cluster of that
 *	size receives each second: one ping, one sync request that compares
 *	digests, and each change as often as all the peers together would send
 *	it.
 */
#ifndef BENCH_CAPACITY_FAKE_PEERS_H
#define BENCH_CAPACITY_FAKE_PEERS_H

#include <glib.h>
#include <stdint.h>

#define FAKE_PEERS_KEY "a key for measurements"
#define FAKE_PEERS_DAEMON "the-daemon" /* host name of the real daemon */
#define FAKE_PEERS_LARGE_HOSTS 600 /* upstreams of the first service */
/* Times that one host receives a change: 4 + 3 ln(22,000), rounded up. */
#define FAKE_PEERS_COPIES 35
#define FAKE_PEERS_PUSH_RECORDS 10 /* records that fit into one packet */
#define FAKE_PEERS_PUSHES_PER_S 8

struct fake_peers;

/* RETURN VALUE: the number of the service that a host's upstream announces. */
int fake_peers_service_of(int host, int services);

struct fake_peers *fake_peers_create(int hosts, int services);
void fake_peers_destroy(struct fake_peers *peers);
uint16_t fake_peers_port(const struct fake_peers *peers);

/* Sets the gossip port of the real daemon. */
void fake_peers_set_daemon(struct fake_peers *peers, uint16_t port);
void fake_peers_set_changes(struct fake_peers *peers, double changes_per_s);

/* Receives and sends for so many milliseconds. */
void fake_peers_run(struct fake_peers *peers, int ms);

#endif
