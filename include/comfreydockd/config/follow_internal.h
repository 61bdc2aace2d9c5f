/*
 * NAME
 *	follow_internal - state shared within config_follow
 *
 * DESCRIPTION
 *	follow.c reads and watches the row, follow_behind.c reads it for a daemon
 *	that stays behind.
 */
#ifndef COMFREYDOCKD_CONFIG_FOLLOW_INTERNAL_H
#define COMFREYDOCKD_CONFIG_FOLLOW_INTERNAL_H

#include "comfreydockd/config/follow.h"
#include "comfreydockd/decide/random.h"

/* The configuration and one evacuation more than are taken, which shows that the
 * list is too long. */
#define FOLLOW_ROWS_MAX (EVACUATION_DOMAINS_MAX + 2)

/*
 * Every daemon reads the row once after the start. The elected daemons of a
 * failure domain then watch it; the others wait for the peers. A daemon that
 * stays behind, elected or not, reads the row by itself: its own read.
 */
struct config_follow {
	struct config_follow_options options;
	struct random_state random;
	ev_timer timer;
	bool has_read_row; /* store_version is known, so the row can be watched */
	/* The version of the platform's store up to which all changes were seen. */
	uint64_t store_version;
	uint64_t newest_version; /* of the configuration, as read */
	/* The latest row was rejected or deleted, or adopt_row() is running. */
	bool is_row_unreadable;
	int64_t backoff_us;
	int64_t read_sent_us; /* boot time of the read before the watch */
	uint64_t watch_after; /* of the latest watch */
	int64_t watch_sent_us; /* monotonic time */

	/* while behind */
	ev_timer behind_timer;
	int64_t behind_since_us;
	int64_t own_read_at_us; /* planned time of the next own read */
	bool is_own_read_open;
	int64_t own_read_sent_us; /* boot time */
};

/* Takes over the rows of an answer, which were the newest at as_of_us.
 * RETURN VALUE: false if the platform's store did not answer. */
bool follow_take_answer(struct config_follow *follow,
			const struct platform_answer *answer, int64_t as_of_us,
			bool was_read);

void follow_read_row(struct config_follow *follow, platform_handler handler);

void follow_behind_init(struct config_follow *follow);
void follow_behind_finish(struct config_follow *follow);

#endif
