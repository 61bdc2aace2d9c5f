/* Request heads and bodies: reading them at once and byte by byte must give the
 * same result. */
#include <glib.h>

#include "fuzz.h"
#include "tests/reader_record.h"

#define MAX_HEAD 4096

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	const char *text = (const char *)bytes;
	GString *whole = reader_record(text, size, MAX(size, 1), MAX_HEAD);
	GString *single = reader_record(text, size, 1, MAX_HEAD);

	g_assert(g_string_equal(whole, single));
	g_string_free(whole, TRUE);
	g_string_free(single, TRUE);
	return 0;
}
