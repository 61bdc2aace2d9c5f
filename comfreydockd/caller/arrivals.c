#include "comfreydockd/caller/arrivals.h"

#include <string.h>

void arrivals_add(struct arrivals *arrivals, size_t bytes, int64_t now_us)
{
	unsigned int last = arrivals->count;

	if (last == ARRIVALS_MAX)
		last--;
	else
		arrivals->count++;
	arrivals->reads[last].bytes += bytes;
	arrivals->reads[last].us = now_us;
}

static void forget_oldest(struct arrivals *arrivals)
{
	arrivals->count--;
	memmove(arrivals->reads, arrivals->reads + 1,
		arrivals->count * sizeof(arrivals->reads[0]));
	arrivals->reads[arrivals->count].bytes = 0;
}

int64_t arrivals_take(struct arrivals *arrivals, size_t bytes)
{
	int64_t us = 0;

	while (arrivals->count > 0) {
		us = arrivals->reads[0].us;
		if (bytes < arrivals->reads[0].bytes) {
			arrivals->reads[0].bytes -= bytes;
			break;
		}
		bytes -= arrivals->reads[0].bytes;
		forget_oldest(arrivals);
		if (bytes == 0)
			break;
	}
	return us;
}

void arrivals_clear(struct arrivals *arrivals)
{
	memset(arrivals, 0, sizeof(*arrivals));
}
