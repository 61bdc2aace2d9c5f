#include "comfreydockd/caller/content.h"

#include <string.h>
#include <xxhash.h>

uint64_t content_seed(const void *key, size_t size)
{
	return size ? XXH3_64bits(key, size) : 0;
}

/* The hash of each part seeds that of the next, so that text moved from one
 * part to its neighbour gives another key. */
static uint64_t add_text(uint64_t key, const char *text)
{
	return XXH3_64bits_withSeed(text, strlen(text), key);
}

uint64_t content_key(const struct content *content, uint64_t seed)
{
	uint64_t key = seed;

	key = add_text(key, content->service);
	key = add_text(key, content->method);
	key = add_text(key, content->target);
	key = add_text(key, content->caller);
	key = XXH3_64bits_withSeed(content->body, content->body_size, key);
	return key ? key : 1;
}
