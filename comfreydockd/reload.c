#include "comfreydockd/reload.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "common/log.h"

struct reload {
	struct ev_loop *loop;
	char *file;
	struct settings *settings;
	ev_signal sighup;
	ev_timer poll_timer;
	struct timespec modified_at;
	off_t size;
};

static bool is_same_address(const struct settings_address *a,
			    const struct settings_address *b)
{
	return a->port == b->port && g_strcmp0(a->address, b->address) == 0;
}

/* The pools and the frame handlers are set up for the window at the start. */
static bool is_same_quota(const struct settings_quota *a,
			  const struct settings_quota *b)
{
	return a->window_s == b->window_s && a->overage == b->overage &&
	       a->slack == b->slack;
}

/* Compares the settings that can't change in a running daemon, mainly those
 * that it binds, advertises or writes to rows at the start. */
static bool has_same_fixed_settings(const struct settings *a,
				    const struct settings *b)
{
	return g_strcmp0(a->host, b->host) == 0 &&
	       g_strcmp0(a->domain, b->domain) == 0 &&
	       g_strcmp0(a->region, b->region) == 0 &&
	       g_strcmp0(a->service, b->service) == 0 &&
	       g_strcmp0(a->platform_url, b->platform_url) == 0 &&
	       a->quarantine_trial_ms == b->quarantine_trial_ms &&
	       is_same_quota(&a->quota, &b->quota) &&
	       is_same_address(&a->caller, &b->caller) &&
	       is_same_address(&a->peer, &b->peer) &&
	       is_same_address(&a->advertise, &b->advertise) &&
	       is_same_address(&a->admin, &b->admin) &&
	       is_same_address(&a->upstream, &b->upstream) &&
	       is_same_address(&a->ready, &b->ready) &&
	       is_same_address(&a->reports, &b->reports) &&
	       is_same_address(&a->metrics, &b->metrics);
}

enum reload_result settings_apply_reload(struct settings *settings,
					 const struct settings *changed)
{
	settings->stop = changed->stop;
	settings->drain_timeout_ms = changed->drain_timeout_ms;
	settings->retry_budget = changed->retry_budget;
	settings->cold_start = changed->cold_start;
	settings->domains = changed->domains;
	settings->throttles = changed->throttles;
	settings->probes_per_s = changed->probes_per_s;
	settings->max_buffered_bytes = changed->max_buffered_bytes;
	settings->log_format = changed->log_format;
	settings->log_budget = changed->log_budget;
	return has_same_fixed_settings(settings, changed) ? RELOAD_DONE :
							    RELOAD_PARTLY;
}

void settings_start_log(const struct settings *settings)
{
	log_init(settings->log_format, settings->host);
	log_set_budget(settings->log_budget.lines_per_s,
		       settings->log_budget.bytes_per_s);
}

static void reload_now(struct reload *reload, const char *why)
{
	static const char *const names[] = {"done", "refused", "partly"};
	enum reload_result result = RELOAD_REFUSED;
	struct settings *changed;
	struct findings findings;

	findings_init(&findings);
	changed = settings_load(reload->file, &findings);
	if (changed) {
		result = settings_apply_reload(reload->settings, changed);
		settings_start_log(reload->settings);
	}
	findings_print(&findings, stderr);
	log_event(EV_SETTINGS_RELOADED, LOG_STR("why", why),
		  LOG_STR("result", names[result]),
		  LOG_INT("errors", findings.errors));
	findings_finish(&findings);
	settings_destroy(changed);
}

/* Refreshes the known modification time and size of the file.
 * RETURN VALUE: true if they have changed. */
static bool refresh_file_stat(struct reload *reload)
{
	struct stat now;
	bool differs;

	/* The file may be missing for a moment while it is replaced. */
	if (stat(reload->file, &now) < 0)
		return false;
	differs = now.st_mtim.tv_sec != reload->modified_at.tv_sec ||
		  now.st_mtim.tv_nsec != reload->modified_at.tv_nsec ||
		  now.st_size != reload->size;
	reload->modified_at = now.st_mtim;
	reload->size = now.st_size;
	return differs;
}

static void handle_sighup(struct ev_loop *loop, ev_signal *signal, int events)
{
	struct reload *reload = signal->data;

	(void)loop;
	(void)events;
	refresh_file_stat(reload);
	reload_now(reload, "signal");
}

static void handle_poll(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct reload *reload = timer->data;

	(void)loop;
	(void)events;
	if (refresh_file_stat(reload))
		reload_now(reload, "changed");
}

struct reload *reload_create(struct ev_loop *loop, const char *file,
			     struct settings *settings)
{
	struct reload *reload = g_new0(struct reload, 1);

	reload->loop = loop;
	reload->file = g_strdup(file);
	reload->settings = settings;
	refresh_file_stat(reload);
	ev_signal_init(&reload->sighup, handle_sighup, SIGHUP);
	ev_timer_init(&reload->poll_timer, handle_poll, RELOAD_POLL_S,
		      RELOAD_POLL_S);
	reload->sighup.data = reload;
	reload->poll_timer.data = reload;
	ev_signal_start(loop, &reload->sighup);
	ev_timer_start(loop, &reload->poll_timer);
	return reload;
}

void reload_destroy(struct reload *reload)
{
	if (!reload)
		return;
	ev_signal_stop(reload->loop, &reload->sighup);
	ev_timer_stop(reload->loop, &reload->poll_timer);
	g_free(reload->file);
	g_free(reload);
}
