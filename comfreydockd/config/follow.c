#include "comfreydockd/config/follow_internal.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/member/evacuation.h"
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/slice.h"
#include "common/timer.h"

static void schedule_request(struct config_follow *follow, int64_t us)
{
	timer_restart_us(follow->options.loop, &follow->timer, us);
}

/* Half of the backoff is random, so that daemons that lost the platform's store
 * at the same time don't reconnect at the same time. */
static void schedule_retry(struct config_follow *follow)
{
	follow->backoff_us =
		CLAMP(follow->backoff_us * 2, CONFIG_FOLLOW_RETRY_MIN_US,
		      CONFIG_FOLLOW_RETRY_MAX_US);
	counters.config_fetch_failures++;
	schedule_request(
		follow,
		follow->backoff_us / 2 +
			(int64_t)random_below(&follow->random,
					      (uint64_t)follow->backoff_us / 2));
}

static void offer(struct config_follow *follow, uint64_t number, const char *body)
{
	/* The row holds the whole configuration, so its version is the head
	 * too. */
	struct config_version version = {
		.name = follow->options.namespace,
		.version = number,
		.at = number,
	};

	config_body_sha256(body, strlen(body), version.sha256);
	config_store_note_listing(follow->options.store, number, &version, 1);
	config_store_offer_trusted(follow->options.store, &version, body);
}

/* A row that is being parsed and adopted in time slices. */
struct row_adoption {
	struct config_follow *follow;
	char *value; /* NULL: the row was deleted */
	size_t size;
	uint64_t row_version;
	int64_t as_of_us; /* boot time at which the row was the newest */
	bool was_read; /* by a read sent at that time, not by a watch */
};

static void free_row_adoption(void *data)
{
	struct row_adoption *adoption = data;

	g_free(adoption->value);
	g_free(adoption);
}

/*
 * Reports to the config_store that newest_version was the newest one at
 * as_of_us, unless the latest row was rejected or is still being adopted. A read
 * returns the row itself, so config_store_note_newest() may drop higher heads. A
 * watch returns only changes after store_version. It would miss that the
 * platform's store was restored from an older copy, so it drops no head.
 */
static void report_confirmation(struct config_follow *follow, int64_t as_of_us,
				bool was_read)
{
	struct config_store *store = follow->options.store;

	if (follow->is_row_unreadable || config_store_is_adopting(store))
		return;
	if (was_read)
		config_store_note_newest(store, follow->newest_version, as_of_us);
	else
		config_store_note_confirmed(store, follow->newest_version,
					    clock_boot_us() - as_of_us);
}

static void adopt_row(void *data)
{
	struct row_adoption *adoption = data;
	struct config_follow *follow = adoption->follow;
	const struct config_follow_ops *ops = follow->options.ops;
	const char *error = "";
	uint64_t number = 0;
	char *body = NULL;

	counters.config_platform_bytes += adoption->size;
	follow->is_row_unreadable = true;
	if (!adoption->value) {
		log_event(EV_CONFIG_ROW_UNREADABLE,
			  LOG_STR("error", "deleted"));
	} else if (!ops->read(adoption->value, adoption->size, &number, &body,
			      &error, ops->data)) {
		log_event(EV_CONFIG_ROW_UNREADABLE, LOG_STR("error", error),
			  LOG_INT("row_version", adoption->row_version));
	} else {
		log_event(EV_CONFIG_ROW_SEEN, LOG_INT("version", number),
			  LOG_INT("row_version", adoption->row_version),
			  LOG_INT("store_version", follow->store_version));
		offer(follow, number, body);
		follow->is_row_unreadable = false;
		follow->newest_version = number;
	}
	g_free(body);
	config_store_end_adoption(follow->options.store);
	report_confirmation(follow, adoption->as_of_us, adoption->was_read);
}

