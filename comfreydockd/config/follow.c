#include "comfreydockd/config/follow.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/decide/random.h"
#include "comfreydockd/decide/rendezvous.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

struct config_follow {
	struct config_follow_options options;
	struct random_state random;
	ev_timer timer;
	bool is_watching; /* the version of the store is known */
	uint64_t version; /* of the store, up to which all was seen */
	uint64_t number; /* of the newest configuration seen */
	bool is_unread; /* the row as it is now could not be taken */
	int64_t backoff_us;
	bool is_asking;
	int64_t read_at_us; /* if still behind by then; 0: not behind */
};

static void follow_later(struct config_follow *follow, int64_t us)
{
	ev_timer_stop(follow->options.loop, &follow->timer);
	ev_timer_set(&follow->timer, (double)us / US_PER_S, 0.0);
	ev_timer_start(follow->options.loop, &follow->timer);
}

/* Half of the time is drawn, so that daemons which lost the store together
 * don't come back together. */
static void follow_after_failure(struct config_follow *follow)
{
	follow->backoff_us =
		CLAMP(follow->backoff_us * 2, CONFIG_FOLLOW_RETRY_MIN_US,
		      CONFIG_FOLLOW_RETRY_MAX_US);
	counters.config_fetch_failures++;
	follow_later(follow, follow->backoff_us / 2 +
				     (int64_t)random_below(
					     &follow->random,
					     (uint64_t)follow->backoff_us / 2));
}

static void offer(struct config_follow *follow, uint64_t number, const char *body)
{
	struct config_version version = {
		.name = follow->options.namespace,
		.version = number,
		.at = number,
	};

	config_body_sha256(body, strlen(body), version.sha256);
	config_store_note_listing(follow->options.store, number, &version, 1);
	config_store_take(follow->options.store, &version, body);
}

static void take_row(struct config_follow *follow, const struct platform_row *row)
{
	const struct config_follow_ops *ops = follow->options.ops;
	const char *error = "";
	uint64_t number = 0;
	char *body = NULL;

	if (strcmp(row->key, follow->options.key) != 0)
		return;
	counters.config_platform_bytes += row->size;
	follow->is_unread = true;
	if (!row->value) {
		log_event(EV_CONFIG_ROW_UNREADABLE,
			  LOG_STR("error", "deleted"));
	} else if (!ops->read(row->value, row->size, &number, &body, &error,
			      ops->data)) {
		log_event(EV_CONFIG_ROW_UNREADABLE, LOG_STR("error", error),
			  LOG_INT("row_version", row->version));
	} else {
		log_event(EV_CONFIG_ROW_SEEN, LOG_INT("version", number),
			  LOG_INT("row_version", row->version));
		follow->is_unread = false;
		follow->number = number;
		offer(follow, number, body);
	}
	g_free(body);
}

static void handle_answer(const struct platform_answer *answer, void *data)
{
	struct config_follow *follow = data;

	follow->is_asking = false;
	if (answer->status == PLATFORM_HISTORY_GONE) {
		/* The row itself is still there. */
		follow->is_watching = false;
		follow_later(follow, 0);
		return;
	}
	if (answer->status != PLATFORM_OK &&
	    answer->status != PLATFORM_NOT_FOUND) {
		follow_after_failure(follow);
		return;
	}
	for (size_t i = 0; i < answer->row_count; i++)
		take_row(follow, &answer->rows[i]);
	/* Nothing newer is news, too: what is held is as new as this answer. */
	if (!follow->is_unread)
		config_store_note_told(follow->options.store, follow->number, 0);
	follow->version = MAX(follow->version, answer->version);
	follow->is_watching = true;
	follow->backoff_us = 0;
	follow_later(follow, answer->row_count ? CONFIG_FOLLOW_PAUSE_US : 0);
}

static bool is_rival(const struct config_follow *follow,
		     const struct member *member)
{
	return member->state == MEMBER_ALIVE &&
	       strcmp(member->domain, follow->options.domain) == 0 &&
	       strcmp(member->host, follow->options.host) != 0;
}

