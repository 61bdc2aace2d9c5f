/*
 * NAME
 *	relay - a proxy between two processes that injects network faults
 *
 * DESCRIPTION
 *	Accepts TCP connections and UDP datagrams on one port and forwards them
 *	to its target. Commands arrive over HTTP at its control port:
 *
 *	POST /set {"cut": bool, "hold_forward": bool, "hold_backward": bool,
 *	           "delay_ms": N, "lose_share": 0..1, "lose_from": [PORT, ...],
 *	           "silence": bool}
 *
 *	cut		resets all connections, new ones too; drops datagrams
 *	hold_forward	forwards nothing to the target, not even a close; when
 *			it is cleared, the bytes held back are sent; datagrams
 *			are dropped
 *	hold_backward	does the same for the direction from the target
 *	delay_ms	delays bytes and datagrams in each direction
 *	lose_share	drops this share of the datagrams, drawn with a fixed
 *			seed
 *	lose_from	drops all datagrams from and to these ports
 *	silence		true: the connections open now forward nothing any more,
 *			not even a close; new ones work. false: resets these
 *			connections, as a kernel does whose keepalive fails
 *
 *	GET /stats returns the counts of connections, bytes and datagrams.
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

/* Binds a socket on the loopback address; port 0 means any.
 * RETURN VALUE: a non-blocking socket, or -1. */
int relay_bind(int type, uint16_t port);
uint16_t relay_port_of(int fd);

void tcp_start(struct relay *relay, int listen_fd);
void tcp_finish(struct relay *relay);

/* Applies changed settings to the open connections. */
void tcp_apply(struct relay *relay);

/* Makes the open connections forward nothing any more. */
void tcp_silence(struct relay *relay);
void tcp_reset_silent(struct relay *relay);

void udp_start(struct relay *relay, int fd);
void udp_finish(struct relay *relay);

#endif
