#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "comfreydockd/caller/connection_internal.h"
#include "comfreydockd/caller/listener.h"
#include "common/clock.h"

/* A caller whose kernel acknowledges nothing for this time doesn't read. */
#define STALL_US (2 * US_PER_S)

/* RETURN VALUE: the bytes of complete answers that the kernel hasn't taken. It
 * delivers what it has taken even after the process has ended. */
static int64_t count_unsent(const struct connection *connection)
{
	const struct caller_request *request;
	int64_t unsent = connection->out->len;

	TAILQ_FOREACH (request, &connection->requests, link) {
		if (request->answer_complete)
			unsent += (int64_t)request_unwritten(request);
	}
	return unsent;
}

int64_t connection_unacknowledged(const struct connection *connection)
{
	int queued = 0;

	return ioctl(connection->fd, SIOCOUTQ, &queued) == 0 ? queued : 0;
}

static bool connection_is_being_read(struct connection *connection, int64_t now_us)
{
	int64_t unsent = count_unsent(connection);
	/* What was acknowledged shows that a caller reads before there is room
	 * for more. */
	int64_t unread = unsent + connection_unacknowledged(connection);

	if (unread != connection->unread)
		connection->unread_changed_us = now_us;
	connection->unread = unread;
	return unsent > 0 && now_us - connection->unread_changed_us < STALL_US;
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
