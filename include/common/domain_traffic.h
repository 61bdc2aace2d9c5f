/*
 * NAME
 *	domain_traffic - counts what is sent to other failure domains
 *
 * DESCRIPTION
 *	Bytes between failure domains have a price, and most of them need not
 *	belong to requests. They are counted by kind of message, as payload
 *	without the headers of TCP, UDP and IP, and exported as
 *	comfreydock_domain_bytes{kind} and comfreydock_domain_messages{kind}.
 */
#ifndef COMMON_DOMAIN_TRAFFIC_H
#define COMMON_DOMAIN_TRAFFIC_H

#include <glib.h>
#include <stddef.h>

#define DOMAIN_TRAFFIC_KINDS_MAX 48

/* kind is a constant string; its address must stay valid. Kinds beyond
 * DOMAIN_TRAFFIC_KINDS_MAX are counted together as "other". */
void domain_traffic_add(const char *kind, size_t bytes);

/* Appends the counters in the Prometheus text format. */
void domain_traffic_append_text(GString *text);

#endif
