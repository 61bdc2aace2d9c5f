#include "comfreydockd/upstream/probe.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "comfreydockd/config/store.h"
#include "comfreydockd/upstream/health_call.h"
#include "common/address.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/timer.h"

#define TIMEOUT_MS 1000
/* Interval of connection attempts, within which a restarted upstream is found.
 * A refused connect on loopback costs about ten microseconds. */
#define CONNECT_RETRY_S 0.25

struct probe {
	struct daemon *daemon;
	void (*handle_reachable)(bool reachable, void *data);
	void *data;
	struct measure measure;
	const struct owner_announcement *announced; /* the owner's; NULL: none */
	char *path; /* NULL: no health requests are sent */
	ev_timer timer;
	ev_timer connect_timer; /* runs while the port refuses connections */
	struct health_call *pending;
	int64_t asked_us;
	unsigned int refusals; /* in a row */
	bool is_unreachable;
};

static void probe_schedule(struct probe *probe)
{
	struct ev_loop *loop = probe->daemon->loop;
	int64_t now = clock_mono_us();
	int64_t at = measure_next_us(&probe->measure, now);

	ev_timer_stop(loop, &probe->timer);
	if (!probe->announced || !probe->path || probe->pending || at == INT64_MAX)
		return;
	timer_restart_us(loop, &probe->timer, MAX(at - now, US_PER_MS));
}

static void probe_note_reachable(struct probe *probe, bool reachable)
{
	probe->refusals = reachable ? 0 : probe->refusals + 1;
	if (reachable == !probe->is_unreachable)
		return;
	if (!reachable && probe->refusals < PROBE_REFUSALS)
		return;
	probe->is_unreachable = !reachable;
	if (reachable) {
		ev_timer_stop(probe->daemon->loop, &probe->connect_timer);
		log_event(EV_PROBE_REACHABLE);
	} else {
		ev_timer_again(probe->daemon->loop, &probe->connect_timer);
		log_event(EV_PROBE_UNREACHABLE,
			  LOG_INT("refusals", probe->refusals));
	}
	probe->handle_reachable(reachable, probe->data);
}

static void handle_answer(const struct http_answer *answer, void *data)
{
	struct probe *probe = data;
	int64_t now = clock_mono_us();

	probe->pending = NULL;
	measure_end(&probe->measure, now - probe->asked_us, now);
	if (answer->result != CURLE_OK || answer->status >= 500) {
		counters.probe_failed++;
		log_event(EV_PROBE_FAILED, LOG_INT("status", answer->status),
			  LOG_STR("error", curl_easy_strerror(answer->result)));
	}
	if (answer->result == CURLE_OK || answer->never_sent)
		probe_note_reachable(probe, !answer->never_sent);
	probe_schedule(probe);
}

static void probe_send(struct probe *probe)
{
	const struct owner_announcement *announced = probe->announced;
	struct health_call_target target = {
		.address = announced->address,
		.port = announced->port,
		.path = probe->path,
		.timeout_ms = TIMEOUT_MS,
	};

	counters.probe_sent++;
	probe->asked_us = clock_mono_us();
	probe->pending =
		health_call_start(probe->daemon, &target, handle_answer, probe);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct probe *probe = timer->data;

	(void)loop;
	(void)events;
	if (measure_try_begin(&probe->measure, clock_mono_us()) == MEASURE_BEGIN)
		probe_send(probe);
	else
		probe_schedule(probe);
}

static int connect_to(const struct owner_announcement *announced)
{
	union socket_address to;
	socklen_t size = address_parse(&to, announced->address, announced->port);
	int fd = socket(to.any.sa_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	(void)connect(fd, &to.any, size);
	return fd;
}

/* On loopback a connect has succeeded or failed when the call returns. */
static bool upstream_is_listening(const struct owner_announcement *announced)
{
	struct pollfd poller = {.events = POLLOUT};
	int error = 0;
	socklen_t size = sizeof(error);

	poller.fd = connect_to(announced);
	if (poll(&poller, 1, 0) != 1 ||
	    getsockopt(poller.fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0)
		error = ETIMEDOUT;
	close(poller.fd);
	return error == 0 && !(poller.revents & (POLLERR | POLLHUP));
}

bool probe_upstream_is_listening(const struct probe *probe)
{
	return !probe->announced || upstream_is_listening(probe->announced);
}

static void handle_connect_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct probe *probe = timer->data;

	(void)loop;
	(void)events;
	if (upstream_is_listening(probe->announced))
		probe_note_reachable(probe, true);
}

struct probe *probe_create(struct daemon *daemon,
			   void (*handle_reachable)(bool reachable, void *data),
			   void *data)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->daemon = daemon;
	probe->handle_reachable = handle_reachable;
	probe->data = data;
	measure_init(&probe->measure, 1, 0, clock_mono_us());
	ev_init(&probe->timer, handle_timer);
	ev_timer_init(&probe->connect_timer, handle_connect_timer, 0.0,
		      CONNECT_RETRY_S);
	probe->timer.data = probe;
	probe->connect_timer.data = probe;
	return probe;
}

void probe_destroy(struct probe *probe)
{
	if (!probe)
		return;
	ev_timer_stop(probe->daemon->loop, &probe->timer);
	ev_timer_stop(probe->daemon->loop, &probe->connect_timer);
	if (probe->pending)
		health_call_cancel(probe->pending);
	g_free(probe->path);
	g_free(probe);
}

struct probe_settings {
	uint32_t permille;
	const char *path;
	bool known;
};

static void merge_group_settings(const struct config_group *group,
				 struct probe_settings *settings)
{
	settings->permille =
		settings->known ?
			MIN(settings->permille, group->measure_budget_permille) :
			group->measure_budget_permille;
	settings->known = true;
	if (!settings->path)
		settings->path = group->health_path;
}

static void find_settings(const struct probe *probe,
			  struct probe_settings *settings)
{
	const struct config_snapshot *snapshot =
		config_store_current(probe->daemon->config);

	for (char **name = probe->announced->groups; name && *name; name++) {
		const struct config_group *group =
			config_snapshot_group(snapshot, *name);

		if (group)
			merge_group_settings(group, settings);
	}
}

void probe_configure(struct probe *probe)
{
	struct probe_settings settings = {0};

	if (!probe->announced)
		return;
	find_settings(probe, &settings);
	g_free(probe->path);
	probe->path = g_strdup(settings.path);
	measure_set_budget(&probe->measure, probe->announced->slots,
			   settings.permille, clock_mono_us());
	probe_schedule(probe);
}

void probe_set_upstream(struct probe *probe,
			const struct owner_announcement *announced)
{
	probe->announced = announced;
	probe->refusals = 0;
	probe->is_unreachable = false;
	ev_timer_stop(probe->daemon->loop, &probe->connect_timer);
	probe_configure(probe);
}

void probe_note_connection_refused(struct probe *probe)
{
	probe_note_reachable(probe, false);
}

void probe_note_traffic(struct probe *probe)
{
	measure_note_traffic(&probe->measure, clock_mono_us());
	probe->refusals = 0;
}