static void begin_row_adoption(struct config_follow *follow,
			       const struct platform_row *row, int64_t as_of_us,
			       bool was_read)
{
	struct row_adoption *adoption = g_new0(struct row_adoption, 1);

	adoption->follow = follow;
	adoption->value = row->value ? g_strndup(row->value, row->size) : NULL;
	adoption->size = row->size;
	adoption->row_version = row->version;
	adoption->as_of_us = as_of_us;
	adoption->was_read = was_read;
	log_event(EV_CONFIG_ROW_RECEIVED, LOG_INT("row_version", row->version),
		  LOG_INT("bytes", row->size),
		  LOG_STR("by", was_read ? "read" : "changes"));
	config_store_begin_adoption(follow->options.store);
	slice_queue_add(follow->options.slice_queue, adopt_row,
			free_row_adoption, adoption);
}

/* RETURN VALUE: the failure domain in the key of an evacuation, or NULL. */
static const char *evacuated_domain(const struct config_follow *follow,
				    const struct platform_row *row)
{
	const char *prefix = follow->options.evacuation_prefix;

	if (!prefix || !g_str_has_prefix(row->key, prefix))
		return NULL;
	return row->key + strlen(prefix);
}

/* A read returns all rows, so a domain without one is not evacuated. */
static void take_all_evacuations(const struct config_follow *follow,
				 const struct platform_answer *answer)
{
	uint64_t keys[FOLLOW_ROWS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < answer->row_count && i < FOLLOW_ROWS_MAX; i++) {
		const char *domain = evacuated_domain(follow, &answer->rows[i]);

		if (domain)
			keys[count++] = evacuation_key(domain);
	}
	if (count > EVACUATION_DOMAINS_MAX)
		log_event(EV_EVACUATION_LIST_TOO_LONG, LOG_INT("rows", count),
			  LOG_INT("limit", EVACUATION_DOMAINS_MAX));
	evacuation_replace(follow->options.evacuation, answer->version, keys,
			   count, clock_mono_us());
}

/* A watch returns the rows that have changed, in the order of the changes. */
static void take_changed_evacuations(const struct config_follow *follow,
				     const struct platform_answer *answer)
{
	struct evacuation_change *changes =
		g_new0(struct evacuation_change, answer->row_count);
	size_t count = 0;

	for (size_t i = 0; i < answer->row_count; i++) {
		const struct platform_row *row = &answer->rows[i];
		const char *domain = evacuated_domain(follow, row);

		if (!domain)
			continue;
		changes[count++] = (struct evacuation_change){
			.version = row->version,
			.key = evacuation_key(domain),
			.is_evacuated = row->value,
		};
	}
	evacuation_apply(follow->options.evacuation, answer->version, changes,
			 count, clock_mono_us());
	g_free(changes);
}

static void take_evacuations(const struct config_follow *follow,
			     const struct platform_answer *answer, bool was_read)
{
	if (!follow->options.evacuation_prefix)
		return;
	if (was_read)
		take_all_evacuations(follow, answer);
	else
		take_changed_evacuations(follow, answer);
}

bool follow_take_answer(struct config_follow *follow,
			const struct platform_answer *answer, int64_t as_of_us,
			bool was_read)
{
	if (answer->status != PLATFORM_OK && answer->status != PLATFORM_NOT_FOUND)
		return false;
	follow->store_version = MAX(follow->store_version, answer->version);
	take_evacuations(follow, answer, was_read);
	for (size_t i = 0; i < answer->row_count; i++) {
		if (follow->watch && answer->rows[i].version > follow->watch_after)
			follow_note_missed(follow);
		if (strcmp(answer->rows[i].key, follow->options.key) == 0)
			begin_row_adoption(follow, &answer->rows[i], as_of_us,
					   was_read);
	}
	/* An answer without changes also confirms the version held. */
	report_confirmation(follow, as_of_us, was_read);
	return true;
}

/* Schedules the first watch after a read, or the next one. */
static void schedule_watch(struct config_follow *follow,
			   const struct platform_answer *answer)
{
	follow->has_read_row = true;
	follow->backoff_us = 0;
	schedule_request(follow,
			 answer->row_count ? CONFIG_FOLLOW_COALESCE_US : 0);
}

static void cancel_watch(struct config_follow *follow)
{
	if (follow->watch)
		platform_cancel(follow->watch);
	follow->watch = NULL;
}

void follow_renew_watch(struct config_follow *follow)
{
	cancel_watch(follow);
	schedule_request(follow, 0);
}

