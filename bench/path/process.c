#include "process.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/utsname.h>
#include <unistd.h>

#define SECOND_US 1000000

static void read_proc(pid_t pid, const char *name, char **text)
{
	char *path = g_strdup_printf("/proc/%d/%s", (int)pid, name);

	if (!g_file_get_contents(path, text, NULL, NULL))
		g_error("can't read %s", path);
	g_free(path);
}

int64_t process_cpu_us(pid_t pid)
{
	unsigned long user = 0;
	unsigned long kernel = 0;
	char *text = NULL;
	const char *rest;

	read_proc(pid, "stat", &text);
	/* The program's name, in parentheses, may contain any character. */
	rest = strrchr(text, ')');
	if (!rest || sscanf(rest,
			    ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
			    "%lu %lu",
			    &user, &kernel) != 2)
		g_error("can't parse /proc/%d/stat", (int)pid);
	g_free(text);
	return (int64_t)(user + kernel) * SECOND_US / sysconf(_SC_CLK_TCK);
}

int64_t process_memory_kib(pid_t pid, const char *name)
{
	char *mark = g_strdup_printf("\n%s:", name);
	char *text = NULL;
	const char *found;
	int64_t kib;

	read_proc(pid, "status", &text);
	found = strstr(text, mark);
	kib = found ? strtoll(found + strlen(mark), NULL, 10) : -1;
	g_free(mark);
	g_free(text);
	return kib;
}

void process_print_machine(FILE *out)
{
	struct utsname name;
	char *text = NULL;
	const char *model = NULL;

	uname(&name);
	if (g_file_get_contents("/proc/cpuinfo", &text, NULL, NULL))
		model = strstr(text, "model name\t: ");
	if (model)
		model += strlen("model name\t: ");
	fprintf(out, "machine: %s %s %s, %ld processors, %.*s\n", name.sysname,
		name.release, name.machine, sysconf(_SC_NPROCESSORS_ONLN),
		model ? (int)strcspn(model, "\n") : 1, model ? model : "-");
	g_free(text);
}
