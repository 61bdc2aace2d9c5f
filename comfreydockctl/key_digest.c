#include <stdio.h>
#include <string.h>

#include "comfreydockctl/ctl.h"
#include "comfreydockd/config/key_digest.h"
#include "common/api_key.h"
#include "common/jsonc.h"

/* The longest key, a line end and one byte more, which shows that a key is too
 * long. */
#define INPUT_MAX (API_KEY_MAX_BYTES + 3)

static char *peer_key_file;

static const GOptionEntry options[] = {
	{"peer-key-file", 0, 0, G_OPTION_ARG_FILENAME, &peer_key_file,
	 "The file that peer.key_file of the daemons' settings names", "FILE"},
	{NULL},
};

/* Reads the key without the line end that follows it.
 * RETURN VALUE: false after printing the error. */
static bool read_key(char key[INPUT_MAX + 1])
{
	size_t size = fread(key, 1, INPUT_MAX, stdin);
	const char *fault;

	if (size && key[size - 1] == '\n')
		size--;
	if (size && key[size - 1] == '\r')
		size--;
	key[size] = '\0';
	fault = api_key_find_fault(key, size);
	if (fault)
		ctl_print_error("standard input: %s", fault);
	return !fault;
}

static bool read_peer_key(struct settings *settings)
{
	GError *error = NULL;
	gsize size;

	if (!peer_key_file) {
		ctl_print_error("--peer-key-file is required");
		return false;
	}
	if (!g_file_get_contents(peer_key_file, (char **)&settings->peer_key,
				 &size, &error)) {
		ctl_print_error("%s", error->message);
		g_error_free(error);
		return false;
	}
	settings->peer_key_size = size;
	if (!size)
		ctl_print_error("%s: the file is empty", peer_key_file);
	return size;
}

static void print_digest(const struct ctl *ctl, const char *digest)
{
	json_object *root;

	if (!ctl->json) {
		puts(digest);
		return;
	}
	root = json_object_new_object();
	jsonc_add_text(root, "digest", digest);
	ctl_print_json(root);
}

static int run(struct ctl *ctl, char **arguments)
{
	struct settings settings = {0};
	char digest[KEY_DIGEST_SIZE];
	char key[INPUT_MAX + 1];
	int status = CTL_USAGE;

	(void)arguments;
	if (read_peer_key(&settings) && read_key(key)) {
		key_digest_of(&settings, key, digest);
		print_digest(ctl, digest);
		status = CTL_OK;
	}
	g_free(settings.peer_key);
	return status;
}

const struct ctl_command ctl_key_digest = {
	.name = "key-digest",
	.arguments = "",
	.summary = "print the digest of the API key on standard input",
	.options = options,
	.run = run,
};
