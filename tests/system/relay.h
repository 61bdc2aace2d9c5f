/*
 * NAME
 *	relay - stands between two processes and disturbs what passes
 *
 * DESCRIPTION
 *	Takes TCP connections and UDP datagrams on one port and passes them on
 *	to its target. Commands come over HTTP to its control port:
 *
 *	POST /set {"cut": bool, "hold_forward": bool, "hold_backward": bool,
 *	           "delay_ms": N, "lose_share": 0..1, "lose_from": [PORT, ...]}
 *
 *	cut		connections are reset, new ones too; datagrams are lost
 *	hold_forward	towards the target nothing passes, not even a close;
 *			bytes go on once it ends, datagrams are lost
 *	hold_backward	the same from the target
 *	delay_ms	all that passes, each way
 *	lose_share	of the datagrams, drawn with a fixed seed
 *	lose_from	all datagrams of senders on these ports, each way
 *
 *	GET /stats gives the counts of connections, bytes and datagrams.
 */
#ifndef TESTS_SYSTEM_RELAY_H
#define TESTS_SYSTEM_RELAY_H

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

enum direction {
	FORWARD, /* towards the target */
	BACKWARD,
	DIRECTIONS,
};

struct tcp_connection;
struct udp_session;
struct datagram;

LIST_HEAD(tcp_connection_list, tcp_connection);
LIST_HEAD(udp_session_list, udp_session);
LIST_HEAD(datagram_list, datagram);

struct relay {
	struct ev_loop *loop;
	struct sockaddr_in target;
	gboolean cut;
	gboolean hold[DIRECTIONS];
	int64_t delay_ms;
	double lose_share;
	GArray *lose_from; /* of uint16_t */
	GRand *random;
	uint64_t connections;
	uint64_t bytes[DIRECTIONS];
	uint64_t datagrams[DIRECTIONS];
	ev_io accept;
	struct tcp_connection_list tcp;
	ev_io receive;
	struct udp_session_list udp;
	struct datagram_list in_flight;
};

/* RETURN VALUE: a bound non-blocking socket, or -1. port 0: any. */
int relay_bind(int type, uint16_t port);
uint16_t relay_port_of(int fd);

void tcp_start(struct relay *relay, int listen_fd);
void tcp_finish(struct relay *relay);

/* Takes up a change of what is cut, held or delayed. */
void tcp_apply(struct relay *relay);

void udp_start(struct relay *relay, int fd);
void udp_finish(struct relay *relay);

#endif
