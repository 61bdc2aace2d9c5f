/*
 * NAME
 *	fake_peers - stands for all the peers of one real daemon
 *
 * DESCRIPTION
 *	One UDP socket that speaks gossip for any number of hosts: answers each
 *	ping in the name of its target, gives the whole table to a joiner, and
 *	sends what a daemon hears each second from the others: a ping, a
 *	request to compare digests, and news of changes as often as all the
 *	others would send it.
 */
#ifndef BENCH_CAPACITY_FAKE_PEERS_H
#define BENCH_CAPACITY_FAKE_PEERS_H

#include <glib.h>
#include <stdint.h>

#define FAKE_PEERS_KEY "a key for measurements"
#define FAKE_PEERS_DAEMON "the-daemon" /* the real daemon's host */
#define FAKE_PEERS_LARGE_HOSTS 600 /* upstreams of the first service */
#define FAKE_PEERS_COPIES 35 /* 4 + 3 ln(22,000), rounded up */
#define FAKE_PEERS_PUSH_RECORDS 10 /* that fit one packet */
#define FAKE_PEERS_PUSHES_PER_S 8

struct fake_peers;

/* The service that a host's upstream announces. */
int fake_peers_service_of(int host, int services);

struct fake_peers *fake_peers_create(int hosts, int services);
void fake_peers_destroy(struct fake_peers *peers);
uint16_t fake_peers_port(const struct fake_peers *peers);

/* Where the real daemon is. */
void fake_peers_set_daemon(struct fake_peers *peers, uint16_t port);
void fake_peers_set_changes(struct fake_peers *peers, double changes_per_s);
void fake_peers_run(struct fake_peers *peers, int ms);

#endif
