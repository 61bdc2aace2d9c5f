#include "rig.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_MS 5
#define LOG_TAIL_BYTES 4000
#define RUN_TIMEOUT_MS 120000
#define MEMORY_DIRECTORY "/dev/shm"

struct rig {
	char *directory;
	GPtrArray *paths;
	GPtrArray *processes;
	bool keeps_files;
};

/* The signal handler needs the rig; a test has one rig at a time. */
static struct rig *active_rig;

static void print_log_end(const char *path)
{
	char block[LOG_TAIL_BYTES];
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	ssize_t size;

	if (fd < 0)
		return;
	lseek(fd, -LOG_TAIL_BYTES, SEEK_END);
	size = read(fd, block, sizeof(block));
	if (size > 0 && write(STDERR_FILENO, path, strlen(path)) > 0 &&
	    write(STDERR_FILENO, ":\n", 2) > 0 &&
	    write(STDERR_FILENO, block, (size_t)size) > 0)
		fsync(STDERR_FILENO);
	close(fd);
}

/* RETURN VALUE: the number of bytes that complete lines take in the text. */
static size_t print_whole_frozen_lines(char *text, size_t size)
{
	char *line = text;
	char *stop;

	while ((stop = memchr(line, '\n', size - (size_t)(line - text)))) {
		*stop = '\0';
		if (strstr(line, ".frozen\"")) {
			*stop = '\n';
			if (write(STDERR_FILENO, line,
				  (size_t)(stop + 1 - line)) < 0)
				return size;
		}
		line = stop + 1;
	}
	return (size_t)(line - text);
}

/*
 * A daemon whose event loop was blocked, for example because it got no CPU
 * time, answers calls late. It logs the pause long before the assertion fails,
 * so the line is not in the tail of the log, and without it the failure would
 * look like a fault of the daemon.
 */
static void print_frozen_lines(const char *path)
{
	static char text[4 * LOG_TAIL_BYTES];
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	size_t held = 0;
	ssize_t got;

	if (fd < 0)
		return;
	while ((got = read(fd, text + held, sizeof(text) - held)) > 0) {
		size_t used;

		held += (size_t)got;
		used = print_whole_frozen_lines(text, held);
		/* A line that does not fit into the buffer is skipped. */
		if (!used && held == sizeof(text))
			used = held;
		held -= used;
		memmove(text, text + used, held);
	}
	close(fd);
}

const char *rig_keep_files(struct rig *rig)
{
	rig->keeps_files = true;
	return rig->directory;
}

static void remove_files(const struct rig *rig)
{
	if (rig->keeps_files)
		return;
	for (guint i = 0; i < rig->paths->len; i++)
		unlink(g_ptr_array_index(rig->paths, i));
	rmdir(rig->directory);
}

/*
 * A failed assertion calls abort(), and meson sends SIGTERM to a test that
 * exceeds its timeout. Neither runs any cleanup: daemons would keep running and
 * hold their ports, and the logs that explain the failure would be lost.
 */
static void handle_fatal_signal(int signal)
{
	if (!active_rig && signal != SIGABRT)
		_exit(1);
	if (!active_rig)
		return;
	for (guint i = 0; i < active_rig->processes->len; i++) {
		const struct rig_process *process =
			g_ptr_array_index(active_rig->processes, i);

		if (process->pid > 0)
			kill(process->pid, SIGKILL);
		print_frozen_lines(process->out_path);
		print_log_end(process->out_path);
		print_log_end(process->err_path);
	}
	remove_files(active_rig);
	active_rig = NULL;
	/* g_error() raises SIGTRAP in a loop until the process dies. */
	if (signal == SIGTRAP)
		abort();
	if (signal != SIGABRT)
		_exit(1);
}

static void process_free(void *data)
{
	struct rig_process *process = data;

	rig_kill(process);
	g_free(process->name);
	g_free(process);
}

/*
 * Uses a file system in memory if there is one. The daemons of a test log to
 * files, and while a concurrent build writes hundreds of megabytes, a write to
 * the disk blocks for seconds, whatever its flags: the daemons' event loops
 * block and calls are answered late. In production a daemon's output is a pipe.
 */
static char *make_directory(GError **error)
{
	char name[] = MEMORY_DIRECTORY "/comfreydock-XXXXXX";

	if (!g_getenv("TMPDIR") && g_mkdtemp(name))
		return g_strdup(name);
	return g_dir_make_tmp("comfreydock-XXXXXX", error);
}