void follow_restart(struct config_follow *follow)
{
	/* Another answer may have led to a read already. */
	if (!follow->has_read_row)
		return;
	/* The platform's store dropped only the history; the row can be read. */
	log_event(EV_CONFIG_WATCH_REFUSED,
		  LOG_INT("after", follow->store_version));
	cancel_watch(follow);
	follow->store_version = 0;
	follow->has_read_row = false;
	schedule_request(follow, 0);
}

static void log_watch_end(const struct config_follow *follow,
			  const struct platform_answer *answer)
{
	const char *result = "failed";

	if (answer->status == PLATFORM_HISTORY_GONE)
		result = "refused";
	else if (answer->status == PLATFORM_OK)
		result = "answered";
	log_event(EV_CONFIG_WATCH_ENDED, LOG_INT("after", follow->watch_after),
		  LOG_INT("open_us", clock_mono_us() - follow->watch_sent_us),
		  LOG_STR("result", result), LOG_INT("rows", answer->row_count));
}

static void handle_watched(const struct platform_answer *answer, void *data)
{
	struct config_follow *follow = data;

	log_watch_end(follow, answer);
	follow->watch = NULL;
	if (answer->status == PLATFORM_HISTORY_GONE) {
		follow_restart(follow);
	} else if (follow_take_answer(follow, answer, clock_boot_us(), false)) {
		schedule_watch(follow, answer);
	} else {
		/* A platform store that was unavailable may have been restored
		 * from a copy. A watch from the old version would then wait for a
		 * change that the store already has. */
		follow->has_read_row = false;
		schedule_retry(follow);
	}
}

static void handle_read(const struct platform_answer *answer, void *data)
{
	struct config_follow *follow = data;

	if (follow_take_answer(follow, answer, follow->read_sent_us, true))
		schedule_watch(follow, answer);
	else
		schedule_retry(follow);
}

static bool is_elected_follower(const struct config_follow *follow)
{
	const struct config_follow_options *options = &follow->options;

	return member_table_count_before(options->members, options->host,
					 options->domain, options->domain,
					 CONFIG_FOLLOWERS) < CONFIG_FOLLOWERS;
}

void follow_read_row(struct config_follow *follow, platform_handler handler)
{
	counters.config_head_reads++;
	platform_get_from(follow->options.platform, follow->options.key,
			  FOLLOW_ROWS_MAX, handler, follow);
}

static void open_watch(struct config_follow *follow)
{
	follow->watch_after = follow->store_version;
	follow->watch_sent_us = clock_mono_us();
	follow->watch_head = config_store_head(follow->options.store);
	follow->missed_since_us = 0;
	log_event(EV_CONFIG_WATCH_OPENED, LOG_INT("after", follow->watch_after),
		  LOG_INT("wait_ms", CONFIG_FOLLOW_WAIT_MS));
	counters.config_head_reads++;
	follow->watch =
		platform_watch(follow->options.platform, follow->options.table,
			       follow->watch_after, CONFIG_FOLLOW_WAIT_MS,
			       handle_watched, follow);
}

static void handle_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct config_follow *follow = timer->data;

	(void)loop;
	(void)events;
	if (!follow->has_read_row) {
		follow->read_sent_us = clock_boot_us();
		follow_read_row(follow, handle_read);
	} else if (is_elected_follower(follow)) {
		open_watch(follow);
	} else {
		/* Checks again then whether this daemon is elected. */
		schedule_request(follow, CONFIG_FOLLOW_RETRY_MAX_US);
	}
}

struct config_follow *
config_follow_create(const struct config_follow_options *options)
{
	struct config_follow *follow = g_new0(struct config_follow, 1);

	follow->options = *options;
	follow->random.state = options->seed;
	ev_init(&follow->timer, handle_timer);
	follow->timer.data = follow;
	follow_behind_init(follow);
	follow_poll_init(follow);
	schedule_request(follow, 0);
	return follow;
}

void config_follow_destroy(struct config_follow *follow)
{
	if (!follow)
		return;
	ev_timer_stop(follow->options.loop, &follow->timer);
	follow_behind_finish(follow);
	follow_poll_finish(follow);
	g_free(follow);
}
