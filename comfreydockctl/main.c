/*
 * NAME
 *	comfreydockctl - command-line tool for operators; see comfreydockctl(1)
 */
#include <stdio.h>
#include <string.h>

#include "comfreydockctl/ctl.h"
#include "common/http_client.h"

#define DEFAULT_ADMIN "http://127.0.0.1:8082"

/* Sorted by name; --help prints them in this order. */
static const struct ctl_command *const commands[] = {
	&ctl_apply,	  &ctl_check,	      &ctl_drain,      &ctl_evacuate,
	&ctl_evacuations, &ctl_failures,      &ctl_hosts,      &ctl_key_digest,
	&ctl_metrics,	  &ctl_organisations, &ctl_quarantine, &ctl_restore,
	&ctl_resume,	  &ctl_show,	      &ctl_status,     &ctl_timeline,
};

static const struct ctl_command *find_command(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i]->name, name) == 0)
			return commands[i];
	}
	return NULL;
}

static void print_help(FILE *out)
{
	fputs("Usage: comfreydockctl COMMAND [OPTION...] [ARGUMENT]\n\n", out);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		char *left = g_strdup_printf("%s %s", commands[i]->name,
					     commands[i]->arguments);

		fprintf(out, "  %-22s %s\n", left, commands[i]->summary);
		g_free(left);
	}
	fputs("\n\"comfreydockctl COMMAND --help\" shows its options.\n", out);
}

static bool read_token(struct ctl *ctl, const char *file)
{
	if (!file)
		return true;
	ctl->token = ctl_read_file(file);
	if (!ctl->token)
		return false;
	g_strstrip(ctl->token);
	return true;
}

/* RETURN VALUE: false after printing the error. */
static bool parse_options(struct ctl *ctl, const struct ctl_command *command,
			  int *argc, char ***argv)
{
	char *token_file = NULL;
	gboolean json = FALSE;
	GOptionEntry shared[] = {
		{"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL},
		{"admin", 0, 0, G_OPTION_ARG_STRING, &ctl->admin,
		 "Admin API of the daemon; default: $COMFREYDOCK_ADMIN", "URL"},
		{"token-file", 0, 0, G_OPTION_ARG_FILENAME, &token_file,
		 "File that holds the admin token", "FILE"},
		{NULL},
	};
	char *usage =
		g_strdup_printf("%s - %s", command->arguments, command->summary);
	GOptionContext *context = g_option_context_new(usage);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, shared, NULL);
	if (command->options)
		g_option_context_add_main_entries(context, command->options,
						  NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok)
		ctl_print_error("%s", error->message);
	ok = ok && read_token(ctl, token_file);
	ctl->json = json;
	g_clear_error(&error);
	g_option_context_free(context);
	g_free(token_file);
	g_free(usage);
	return ok;
}

static int run(struct ctl *ctl, const struct ctl_command *command, int argc,
	       char **argv)
{
	const char *admin = g_getenv("COMFREYDOCK_ADMIN");
	char *program;

	program = g_strconcat("comfreydockctl ", command->name, NULL);
	g_set_prgname(program);
	g_free(program);
	if (!parse_options(ctl, command, &argc, &argv))
		return CTL_USAGE;
	if (argc - 1 < command->min_arguments ||
	    argc - 1 > command->max_arguments) {
		ctl_print_error("usage: comfreydockctl %s %s", command->name,
				command->arguments);
		return CTL_USAGE;
	}
	if (!ctl->admin)
		ctl->admin = g_strdup(admin ? admin : DEFAULT_ADMIN);
	if (g_str_has_suffix(ctl->admin, "/"))
		ctl->admin[strlen(ctl->admin) - 1] = '\0';
	ctl->loop = ev_default_loop(0);
	ctl->client = http_client_create(ctl->loop);
	return command->run(ctl, argv + 1);
}

int main(int argc, char **argv)
{
	const struct ctl_command *command;
	struct ctl ctl = {0};
	int status;

	if (argc < 2) {
		print_help(stderr);
		return CTL_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_help(stdout);
		return CTL_OK;
	}
	if (strcmp(argv[1], "--version") == 0) {
		puts("comfreydockctl " COMFREYDOCK_VERSION);
		return CTL_OK;
	}
	command = find_command(argv[1]);
	if (!command) {
		ctl_print_error("unknown command \"%s\"; see --help", argv[1]);
		return CTL_USAGE;
	}
	status = run(&ctl, command, argc - 1, argv + 1);
	http_client_destroy(ctl.client);
	g_free(ctl.admin);
	g_free(ctl.token);
	return status;
}