struct rig *rig_create(void)
{
	struct rig *rig = g_new0(struct rig, 1);
	GError *error = NULL;

	rig->directory = make_directory(&error);
	g_assert_no_error(error);
	rig->paths = g_ptr_array_new_with_free_func(g_free);
	rig->processes = g_ptr_array_new_with_free_func(process_free);
	g_assert_null(active_rig);
	active_rig = rig;
	signal(SIGABRT, handle_fatal_signal);
	signal(SIGTRAP, handle_fatal_signal); /* g_error() */
	signal(SIGTERM, handle_fatal_signal);
	signal(SIGINT, handle_fatal_signal);
	return rig;
}

void rig_destroy(struct rig *rig)
{
	g_ptr_array_unref(rig->processes);
	remove_files(rig);
	g_ptr_array_unref(rig->paths);
	g_free(rig->directory);
	g_free(rig);
	active_rig = NULL;
	signal(SIGABRT, SIG_DFL);
	signal(SIGTRAP, SIG_DFL);
	signal(SIGTERM, SIG_DFL);
	signal(SIGINT, SIG_DFL);
}

static char *new_path(struct rig *rig, const char *name, const char *suffix)
{
	char *file = g_strdup_printf("%u-%s%s", rig->paths->len, name, suffix);
	char *path = g_build_filename(rig->directory, file, NULL);

	g_free(file);
	g_ptr_array_add(rig->paths, path);
	return path;
}

const char *rig_write_file(struct rig *rig, const char *name,
			   const char *format, ...)
{
	char *path = new_path(rig, name, "");
	GError *error = NULL;
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_file_set_contents(path, text, -1, &error);
	g_assert_no_error(error);
	g_free(text);
	return path;
}

/* Runs between fork and exec. The kernel kills the process when the test
 * process ends, even if that is killed after a timeout. */
static void handle_child_setup(void *data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static int open_for_write(const char *path)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC,
		      0600);

	g_assert_cmpint(fd, >=, 0);
	return fd;
}

static struct rig_process *spawn(struct rig *rig, const char *name, char **argv,
				 char **environment)
{
	struct rig_process *process = g_new0(struct rig_process, 1);
	GError *error = NULL;
	GPid pid = 0;
	int out;
	int err;

	process->name = g_strdup(name);
	process->out_path = new_path(rig, name, ".out");
	process->err_path = new_path(rig, name, ".err");
	out = open_for_write(process->out_path);
	err = open_for_write(process->err_path);
	g_spawn_async_with_fds(NULL, argv, environment,
			       G_SPAWN_DO_NOT_REAP_CHILD, handle_child_setup,
			       NULL, &pid, -1, out, err, &error);
	g_assert_no_error(error);
	close(out);
	close(err);
	process->pid = pid;
	g_ptr_array_add(rig->processes, process);
	return process;
}

static char *program_path(const char *program)
{
	const char *build = g_getenv("COMFREYDOCK_BUILD");

	g_assert_nonnull(build);
	return g_build_filename(build, program, NULL);
}

/* Takes ownership of argv, which is NULL-terminated. */
static struct rig_process *spawn_program(struct rig *rig, const char *program,
					 GPtrArray *argv)
{
	char *name = g_path_get_basename(program);
	struct rig_process *process =
		spawn(rig, name, (char **)argv->pdata, NULL);

	g_free(name);
	g_ptr_array_unref(argv);
	return process;
}

static GPtrArray *collect_arguments(const char *program, va_list arguments)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	const char *argument;

	g_ptr_array_add(argv, program_path(program));
	while ((argument = va_arg(arguments, const char *)))
		g_ptr_array_add(argv, g_strdup(argument));
	g_ptr_array_add(argv, NULL);
	return argv;
}

static char *read_file(const char *path)
{
	char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return text;
}

/* RETURN VALUE: the text after the mark, or NULL if no complete line contains
 * the mark. */
static char *find_line(const char *path, const char *mark)
{
	char *text = read_file(path);
	char **parts = g_strsplit(text, mark, 2);
	char *found = NULL;

	if (parts[0] && parts[1] && strchr(parts[1], '\n'))
		found = g_strdup(parts[1]);
	g_strfreev(parts);
	g_free(text);
	return found;
}

