/*
 * NAME
 *	platform_control - HTTP listeners for the platform and the upstream
 *
 * DESCRIPTION
 *	One listener answers the readiness check of the platform, which sends
 *	callers only to a host that is ready. The other receives the heartbeats
 *	of the upstream on this host. The functions in struct control_ops decide
 *	the answers and the effects.
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

/* Does not listen on an address that is NULL. ops must outlive the control.
 * RETURN VALUE: NULL with errno set if an address can't be bound. */
struct control *control_create(struct ev_loop *loop,
			       const struct settings_address *ready,
			       const struct settings_address *reports,
			       const struct control_ops *ops);
void control_destroy(struct control *control);

/* RETURN VALUE: the port that is bound, or 0 without a listener. */
uint16_t control_ready_port(const struct control *control);
uint16_t control_reports_port(const struct control *control);

/* Parses the body of a heartbeat. The strings in report belong to *root, which
 * the caller releases with json_object_put().
 * RETURN VALUE: NULL on success, else the error as a constant string. */
struct json_object;
const char *control_read_report(const char *body, const char *instance,
				struct report *report, struct json_object **root);

#endif
