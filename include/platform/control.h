/*
 * NAME
 *	platform_control - what the platform and the upstream ask a daemon
 *
 * DESCRIPTION
 *	Two small HTTP listeners: one tells the platform whether callers may
 *	be sent here, one takes the heartbeats of the upstream on this host.
 *	What is said and what follows is decided by the functions given.
 */
#ifndef PLATFORM_CONTROL_H
#define PLATFORM_CONTROL_H

#include <ev.h>
#include <stdbool.h>

#include "comfreydockd/settings.h"
#include "comfreydockd/upstream/report.h"

struct control;

struct control_ops {
	bool (*is_ready)(void *data);
	enum report_verdict (*take_report)(const struct report *report,
					   void *data);
	void (*take_deregistration)(const char *instance, void *data);
	void *data;
};

/* An address of NULL is not listened on. ops must outlive it.
 * RETURN VALUE: NULL with errno set if an address can't be bound. */
struct control *control_create(struct ev_loop *loop,
			       const struct settings_address *ready,
			       const struct settings_address *reports,
			       const struct control_ops *ops);
void control_destroy(struct control *control);

/* As bound; 0 where it is not listened on. */
uint16_t control_ready_port(const struct control *control);
uint16_t control_reports_port(const struct control *control);

/* Reads a heartbeat's body. The texts live as long as *root, which the caller
 * gives back with json_object_put().
 * RETURN VALUE: NULL, or what is wrong with it, a constant. */
struct json_object;
const char *control_read_report(const char *body, const char *instance,
				struct report *report, struct json_object **root);

#endif
