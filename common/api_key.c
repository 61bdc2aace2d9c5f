#include "common/api_key.h"

#include <glib.h>

const char *api_key_find_fault(const char *key, size_t size)
{
	if (size == 0)
		return "the key is empty";
	if (size > API_KEY_MAX_BYTES)
		return "the key has more than " G_STRINGIFY(
			API_KEY_MAX_BYTES) " bytes";
	for (size_t i = 0; i < size; i++) {
		if (key[i] == ' ' || g_ascii_iscntrl(key[i]))
			return "the key has a space or a control byte";
	}
	return NULL;
}
