#include "comfreydockd/decide/poll.h"

#include <glib.h>

int64_t poll_due_us(unsigned int position, int64_t confirmed_us, int64_t sent_us)
{
	if (position >= POLLERS_MAX)
		return INT64_MAX;
	if (position < POLLERS_INDEPENDENT)
		return sent_us + POLL_INTERVAL_US;
	return MAX(confirmed_us, sent_us) + (position + 1) * POLL_INTERVAL_US;
}
