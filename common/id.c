#include "common/id.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

/* getrandom(2) returns up to 256 bytes in full once the kernel's entropy pool is
 * initialized. */
#define POOL_SIZE 32

uint64_t id_random_u64(void)
{
	static uint64_t pool[POOL_SIZE];
	static unsigned int left;

	if (left == 0) {
		if (getrandom(pool, sizeof(pool), 0) != sizeof(pool))
			abort();
		left = POOL_SIZE;
	}
	return pool[--left];
}

void id_random(char text[ID_TEXT_SIZE])
{
	snprintf(text, ID_TEXT_SIZE, "%016" PRIx64 "%016" PRIx64,
		 id_random_u64(), id_random_u64());
}
