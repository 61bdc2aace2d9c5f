/*
 * NAME
 *	swim_net - machines wired through a network in memory
 *
 * DESCRIPTION
 *	Each packet may be lost, delayed and overtaken. Time moves only as the
 *	test runs the network. Hosts tick out of step, and before they read, as
 *	libev has it: after a stop, too.
 */
#ifndef TESTS_SWIM_NET_H
#define TESTS_SWIM_NET_H

#include "comfreydockd/decide/quarantine.h"
#include "comfreydockd/member/swim.h"

#define HOSTS_MAX 40 /* in most tests */
#define NET_HOSTS_MAX 240
#define STEP_US 10000
#define SECOND 1000000LL
#define PORT 7000

/* One machine, and what it sent. */
struct host {
	char name[24];
	char address[24];
	struct swim *swim; /* NULL: not running */
	struct quarantine *quarantine;
	struct member_table *table;
	struct swim_ops ops;
	uint64_t incarnation;
	bool is_frozen;
	bool was_frozen; /* in this step: its timers are due */
	int partition; /* packets between two sides are lost */
	uint64_t sent_bytes;
	uint64_t known_config_head;
	int64_t told_us; /* as of then it knows of nothing newer; 0: never */
};

struct net {
	struct host hosts[NET_HOSTS_MAX];
	int count;
	int64_t now_us;
	int loss_percent;
	int64_t delay_max_us;
	bool has_no_seeds; /* whoever starts now knows nobody */
	GQueue packets;
};

extern struct net net;

/* Starts hosts that know the first two; none is lost or much delayed. */
void net_start(int count);
void net_stop(void);
void net_step(void);
void net_run(int64_t us);

/* RETURN VALUE: seconds until all agree; fails after the limit. */
double net_settle(int64_t limit_us);

/* True if all that run hold all that run for alive, and the rest for gone. */
bool net_agrees(void);
bool net_any_considers_dead(int i);

/* MEMBER_LEFT: not known. */
enum member_state state_of(int at, int of);

/* Starts anew, with a higher incarnation. */
void host_start(int i);
/* Joins so many hosts that stand next to each other from a random one on, as in a
 * page of rows. */
void host_join_some(int i, int count);
void host_kill(int i);

/* Copies one of the bodies that were sent last. RETURN VALUE: its size. */
size_t swim_net_sample(uint8_t body[SWIM_BODY_MAX]);

#endif
