/* What the platform's store answers, and the operator's row in it. */
#include <glib.h>

#include "fuzz.h"
#include "platform/manifest.h"
#include "platform/store_codec.h"

#define RETRY_PERCENT 20

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	char *text = g_strndup((const char *)bytes, size);
	GArray *rows = store_rows_create();
	const char *error = NULL;
	uint64_t version = 0;
	char *body = NULL;

	store_read_answer(text, rows, &version);
	g_array_unref(rows);
	if (platform_manifest_read((const char *)bytes, size, RETRY_PERCENT,
				   &version, &body, &error))
		g_assert(body);
	else
		g_assert(error);
	g_free(body);
	g_free(text);
	return 0;
}