static bool is_drawn(const struct config_follow *follow)
{
	uint64_t own =
		rendezvous_weight(follow->options.host, follow->options.domain);
	unsigned int above = 0;
	struct member *member;

	TAILQ_FOREACH (member, member_table_all(follow->options.members), link) {
		if (is_rival(follow, member) &&
		    rendezvous_weight(member->host, follow->options.domain) > own)
			above++;
		if (above >= CONFIG_FOLLOWERS)
			return false;
	}
	return true;
}

static void read_row(struct config_follow *follow)
{
	follow->is_asking = true;
	counters.config_head_reads++;
	platform_get(follow->options.platform, follow->options.key,
		     handle_answer, follow);
}

static void watch_row(struct config_follow *follow)
{
	follow->is_asking = true;
	counters.config_head_reads++;
	platform_watch(follow->options.platform, follow->options.table,
		       follow->version, CONFIG_FOLLOW_WAIT_MS, handle_answer,
		       follow);
}

static bool is_behind(const struct config_follow *follow)
{
	return config_store_doubt(follow->options.store) == CONFIG_DOUBT_BEHIND;
}

static int64_t draw_read_time(struct config_follow *follow)
{
	uint64_t span = member_table_size(follow->options.members) *
				CONFIG_FOLLOW_APART_US +
			1;

	return clock_mono_us() + CONFIG_FOLLOW_BEHIND_US +
	       (int64_t)random_below(&follow->random, span);
}

/*
 * A version reaches most daemons through peers alone. Where that way fails, for
 * its size or for a fault that nobody thought of, they would follow the rules of
 * before for as long as it lasts, with the store at hand; one notices
 * config.fetch-failed with the same known_head again and again.
 */
static void handle_behind(uint64_t head, const char *from_host, void *data)
{
	struct config_follow *follow = data;

	(void)head;
	(void)from_host;
	if (follow->read_at_us || follow->is_asking)
		return;
	follow->read_at_us = draw_read_time(follow);
	follow_later(follow, CONFIG_FOLLOW_LOOK_US);
}

static bool is_due(const struct config_follow *follow)
{
	int64_t now_us = clock_mono_us();
	int64_t moved_us = config_store_moved_us(follow->options.store);

	return now_us >= follow->read_at_us &&
	       now_us - moved_us >= CONFIG_FOLLOW_STILL_US;
}

static void read_alone(struct config_follow *follow)
{
	log_event(EV_CONFIG_READ_ALONE,
		  LOG_INT("head", config_store_head(follow->options.store)),
		  LOG_INT("known_head",
			  config_store_known_head(follow->options.store)));
	follow->read_at_us = 0;
	read_row(follow);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config_follow *follow = timer->data;

	(void)loop;
	(void)events;
	if (!is_behind(follow))
		follow->read_at_us = 0;
	else if (!follow->read_at_us)
		follow->read_at_us = draw_read_time(follow);
	if (!follow->is_watching)
		read_row(follow);
	else if (follow->read_at_us && is_due(follow))
		read_alone(follow);
	else if (is_drawn(follow))
		watch_row(follow);
	else
		follow_later(follow, follow->read_at_us ?
					     CONFIG_FOLLOW_LOOK_US :
					     CONFIG_FOLLOW_RETRY_MAX_US);
}

struct config_follow *
config_follow_create(const struct config_follow_options *options)
{
	struct config_follow *follow = g_new0(struct config_follow, 1);
	struct config_store_observer observer = {
		.handle_behind = handle_behind,
		.data = follow,
	};

	follow->options = *options;
	config_store_observe(options->store, &observer);
	follow->random.state = options->seed;
	ev_init(&follow->timer, handle_timer);
	follow->timer.data = follow;
	follow_later(follow, 0);
	return follow;
}

void config_follow_destroy(struct config_follow *follow)
{
	if (!follow)
		return;
	ev_timer_stop(follow->options.loop, &follow->timer);
	g_free(follow);
}
