#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "comfreydockd/caller/connection_internal.h"
#include "comfreydockd/caller/listener.h"
#include "common/clock.h"

/* A caller whose kernel acknowledges nothing for this time doesn't read. */
#define STALL_US (2 * US_PER_S)

/* RETURN VALUE: the bytes of answers that the caller hasn't acknowledged, as far
 * as they are here. */
static int64_t count_unread(const struct connection *connection)
{
	const struct caller_request *request;
	int64_t unread = connection->out->len;
	int queued = 0;

	/* This counts what the kernel has taken. */
	if (ioctl(connection->fd, SIOCOUTQ, &queued) == 0)
		unread += queued;
	TAILQ_FOREACH (request, &connection->requests, link) {
		if (request->answer_complete)
			unread += request_unwritten(request);
	}
	return unread;
}

static bool connection_is_being_read(struct connection *connection, int64_t now_us)
{
	int64_t unread = count_unread(connection);

	if (unread != connection->unread)
		connection->unread_changed_us = now_us;
	connection->unread = unread;
	return unread > 0 && now_us - connection->unread_changed_us < STALL_US;
}

bool listener_is_being_read(struct listener *listener)
{
	struct connection *connection;
	int64_t now_us = clock_mono_us();
	bool is_being_read = false;

	/* Each connection is compared with the last call. */
	LIST_FOREACH (connection, &listener->connections, link)
		is_being_read |= connection_is_being_read(connection, now_us);
	return is_being_read;
}
