#include "comfreydockd/config/follow_internal.h"

#include <glib.h>

#include "comfreydockd/decide/poll.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/timer.h"

/* How long an open watch may take to report a change that is known already. */
#define WATCH_REPORT_MAX_US ((int64_t)2000 * 1000)
/* A daemon that has sent no poll for this long logs its next one. */
#define POLLER_PAUSE_US (3 * POLL_INTERVAL_US)
/* Positions change as daemons come and go. */
#define POSITION_MAX_AGE_US POLL_INTERVAL_US

/* RETURN VALUE: see decide/poll.h; POLLERS_MAX also stands for all above. */
static unsigned int poll_position(const struct config_follow *follow)
{
	const struct config_follow_options *options = &follow->options;

	return member_table_count_before(options->members, options->host,
					 options->key, NULL, POLLERS_MAX);
}

static int64_t last_confirmed_us(const struct config_follow *follow)
{
	int64_t age_us = config_store_confirmed_age_us(follow->options.store);

	return age_us < 0 ? 0 : clock_boot_us() - age_us;
}

static void poll_free(struct follow_poll *poll)
{
	LIST_REMOVE(poll, link);
	g_free(poll);
}

static void handle_poll(const struct platform_answer *answer, void *data)
{
	struct follow_poll *poll = data;
	struct config_follow *follow = poll->follow;
	int64_t sent_us = poll->sent_us;

	poll_free(poll);
	if (answer->status == PLATFORM_HISTORY_GONE)
		follow_restart(follow);
	else if (!follow_take_answer(follow, answer, sent_us, false))
		counters.config_fetch_failures++;
}

static void log_poller(const struct config_follow *follow, unsigned int position)
{
	if (clock_boot_us() - follow->poll_sent_us < POLLER_PAUSE_US)
		return;
	log_event(EV_CONFIG_POLLER, LOG_INT("position", position),
		  LOG_INT("confirmed_age_us",
			  config_store_confirmed_age_us(follow->options.store)));
}

static void send_poll(struct config_follow *follow)
{
	struct follow_poll *poll = g_new0(struct follow_poll, 1);

	poll->follow = follow;
	poll->sent_us = clock_boot_us();
	LIST_INSERT_HEAD(&follow->polls, poll, link);
	follow->poll_sent_us = poll->sent_us;
	counters.config_polls++;
	platform_get_changes(follow->options.platform, follow->options.table,
			     follow->store_version, handle_poll, poll);
}

/* RETURN VALUE: whether a peer gave this daemon a version that its watch, open
 * since before, has not reported. */
static bool peers_were_first(const struct config_follow *follow)
{
	uint64_t head = config_store_head(follow->options.store);

	return follow->watch &&
	       head > MAX(follow->watch_head, follow->newest_version);
}

static void renew_lost_watch(struct config_follow *follow)
{
	int64_t now_us = clock_mono_us();

	if (peers_were_first(follow))
		follow_note_missed(follow);
	if (!follow->watch || !follow->missed_since_us ||
	    now_us - follow->missed_since_us < WATCH_REPORT_MAX_US)
		return;
	log_event(EV_CONFIG_WATCH_LOST, LOG_INT("after", follow->watch_after),
		  LOG_INT("open_us", now_us - follow->watch_sent_us),
		  LOG_INT("missed_us", now_us - follow->missed_since_us));
	counters.config_watches_lost++;
	follow_renew_watch(follow);
}

/* RETURN VALUE: the delay until the next poll, if this daemon sends any. */
static int64_t poll_if_due(struct config_follow *follow)
{
	unsigned int position = poll_position(follow);
	int64_t now_us = clock_boot_us();
	int64_t due_us = poll_due_us(position, last_confirmed_us(follow),
				     follow->poll_sent_us);

	if (due_us <= now_us) {
		log_poller(follow, position);
		send_poll(follow);
		due_us = poll_due_us(position, 0, now_us);
	}
	return due_us - now_us;
}

static void handle_poll_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config_follow *follow = timer->data;
	int64_t delay_us = POSITION_MAX_AGE_US;

	(void)events;
	renew_lost_watch(follow);
	/* Until then the row is being read anyway. */
	if (follow->has_read_row)
		delay_us = poll_if_due(follow);
	timer_restart_us(
		loop, timer,
		CLAMP(delay_us, CONFIG_FOLLOW_CHECK_US, POSITION_MAX_AGE_US));
}

void follow_note_missed(struct config_follow *follow)
{
	if (!follow->missed_since_us)
		follow->missed_since_us = clock_mono_us();
}

void follow_poll_init(struct config_follow *follow)
{
	LIST_INIT(&follow->polls);
	ev_init(&follow->poll_timer, handle_poll_timer);
	follow->poll_timer.data = follow;
	timer_restart_us(follow->options.loop, &follow->poll_timer,
			 POLL_INTERVAL_US);
}

void follow_poll_finish(struct config_follow *follow)
{
	ev_timer_stop(follow->options.loop, &follow->poll_timer);
	while (!LIST_EMPTY(&follow->polls))
		poll_free(LIST_FIRST(&follow->polls));
}
