/*
 * NAME
 *	ctl - functions shared by the commands of comfreydockctl
 *
 * DESCRIPTION
 *	Each command has its own file and an entry in the sorted table in
 *	main.c. It calls the admin API of one daemon, and finds the other
 *	daemons in the host list of that one.
 */
#ifndef COMFREYDOCKCTL_CTL_H
#define COMFREYDOCKCTL_CTL_H

#include <ev.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

struct http_client;

/* Exit statuses, documented in comfreydockctl(1). */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* the file has errors; nothing changed */
	CTL_USAGE = 2,
	CTL_CONFLICT = 3, /* another version is in force */
	CTL_UNKNOWN = 4, /* the change may or may not have taken effect */
	CTL_FAILED = 5, /* no answer, or an error, from the daemon */
	CTL_WAIT_TIMED_OUT = 6, /* --wait reached its timeout */
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
	const GOptionEntry *options; /* of this command; or NULL */
	int (*run)(struct ctl *ctl, char **arguments);
};

extern const struct ctl_command ctl_apply;
extern const struct ctl_command ctl_check;
extern const struct ctl_command ctl_drain;
extern const struct ctl_command ctl_evacuate;
extern const struct ctl_command ctl_evacuations;
extern const struct ctl_command ctl_failures;
extern const struct ctl_command ctl_hosts;
extern const struct ctl_command ctl_key_digest;
extern const struct ctl_command ctl_metrics;
extern const struct ctl_command ctl_organisations;
extern const struct ctl_command ctl_quarantine;
extern const struct ctl_command ctl_restore;
extern const struct ctl_command ctl_resume;
extern const struct ctl_command ctl_show;
extern const struct ctl_command ctl_status;
extern const struct ctl_command ctl_timeline;

/* One request and its result. */
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

/* Appends path to the base URL. The caller must call ctl_call_finish(). */
void ctl_call_init(struct ctl_call *call, const char *method, const char *base,
		   const char *path);
void ctl_call_finish(struct ctl_call *call);

/* Runs all calls, many at a time, and returns when all have ended. */
void ctl_run_calls(struct ctl *ctl, struct ctl_call *calls, size_t count);

/*
 * Sends a GET or POST request to the daemon. Prints the error on failure.
 * RETURN VALUE: the answer as JSON, or NULL.
 */
json_object *ctl_request(struct ctl *ctl, const char *method, const char *path);

/*
 * Prints an answer and releases it. Uses print(), or prints JSON if --json was
 * given. A root of NULL stands for a failure that has been printed already.
 * RETURN VALUE: the exit status.
 */
int ctl_print(const struct ctl *ctl, json_object *root,
	      void (*print)(json_object *root));

/* Fetches all pages of the daemon's host list as one object with "hosts".
 * RETURN VALUE: NULL after printing the error; else the caller releases it. */
json_object *ctl_fetch_hosts(struct ctl *ctl);

/*
 * Lists the base URLs of the admin APIs of this daemon, which comes first, and of
 * all other daemons that are alive or suspect.
 * RETURN VALUE: an array of strings, or NULL after printing the error.
 */
GPtrArray *ctl_list_daemon_urls(struct ctl *ctl);

/* Prints "comfreydockctl: TEXT" on standard error. */
void ctl_print_error(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* Prints the object as JSON and releases it. */
void ctl_print_json(json_object *root);

/* Prints findings as "FILE:LINE: error: PATH: TEXT" on standard error. */
void ctl_print_findings(json_object *findings);

/* RETURN VALUE: the content of the file, or NULL after printing the error. */
char *ctl_read_file(const char *file);

#endif
