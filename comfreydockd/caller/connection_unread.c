#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "comfreydockd/caller/connection_internal.h"
#include "comfreydockd/caller/listener.h"
#include "common/clock.h"
#include "common/log.h"

/* A caller whose kernel acknowledges nothing for this time doesn't read. */
#define STALL_US (2 * US_PER_S)
/* A caller that doesn't read for this time isn't waited for any longer. */
#define STALL_END_US (10 * US_PER_S)

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

static bool connection_is_stalled(const struct connection *connection,
				  int64_t now_us)
{
	return connection->unread > 0 &&
	       now_us - connection->unread_changed_us >= STALL_END_US;
}

void listener_end_stalled(struct listener *listener)
{
	struct connection *connection = LIST_FIRST(&listener->connections);
	int64_t now_us = clock_mono_us();

	while (connection) {
		struct connection *next = LIST_NEXT(connection, link);

		if (connection_is_stalled(connection, now_us)) {
			log_event(EV_CALLER_STALLED,
				  LOG_STR("caller", connection->address),
				  LOG_INT("unread", connection->unread));
			connection_destroy(connection);
		}
		connection = next;
	}
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
