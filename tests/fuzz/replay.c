/* Runs the fuzz target on each file of a directory and on each prefix of it. */
#include <glib.h>
#include <stdio.h>

#include "fuzz.h"

static unsigned int replay_file(const char *path)
{
	GError *error = NULL;
	char *text = NULL;
	gsize size;

	if (!g_file_get_contents(path, &text, &size, &error))
		g_error("%s: %s", path, error->message);
	for (gsize length = 0; length <= size; length++)
		LLVMFuzzerTestOneInput((const uint8_t *)text, length);
	g_free(text);
	return 1;
}

int main(int argc, char **argv)
{
	GDir *folder = argc == 2 ? g_dir_open(argv[1], 0, NULL) : NULL;
	unsigned int files = 0;
	const char *name;

	if (!folder) {
		fprintf(stderr, "usage: %s DIRECTORY\n", argv[0]);
		return 2;
	}
	while ((name = g_dir_read_name(folder))) {
		char *path = g_build_filename(argv[1], name, NULL);

		files += replay_file(path);
		g_free(path);
	}
	g_dir_close(folder);
	printf("%u files\n", files);
	return files ? 0 : 1;
}
