#include "comfreydockd/config/follow.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/decide/random.h"
#include "comfreydockd/decide/rendezvous.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/slice.h"
#include "common/timer.h"

struct config_follow {
	struct config_follow_options options;
	struct random_state random;
	ev_timer timer;
	bool is_watching; /* the version of the store is known */
	uint64_t version; /* of the store, up to which all was seen */
	uint64_t number; /* of the newest configuration seen */
	bool is_unread; /* the row as it is now could not be taken */
	int64_t backoff_us;
	int64_t asked_us; /* boot time of the reading before the watch */

	/* while behind */
	ev_timer look;
	int64_t behind_since_us;
	int64_t read_at_us; /* if still behind by then */
	bool is_reading;
	int64_t asked_alone_us;
};

static void follow_later(struct config_follow *follow, int64_t us)
{
	timer_restart_us(follow->options.loop, &follow->timer, us);
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

/* A row on its way into force. */
struct taking {
	struct config_follow *follow;
	char *value; /* NULL: the row was deleted */
	size_t size;
	uint64_t row_version;
	int64_t as_of_us; /* boot time at which nothing newer was there */
	bool was_read; /* asked for at that time, and not watched */
};

static void free_taking(void *data)
{
	struct taking *taking = data;

	g_free(taking->value);
	g_free(taking);
}

static void note_word(struct config_follow *follow, int64_t as_of_us,
		      bool was_read)
{
	struct config_store *store = follow->options.store;

	if (follow->is_unread || config_store_is_taking(store))
		return;
	if (was_read)
		config_store_note_newest(store, follow->number, as_of_us);
	else
		config_store_note_told(store, follow->number,
				       clock_boot_us() - as_of_us);
}

static void take_row(void *data)
{
	struct taking *taking = data;
	struct config_follow *follow = taking->follow;
	const struct config_follow_ops *ops = follow->options.ops;
	const char *error = "";
	uint64_t number = 0;
	char *body = NULL;

	counters.config_platform_bytes += taking->size;
	follow->is_unread = true;
	if (!taking->value) {
		log_event(EV_CONFIG_ROW_UNREADABLE,
			  LOG_STR("error", "deleted"));
	} else if (!ops->read(taking->value, taking->size, &number, &body,
			      &error, ops->data)) {
		log_event(EV_CONFIG_ROW_UNREADABLE, LOG_STR("error", error),
			  LOG_INT("row_version", taking->row_version));
	} else {
		log_event(EV_CONFIG_ROW_SEEN, LOG_INT("version", number),
			  LOG_INT("row_version", taking->row_version),
			  LOG_INT("store_version", follow->version));
		offer(follow, number, body);
		follow->is_unread = false;
		follow->number = number;
	}
	g_free(body);
	config_store_end_taking(follow->options.store);
	note_word(follow, taking->as_of_us, taking->was_read);
}

static void begin_taking(struct config_follow *follow,
			 const struct platform_row *row, int64_t as_of_us,
			 bool was_read)
{
	struct taking *taking = g_new0(struct taking, 1);

	taking->follow = follow;
	taking->value = row->value ? g_strndup(row->value, row->size) : NULL;
	taking->size = row->size;
	taking->row_version = row->version;
	taking->as_of_us = as_of_us;
	taking->was_read = was_read;
	config_store_begin_taking(follow->options.store);
	slice_queue_add(follow->options.slice_queue, take_row, free_taking,
			taking);
}

/* RETURN VALUE: false where the store gave no answer. */
static bool take_answer(struct config_follow *follow,
			const struct platform_answer *answer, int64_t as_of_us,
			bool was_read)
{
	if (answer->status != PLATFORM_OK && answer->status != PLATFORM_NOT_FOUND)
		return false;
	follow->version = MAX(follow->version, answer->version);
	for (size_t i = 0; i < answer->row_count; i++) {
		if (strcmp(answer->rows[i].key, follow->options.key) == 0)
			begin_taking(follow, &answer->rows[i], as_of_us,
				     was_read);
	}
	/* Nothing newer is news, too. */
	note_word(follow, as_of_us, was_read);
	return true;
}

static void watch_on(struct config_follow *follow,
		     const struct platform_answer *answer)
{
	follow->is_watching = true;
	follow->backoff_us = 0;
	follow_later(follow, answer->row_count ? CONFIG_FOLLOW_PAUSE_US : 0);
}

static void handle_watched(const struct platform_answer *answer, void *data)
{
	struct config_follow *follow = data;

	if (answer->status == PLATFORM_HISTORY_GONE) {
		/* The row itself is still there. */
		log_event(EV_CONFIG_WATCH_REFUSED,
			  LOG_INT("after", follow->version));
		follow->version = 0;
		follow->is_watching = false;
		follow_later(follow, 0);
	} else if (take_answer(follow, answer, clock_boot_us(), false)) {
		watch_on(follow, answer);
	} else {
		/* A store that was away may come back from a copy: a watch would
		 * wait for what it has already. */
		follow->is_watching = false;
		follow_after_failure(follow);
	}
}

static void handle_read(const struct platform_answer *answer, void *data)
{
	struct config_follow *follow = data;

	if (take_answer(follow, answer, follow->asked_us, true))
		watch_on(follow, answer);
	else
		follow_after_failure(follow);
}

static void handle_read_alone(const struct platform_answer *answer, void *data)
{
	struct config_follow *follow = data;

	follow->is_reading = false;
	if (!take_answer(follow, answer, follow->asked_alone_us, true))
		counters.config_fetch_failures++;
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

static void read_row(struct config_follow *follow, platform_handler handler)
{
	counters.config_head_reads++;
	platform_get(follow->options.platform, follow->options.key, handler,
		     follow);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config_follow *follow = timer->data;
	const struct config_follow_options *options = &follow->options;

	(void)loop;
	(void)events;
	if (!follow->is_watching) {
		follow->asked_us = clock_boot_us();
		read_row(follow, handle_read);
	} else if (is_drawn(follow)) {
		counters.config_head_reads++;
		platform_watch(options->platform, options->table, follow->version,
			       CONFIG_FOLLOW_WAIT_MS, handle_watched, follow);
	} else {
		follow_later(follow, CONFIG_FOLLOW_RETRY_MAX_US);
	}
}

/* Staying behind. */

/* Twice the span after a first reading in vain, or all of a large installation
 * would come round faster than they are apart. */
static void draw_read_time(struct config_follow *follow, bool is_first)
{
	uint64_t span = member_table_size(follow->options.members) *
				CONFIG_FOLLOW_APART_US +
			1;

	follow->read_at_us = clock_mono_us() + CONFIG_FOLLOW_BEHIND_US +
			     (is_first ? 0 : (int64_t)span) +
			     (int64_t)random_below(&follow->random, span);
}

/* Parts that still come are worth waiting for, but not for ever: where versions
 * follow each other faster than one crosses the link, none is ever whole. */
static bool is_due(const struct config_follow *follow)
{
	int64_t now_us = clock_mono_us();
	int64_t moved_us = config_store_moved_us(follow->options.store);

	return now_us >= follow->read_at_us &&
	       !config_store_is_taking(follow->options.store) &&
	       (now_us - moved_us >= CONFIG_FOLLOW_STILL_US ||
		now_us - follow->behind_since_us >= CONFIG_FOLLOW_PARTS_MAX_US);
}

static void read_alone(struct config_follow *follow)
{
	const struct config_store *store = follow->options.store;

	log_event(
		EV_CONFIG_READ_ALONE, LOG_INT("head", config_store_head(store)),
		LOG_INT("known_head", config_store_known_head(store)),
		LOG_INT("behind_us", clock_mono_us() - follow->behind_since_us));
	follow->is_reading = true;
	follow->asked_alone_us = clock_boot_us();
	draw_read_time(follow, false);
	read_row(follow, handle_read_alone);
}

static void handle_look(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config_follow *follow = timer->data;

	(void)events;
	if (config_store_doubt(follow->options.store) != CONFIG_DOUBT_BEHIND)
		ev_timer_stop(loop, timer);
	else if (follow->is_watching && !follow->is_reading && is_due(follow))
		read_alone(follow);
}

/*
 * A version reaches most daemons through peers alone, the others through a watch
 * that may be lost without a word. Where that way fails, for the version's size or
 * for a fault that nobody thought of, they would follow the rules of before for as
 * long as it lasts, with the store at hand; one notices config.fetch-failed with the
 * same known_head again and again.
 */
static void handle_behind(uint64_t head, const char *from_host, void *data)
{
	struct config_follow *follow = data;

	(void)head;
	(void)from_host;
	if (ev_is_active(&follow->look))
		return;
	follow->behind_since_us = clock_mono_us();
	draw_read_time(follow, true);
	ev_timer_again(follow->options.loop, &follow->look);
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
	ev_timer_init(&follow->look, handle_look, 0.0,
		      (double)CONFIG_FOLLOW_LOOK_US / US_PER_S);
	follow->look.data = follow;
	follow_later(follow, 0);
	return follow;
}

void config_follow_destroy(struct config_follow *follow)
{
	if (!follow)
		return;
	ev_timer_stop(follow->options.loop, &follow->timer);
	ev_timer_stop(follow->options.loop, &follow->look);
	g_free(follow);
}
