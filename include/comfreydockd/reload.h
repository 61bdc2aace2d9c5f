/*
 * NAME
 *	reload - takes over settings that change while the daemon runs
 *
 * DESCRIPTION
 *	On SIGHUP, and when the file changes without one, the settings are read
 *	and checked anew. They are taken whole or not at all: a file with
 *	errors changes nothing, and its findings are printed. What can't change
 *	in a running daemon, its names and addresses above all, keeps its value
 *	until the next start, with a line in the log.
 */
#ifndef COMFREYDOCKD_RELOAD_H
#define COMFREYDOCKD_RELOAD_H

#include <ev.h>

#include "comfreydockd/settings.h"

/* A change without a signal is seen within this time. */
#define RELOAD_POLL_S 2.0

struct reload;

/* settings is what the daemon reads; the reload changes it in place. */
struct reload *reload_create(struct ev_loop *loop, const char *file,
			     struct settings *settings);
void reload_destroy(struct reload *reload);

enum reload_result {
	RELOAD_DONE,
	RELOAD_REFUSED, /* the file has errors */
	RELOAD_PARTLY, /* some of it waits for the next start */
};

/* Takes over what may change. The new settings' own values stay theirs. */
enum reload_result settings_apply_reload(struct settings *settings,
					 const struct settings *changed);

/* Starts the log, or goes on with another format and budget. */
void settings_start_log(const struct settings *settings);

#endif
