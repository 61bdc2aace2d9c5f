#include "common/key_text.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DIGITS "0123456789abcdef"

const char *key_text(uint64_t key, char text[KEY_TEXT_SIZE])
{
	snprintf(text, KEY_TEXT_SIZE, "%016" PRIx64, key);
	return text;
}

bool key_text_parse(const char *text, uint64_t *key)
{
	if (strlen(text) != KEY_TEXT_SIZE - 1 ||
	    strspn(text, DIGITS) != KEY_TEXT_SIZE - 1)
		return false;
	*key = strtoull(text, NULL, 16);
	return true;
}
