/*
 * NAME
 *	ctl - what the commands of comfreydockctl share
 *
 * DESCRIPTION
 *	Each command is one file and one line in the sorted table of main.c.
 *	It speaks to the admin API of one daemon, and through its list of hosts
 *	to the others.
 */
#ifndef COMFREYDOCKCTL_CTL_H
#define COMFREYDOCKCTL_CTL_H

#include <ev.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

struct http_client;

/* The exit statuses; documented in comfreydockctl(1). */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* the file has errors; nothing was changed */
	CTL_USAGE = 2,
	CTL_CONFLICT = 3, /* somebody else's version is in force */
	CTL_UNKNOWN = 4, /* whether it took effect isn't known yet */
	CTL_FAILED = 5, /* no daemon answered, or it answered with an error */
	CTL_WAIT_TIMED_OUT = 6, /* --wait ended before all daemons followed */
};

struct ctl {
	char *admin; /* URL */
	char *token; /* or NULL */
	bool json;
	struct ev_loop *loop;
	struct http_client *client;
};

struct ctl_command {
	const char *name;
	const char *arguments; /* as shown by --help */
	const char *summary;
	int min_arguments;
	int max_arguments;
	const GOptionEntry *options; /* the command's own; or NULL */
	int (*run)(struct ctl *ctl, char **arguments);
};

extern const struct ctl_command ctl_apply;
extern const struct ctl_command ctl_check;
extern const struct ctl_command ctl_drain;
extern const struct ctl_command ctl_failures;
extern const struct ctl_command ctl_hosts;
extern const struct ctl_command ctl_metrics;
extern const struct ctl_command ctl_quarantine;
extern const struct ctl_command ctl_resume;
extern const struct ctl_command ctl_show;
extern const struct ctl_command ctl_status;
extern const struct ctl_command ctl_timeline;

/* One request and what became of it. */
struct ctl_call {
	const char *method;
	char *url;
	const char *body; /* or NULL */
	long timeout_ms; /* 0: 5000 */
	bool answered;
	bool never_sent;
	bool timed_out;
	long status;
	GString *text;
};

/* path is appended to the base URL; the call is finished by the caller. */
void ctl_call_init(struct ctl_call *call, const char *method, const char *base,
		   const char *path);
void ctl_call_finish(struct ctl_call *call);

/* Runs all calls, many at a time, and returns once each has ended. */
void ctl_run_calls(struct ctl *ctl, struct ctl_call *calls, size_t count);

/*
 * GETs or POSTs one path of the daemon and prints why on failure.
 * RETURN VALUE: the answer as JSON, or NULL.
 */
json_object *ctl_request(struct ctl *ctl, const char *method, const char *path);

/*
 * Prints an answer as JSON, or by print where that was not asked for, and puts
 * it. RETURN VALUE: the exit status; root NULL is a failure told already.
 */
int ctl_print(const struct ctl *ctl, json_object *root,
	      void (*print)(json_object *root));

/* All pages of the daemon's list of hosts, as one object with "hosts".
 * RETURN VALUE: NULL after a complaint; else the caller puts it. */
json_object *ctl_fetch_hosts(struct ctl *ctl);

/*
 * The base URLs of the admin APIs of this daemon and of all others that are
 * not known dead, this one first.
 * RETURN VALUE: an array of strings, or NULL after printing why.
 */
GPtrArray *ctl_list_daemon_urls(struct ctl *ctl);

/* Prints "comfreydockctl: TEXT" on standard error. */
void ctl_print_error(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* Prints the object as JSON and gives it up. */
void ctl_print_json(json_object *root);

/* Prints findings as "FILE:LINE: error: PATH: TEXT" on standard error. */
void ctl_print_findings(json_object *findings);

/* RETURN VALUE: the file's text, or NULL after printing why. */
char *ctl_read_file(const char *file);

#endif
