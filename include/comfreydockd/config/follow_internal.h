/*
 * NAME
 *	follow_internal - state shared within config_follow
 *
 * DESCRIPTION
 *	follow.c reads and watches the row, follow_behind.c reads it for a daemon
 *	that stays behind, and follow_poll.c asks for changes beside the watch.
 */
#ifndef COMFREYDOCKD_CONFIG_FOLLOW_INTERNAL_H
#define COMFREYDOCKD_CONFIG_FOLLOW_INTERNAL_H

#include <sys/queue.h>

#include "comfreydockd/config/follow.h"
#include "comfreydockd/decide/random.h"

/* The configuration and one evacuation more than are taken, which shows that the
 * list is too long. */
#define FOLLOW_ROWS_MAX (EVACUATION_DOMAINS_MAX + 2)

/* A poll that has no answer yet. */
struct follow_poll {
	LIST_ENTRY(follow_poll) link;
	struct config_follow *follow;
	int64_t sent_us; /* boot time */
};

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
	struct platform_call *watch; /* NULL: none is open */
	uint64_t watch_after; /* of the latest watch */
	int64_t watch_sent_us; /* monotonic time */
	uint64_t watch_head; /* of config_store, as the watch was opened */
	/* Monotonic time at which a change became known that the open watch has
	 * not reported; 0: none. */
	int64_t missed_since_us;

	/* while behind */
	ev_timer behind_timer;
	int64_t behind_since_us;
	int64_t own_read_at_us; /* planned time of the next own read */
	bool is_own_read_open;
	int64_t own_read_sent_us; /* boot time */

	/* beside the watch */
	ev_timer poll_timer;
	LIST_HEAD(, follow_poll) polls;
	int64_t poll_sent_us; /* boot time of the latest poll */
};

/* Takes over the rows of an answer, which were the newest at as_of_us.
 * RETURN VALUE: false if the platform's store did not answer. */
bool follow_take_answer(struct config_follow *follow,
			const struct platform_answer *answer, int64_t as_of_us,
			bool was_read);

void follow_read_row(struct config_follow *follow, platform_handler handler);

/* Cancels the open watch and opens another at once. */
void follow_renew_watch(struct config_follow *follow);

/* The store has no changes after store_version any more: cancels the open watch,
 * reads the row and watches it again. */
void follow_restart(struct config_follow *follow);

void follow_behind_init(struct config_follow *follow);
void follow_behind_finish(struct config_follow *follow);

/* A change is known that the open watch has not reported. */
void follow_note_missed(struct config_follow *follow);

void follow_poll_init(struct config_follow *follow);
void follow_poll_finish(struct config_follow *follow);

#endif
