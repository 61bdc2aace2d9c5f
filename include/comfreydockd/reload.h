/*
 * NAME
 *	reload - applies changed settings to a running daemon
 *
 * DESCRIPTION
 *	On SIGHUP, and when the settings file changes without a signal, the
 *	file is read and checked again. A file with errors changes nothing, and
 *	its findings are printed. Settings that can't change in a running
 *	daemon, mainly its names and addresses, keep their values until the
 *	next start; the log line of the reload says so.
 */
#ifndef COMFREYDOCKD_RELOAD_H
#define COMFREYDOCKD_RELOAD_H

#include <ev.h>

#include "comfreydockd/settings.h"

/* Interval at which the file is checked for a change. */
#define RELOAD_POLL_S 2.0

struct reload;

/* A reload changes settings in place; the daemon reads them from there. */
struct reload *reload_create(struct ev_loop *loop, const char *file,
			     struct settings *settings);
void reload_destroy(struct reload *reload);

enum reload_result {
	RELOAD_DONE,
	RELOAD_REFUSED, /* the file has errors */
	RELOAD_PARTLY, /* some settings change only at the next start */
};

/* Copies the settings that may change in a running daemon. changed stays valid
 * and must still be destroyed. */
enum reload_result settings_apply_reload(struct settings *settings,
					 const struct settings *changed);

/* Starts the log, or changes its format and budget. */
void settings_start_log(const struct settings *settings);

#endif
