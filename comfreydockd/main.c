#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <ev.h>
#include <glib.h>

#include "comfreydockd/assembly.h"
#include "comfreydockd/reload.h"
#include "comfreydockd/settings.h"
#include "common/clock.h"
#include "common/http_client.h"
#include "common/log.h"

enum exit_status {
	EXIT_OK = 0,
	EXIT_USAGE = 2,
	EXIT_SETTINGS = 3,
	EXIT_START = 4,
};

struct options {
	char *config;
	gboolean check;
	gboolean version;
};

static bool parse_options(int *argc, char ***argv, struct options *options)
{
	GOptionEntry entries[] = {
		{"config", 'c', 0, G_OPTION_ARG_FILENAME, &options->config,
		 "Settings file (JSON with comments)", "FILE"},
		{"check", 0, 0, G_OPTION_ARG_NONE, &options->check,
		 "Check the settings and exit", NULL},
		{"version", 'V', 0, G_OPTION_ARG_NONE, &options->version,
		 "Show the version and exit", NULL},
		{NULL},
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool good;

	g_option_context_set_summary(
		context,
		"The comfreydock daemon. One runs beside each upstream.");
	g_option_context_add_main_entries(context, entries, NULL);
	good = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!good) {
		fprintf(stderr, "comfreydockd: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	if (*argc > 1) {
		fprintf(stderr, "comfreydockd: unexpected argument '%s'\n",
			(*argv)[1]);
		return false;
	}
	return true;
}

static struct settings *load_settings(const char *file)
{
	struct findings findings;
	struct settings *settings;

	findings_init(&findings);
	settings = settings_load(file, &findings);
	findings_print(&findings, stderr);
	findings_finish(&findings);
	return settings;
}

/* Each connection of a caller or peer takes a file descriptor. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run_daemon(struct settings *settings, const char *file)
{
	struct assembly *assembly;

	signal(SIGPIPE, SIG_IGN);
	raise_descriptor_limit();
	settings_start_log(settings);
	assembly = assembly_create(settings, file);
	if (!assembly)
		return EXIT_START;
	assembly_run(assembly);
	assembly_destroy(assembly);
	return EXIT_OK;
}

static int serve(const struct options *options)
{
	struct settings *settings;
	int status = EXIT_OK;

	if (options->version) {
		printf("comfreydockd %s\n", COMFREYDOCK_VERSION);
		return EXIT_OK;
	}
	if (!options->config) {
		fprintf(stderr, "comfreydockd: --config FILE is missing; "
				"see --help\n");
		return EXIT_USAGE;
	}
	settings = load_settings(options->config);
	if (!settings)
		return EXIT_SETTINGS;
	if (!options->check)
		status = run_daemon(settings, options->config);
	settings_destroy(settings);
	return status;
}

int main(int argc, char **argv)
{
	struct options options = {0};
	int status;

	if (!parse_options(&argc, &argv, &options))
		return EXIT_USAGE;
	status = serve(&options);
	g_free(options.config);
	return status;
}
