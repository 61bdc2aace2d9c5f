/*
 * NAME
 *	rig - starts the real programs for a test and stops them
 *
 * DESCRIPTION
 *	Each program gets its ports from the kernel and reports them in the
 *	first lines of its output. The rig redirects that output to files in a
 *	temporary directory and reads the ports there. Every process is killed
 *	when the test process ends, however it ends. When an assertion fails,
 *	the rig prints the tail of every log, and all lines in which a daemon
 *	reports that its event loop was blocked, before it removes the
 *	directory.
 *
 *	Every wait has a timeout and fails the test when it expires.
 */
#ifndef TESTS_SYSTEM_RIG_H
#define TESTS_SYSTEM_RIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_START_MS 10000

struct rig;

struct rig_process {
	char *name;
	pid_t pid; /* 0: the process has exited */
	int exit_status; /* as from waitpid(2), once the process has exited */
	char *out_path;
	char *err_path;
	uint16_t port; /* only for a stand-in and the relay */
	uint16_t control_port; /* only for the relay */
	uint16_t caller_port; /* this and the next two: only for a daemon */
	uint16_t peer_port;
	uint16_t admin_port;
};

struct rig_answer {
	bool arrived; /* false: there was no answer, or it was truncated */
	long status;
	GString *body;
	GHashTable *headers; /* maps a lower-case name to its value */
};

struct rig *rig_create(void);
void rig_destroy(struct rig *rig);

/* Keeps the temporary files when the rig is destroyed.
 * RETURN VALUE: the directory. */
const char *rig_keep_files(struct rig *rig);

/* Writes a new file into the temporary directory. RETURN VALUE: its path, which
 * the rig owns. */
const char *rig_write_file(struct rig *rig, const char *name,
			   const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Starts a program, given by its path in the build directory, with the
 * arguments up to NULL, and waits until it has reported its ports. */
struct rig_process *rig_start_standin(struct rig *rig, const char *program,
				      ...) G_GNUC_NULL_TERMINATED;
struct rig_process *rig_start_daemon(struct rig *rig, const char *name,
				     const char *settings_path);

/* The same, with this environment; NULL: the test's own. */
struct rig_process *rig_start_daemon_with_env(struct rig *rig, const char *name,
					      const char *settings_path,
					      char **environment);

/* Starts a program that reports no port. */
struct rig_process *rig_start(struct rig *rig, const char *program,
			      ...) G_GNUC_NULL_TERMINATED;

/* Runs a program until it exits. RETURN VALUE: its exit status. Unless out is
 * NULL, *out receives its output, which the caller frees. */
int rig_run(struct rig *rig, char **out, const char *program,
	    ...) G_GNUC_NULL_TERMINATED;

void rig_signal(struct rig_process *process, int signal);
bool rig_has_ended(struct rig_process *process);

/* Waits until the process exits. RETURN VALUE: its status as from
 * waitpid(2). */
int rig_wait_end(struct rig_process *process, int timeout_ms);

/* Sends SIGKILL and waits until the process has exited. */
void rig_kill(struct rig_process *process);

/* RETURN VALUE: whether the condition became true before the timeout. */
bool rig_wait_until(bool (*condition)(void *data), void *data, int timeout_ms);
void rig_sleep_ms(int ms);

/* Makes one HTTP call. headers is NULL or alternates names and values up to a
 * NULL; body may be NULL. The caller frees the answer. */
struct rig_answer *rig_http(const char *method, const char *url,
			    const char *const *headers, const char *body,
			    int timeout_ms);
void rig_answer_free(struct rig_answer *answer);

/* Makes a call to a local port and fails the test unless the status is 200.
 * RETURN VALUE: the body, which the caller frees. */
char *rig_http_ok(const char *method, uint16_t port, const char *path,
		  const char *body);

/* Reads a metric by its full name, labels included, from the process that
 * serves /metrics on this port. RETURN VALUE: -1 if there is no such metric. */
int64_t rig_metric(uint16_t port, const char *name);

/* RETURN VALUE: the first integer member of this name in the JSON text, or
 * -1. */
int64_t rig_json_int(const char *json, const char *name);

/* RETURN VALUE: what the process has written so far, which the caller frees. */
char *rig_read_output(const struct rig_process *process);
char *rig_read_log(const struct rig_process *process);

#endif
