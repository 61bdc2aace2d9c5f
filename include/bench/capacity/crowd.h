/*
 * NAME
 *	crowd - stands for all the peers of one real daemon
 *
 * DESCRIPTION
 *	One UDP socket that speaks gossip for any number of hosts: answers each
 *	ping in the name of its target, gives the whole table to a joiner, and
 *	sends what a daemon hears each second from the others: a ping, a
 *	request to compare digests, and news of changes as often as all the
 *	others would send it.
 */
#ifndef BENCH_CAPACITY_CROWD_H
#define BENCH_CAPACITY_CROWD_H

#include <glib.h>
#include <stdint.h>

#define CROWD_KEY "a key for measurements"
#define CROWD_DAEMON "the-daemon" /* the real daemon's host */
#define CROWD_LARGE_HOSTS 600 /* upstreams of the first service */
#define CROWD_COPIES 35 /* 4 + 3 ln(22,000), rounded up */
#define CROWD_PUSH_RECORDS 10 /* that fit one packet */
#define CROWD_PUSHES_PER_S 8

struct crowd;

/* The service that a host's upstream announces. */
int crowd_service_of(int host, int services);

struct crowd *crowd_create(int hosts, int services);
void crowd_destroy(struct crowd *crowd);
uint16_t crowd_port(const struct crowd *crowd);

/* Where the real daemon is. */
void crowd_set_daemon(struct crowd *crowd, uint16_t port);
void crowd_set_changes(struct crowd *crowd, double changes_per_s);
void crowd_run(struct crowd *crowd, int ms);

#endif
