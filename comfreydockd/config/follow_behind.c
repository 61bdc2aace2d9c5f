#include "comfreydockd/config/follow_internal.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

static void handle_own_read(const struct platform_answer *answer, void *data)
{
	struct config_follow *follow = data;

	follow->is_own_read_open = false;
	if (!follow_take_answer(follow, answer, follow->own_read_sent_us, true))
		counters.config_fetch_failures++;
}

/* The span has one CONFIG_FOLLOW_READ_SPACING_US per member. Each read after the
 * first is delayed by one span more. Without this the daemons of a large
 * installation would repeat failed reads at a higher rate than the spacing
 * allows. */
static void schedule_own_read(struct config_follow *follow, bool is_first)
{
	uint64_t span = member_table_size(follow->options.members) *
				CONFIG_FOLLOW_READ_SPACING_US +
			1;

	follow->own_read_at_us = clock_mono_us() + CONFIG_FOLLOW_PEER_GRACE_US +
				 (is_first ? 0 : (int64_t)span) +
				 (int64_t)random_below(&follow->random, span);
}

/* Delays the own read while pieces of a version still arrive from peers, but not
 * after this daemon was behind for CONFIG_FOLLOW_PIECES_MAX_US: if new versions
 * appear faster than the link transfers one, no version is ever complete. */
static bool is_own_read_due(const struct config_follow *follow)
{
	int64_t now_us = clock_mono_us();
	int64_t progress_us = config_store_progress_us(follow->options.store);

	return now_us >= follow->own_read_at_us &&
	       !config_store_is_adopting(follow->options.store) &&
	       (now_us - progress_us >= CONFIG_FOLLOW_STALL_US ||
		now_us - follow->behind_since_us >= CONFIG_FOLLOW_PIECES_MAX_US);
}

static void send_own_read(struct config_follow *follow)
{
	const struct config_store *store = follow->options.store;

	log_event(
		EV_CONFIG_READ_ALONE, LOG_INT("head", config_store_head(store)),
		LOG_INT("known_head", config_store_known_head(store)),
		LOG_INT("behind_us", clock_mono_us() - follow->behind_since_us));
	follow->is_own_read_open = true;
	follow->own_read_sent_us = clock_boot_us();
	schedule_own_read(follow, false);
	follow_read_row(follow, handle_own_read);
}

static void handle_behind_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config_follow *follow = timer->data;

	(void)events;
	if (config_store_get_doubt(follow->options.store) != CONFIG_DOUBT_BEHIND)
		ev_timer_stop(loop, timer);
	else if (follow->has_read_row && !follow->is_own_read_open &&
		 is_own_read_due(follow))
		send_own_read(follow);
}

/*
 * Most daemons get a version only from peers, the others through a watch that
 * may be lost without an error. If that path fails, because of the version's
 * size or an unforeseen fault, a daemon would keep the old rules for as long as
 * the failure lasts although the platform's store is reachable. The symptom is
 * config.fetch-failed with the same known_head again and again.
 */
static void handle_behind(uint64_t head, const char *from_host, void *data)
{
	struct config_follow *follow = data;

	(void)head;
	(void)from_host;
	if (ev_is_active(&follow->behind_timer))
		return;
	follow->behind_since_us = clock_mono_us();
	schedule_own_read(follow, true);
	ev_timer_again(follow->options.loop, &follow->behind_timer);
}

void follow_behind_init(struct config_follow *follow)
{
	struct config_store_observer observer = {
		.handle_behind = handle_behind,
		.data = follow,
	};

	config_store_observe(follow->options.store, &observer);
	ev_timer_init(&follow->behind_timer, handle_behind_timer, 0.0,
		      (double)CONFIG_FOLLOW_CHECK_US / US_PER_S);
	follow->behind_timer.data = follow;
}

void follow_behind_finish(struct config_follow *follow)
{
	ev_timer_stop(follow->options.loop, &follow->behind_timer);
}