static char *wait_for_line(struct rig_process *process, const char *path,
			   const char *mark)
{
	gint64 end_us =
		g_get_monotonic_time() + RIG_START_MS * G_TIME_SPAN_MILLISECOND;

	while (g_get_monotonic_time() < end_us) {
		char *found = find_line(path, mark);

		if (found)
			return found;
		if (rig_has_ended(process))
			g_error("%s exited before it was ready", process->name);
		rig_sleep_ms(POLL_MS);
	}
	g_error("%s was not ready within %d ms", process->name, RIG_START_MS);
}

static uint16_t read_port(const char *line, const char *name)
{
	int64_t port = rig_json_int(line, name);

	return port > 0 ? (uint16_t)port : 0;
}

struct rig_process *rig_start(struct rig *rig, const char *program, ...)
{
	struct rig_process *process;
	va_list arguments;

	va_start(arguments, program);
	process = spawn_program(rig, program,
				collect_arguments(program, arguments));
	va_end(arguments);
	return process;
}

struct rig_process *rig_start_standin(struct rig *rig, const char *program, ...)
{
	struct rig_process *process;
	va_list arguments;
	char *line;

	va_start(arguments, program);
	process = spawn_program(rig, program,
				collect_arguments(program, arguments));
	va_end(arguments);
	line = wait_for_line(process, process->out_path, "{\"program\"");
	process->port = read_port(line, "port");
	process->control_port = read_port(line, "control_port");
	g_free(line);
	return process;
}

struct rig_process *rig_start_daemon(struct rig *rig, const char *name,
				     const char *settings_path)
{
	return rig_start_daemon_with_env(rig, name, settings_path, NULL);
}

struct rig_process *rig_start_daemon_with_env(struct rig *rig, const char *name,
					      const char *settings_path,
					      char **environment)
{
	char *argv[] = {program_path("comfreydockd/comfreydockd"), "--config",
			(char *)settings_path, NULL};
	struct rig_process *process = spawn(rig, name, argv, environment);
	char *line = wait_for_line(process, process->out_path, "\"event\":1000,");

	process->caller_port = read_port(line, "caller_port");
	process->peer_port = read_port(line, "peer_port");
	process->admin_port = read_port(line, "admin_port");
	g_free(line);
	g_free(argv[0]);
	return process;
}

int rig_run(struct rig *rig, char **out, const char *program, ...)
{
	struct rig_process *process;
	va_list arguments;
	int status;

	va_start(arguments, program);
	process = spawn_program(rig, program,
				collect_arguments(program, arguments));
	va_end(arguments);
	status = rig_wait_end(process, RUN_TIMEOUT_MS);
	if (out)
		*out = read_file(process->out_path);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void rig_signal(struct rig_process *process, int signal)
{
	g_assert_cmpint(process->pid, >, 0);
	g_assert_cmpint(kill(process->pid, signal), ==, 0);
}

bool rig_has_ended(struct rig_process *process)
{
	if (process->pid > 0 && waitpid(process->pid, &process->exit_status,
					WNOHANG) == process->pid)
		process->pid = 0;
	return process->pid == 0;
}

int rig_wait_end(struct rig_process *process, int timeout_ms)
{
	gint64 end_us =
		g_get_monotonic_time() + timeout_ms * G_TIME_SPAN_MILLISECOND;

	while (!rig_has_ended(process)) {
		if (g_get_monotonic_time() > end_us)
			g_error("%s did not exit in time", process->name);
		rig_sleep_ms(POLL_MS);
	}
	return process->exit_status;
}

void rig_kill(struct rig_process *process)
{
	if (rig_has_ended(process))
		return;
	kill(process->pid, SIGKILL);
	waitpid(process->pid, &process->exit_status, 0);
	process->pid = 0;
}

bool rig_wait_until(bool (*condition)(void *data), void *data, int timeout_ms)
{
	gint64 end_us =
		g_get_monotonic_time() + timeout_ms * G_TIME_SPAN_MILLISECOND;

	while (!condition(data)) {
		if (g_get_monotonic_time() > end_us)
			return false;
		rig_sleep_ms(POLL_MS);
	}
	return true;
}

void rig_sleep_ms(int ms)
{
	g_usleep((gulong)ms * 1000);
}

int64_t rig_json_int(const char *json, const char *name)
{
	char *mark = g_strdup_printf("\"%s\":", name);
	const char *found = strstr(json, mark);
	int64_t value = found ? strtoll(found + strlen(mark), NULL, 10) : -1;

	g_free(mark);
	return value;
}

char *rig_read_output(const struct rig_process *process)
{
	return read_file(process->out_path);
}

char *rig_read_log(const struct rig_process *process)
{
	return read_file(process->out_path);
}
