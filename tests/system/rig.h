/*
 * NAME
 *	rig - starts the real programs for a test and ends them
 *
 * DESCRIPTION
 *	Each program gets ports from the kernel and tells them in its first
 *	lines, which the rig reads from files in a temporary directory. Every
 *	process dies with the test, however that ends. Where an assertion
 *	fails, the ends of all logs are printed before the directory goes, and the
 *	lines of daemons that stood still.
 *
 *	A wait is bounded and fails the test when its time is over.
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
	pid_t pid; /* 0: has ended */
	int exit_status; /* as of waitpid(2), once ended */
	char *out_path;
	char *err_path;
	uint16_t port; /* of a stand-in */
	uint16_t control_port; /* of the relay */
	uint16_t caller_port; /* of a daemon */
	uint16_t peer_port;
	uint16_t admin_port;
};

struct rig_answer {
	bool arrived; /* whole; false: no answer, or one cut off */
	long status;
	GString *body;
	GHashTable *headers; /* lower-case name -> value */
};

struct rig *rig_create(void);
void rig_destroy(struct rig *rig);

/* From now on the files stay. RETURN VALUE: the directory. */
const char *rig_keep_files(struct rig *rig);

/* RETURN VALUE: the path of a new file in the temporary directory. */
const char *rig_write_file(struct rig *rig, const char *name,
			   const char *format, ...) G_GNUC_PRINTF(3, 4);

/* Starts a program, by its path in the build folder, with arguments up to
 * NULL, and waits until it has told its ports. */
struct rig_process *rig_start_standin(struct rig *rig, const char *program,
				      ...) G_GNUC_NULL_TERMINATED;
struct rig_process *rig_start_daemon(struct rig *rig, const char *name,
				     const char *settings_path);

/* Starts a program that tells no port. */
struct rig_process *rig_start(struct rig *rig, const char *program,
			      ...) G_GNUC_NULL_TERMINATED;

/* Runs a program to its end. RETURN VALUE: its exit status; *out, where given,
 * is its output, freed by the caller. */
int rig_run(struct rig *rig, char **out, const char *program,
	    ...) G_GNUC_NULL_TERMINATED;

void rig_signal(struct rig_process *process, int signal);
bool rig_has_ended(struct rig_process *process);

/* RETURN VALUE: the exit status as of waitpid(2). */
int rig_wait_end(struct rig_process *process, int timeout_ms);

/* SIGKILL, and waits. */
void rig_kill(struct rig_process *process);

/* RETURN VALUE: whether the condition came true in time. */
bool rig_wait_until(bool (*condition)(void *data), void *data, int timeout_ms);
void rig_sleep_ms(int ms);

/* One HTTP call; headers is name, value, ..., NULL, or NULL; body may be NULL.
 * The caller frees the answer. */
struct rig_answer *rig_http(const char *method, const char *url,
			    const char *const *headers, const char *body,
			    int timeout_ms);
void rig_answer_free(struct rig_answer *answer);

/* The same for a process's port, where only success will do.
 * RETURN VALUE: the body, freed by the caller. */
char *rig_http_ok(const char *method, uint16_t port, const char *path,
		  const char *body);

/* A metric of the process that serves them on this port, by its whole name, or
 * -1 where it has none. */
int64_t rig_metric(uint16_t port, const char *name);

/* The first integer member of that name in JSON text, or -1. */
int64_t rig_json_int(const char *json, const char *name);

/* What the process has written so far; the caller frees. */
char *rig_read_output(const struct rig_process *process);
char *rig_read_log(const struct rig_process *process);

#endif
