/*
 * NAME
 *	spread_internal - the spread's state, for the files of config/spread*
 *
 * DESCRIPTION
 *	spread.c decides when to read the platform and when to ask whom;
 *	spread_fetch.c takes what comes back; spread_answer.c answers peers.
 */
#ifndef COMFREYDOCKD_CONFIG_SPREAD_INTERNAL_H
#define COMFREYDOCKD_CONFIG_SPREAD_INTERNAL_H

#include "comfreydockd/config/spread.h"
#include "comfreydockd/decide/random.h"

enum config_fetch_step {
	CONFIG_FETCH_NONE,
	CONFIG_FETCH_HEAD, /* a witness's head, at the start */
	CONFIG_FETCH_LISTING,
	CONFIG_FETCH_BODIES,
	CONFIG_FETCH_OBJECT, /* one body, from the platform */
};

struct config_spread {
	struct config_store *store;
	struct member_table *members;
	char host[MEMBER_HOST_MAX];
	char domain[MEMBER_DOMAIN_MAX];
	const struct config_platform_ops *platform_ops;
	void *platform;
	const struct config_spread_ops *ops;
	struct random_state random;
	int64_t now_us;
	uint64_t published_head;

	/* reading the head row */
	int64_t read_at_us;
	bool is_reading;
	bool is_reader;
	bool must_read; /* though no reader */
	bool platform_failed; /* the last read */
	bool platform_tried;

	/* the one fetch */
	enum config_fetch_step step;
	uint64_t seq;
	char asked_host[MEMBER_HOST_MAX];
	uint64_t head_before;
	int64_t give_up_us;
	int64_t fetch_at_us;
	unsigned int tries; /* in vain, in a row */

	/* who named a higher head last */
	char hint_host[MEMBER_HOST_MAX];
	uint64_t hint_head;

	/* the start, without the platform */
	unsigned int witnesses;
	char witness_hosts[CONFIG_SPREAD_WITNESSES][MEMBER_HOST_MAX];
	char best_host[MEMBER_HOST_MAX];
	uint64_t best_head;

	/* the body that is read from the object store */
	char *object_name;
	uint64_t object_version;
	char object_sha256[65];

	/* answers to others */
	double answer_tokens;
	int64_t answer_refilled_us;
};

/* spread_fetch.c */

/* Goes on with whatever is missing, if it is time. */
void config_fetch_next(struct config_spread *spread);

/* Nothing came within the time. */
void config_fetch_check_time(struct config_spread *spread);

bool config_fetch_is_behind(const struct config_spread *spread);

/* spread.c */

/* RETURN VALUE: now and a random share of the span more. */
int64_t config_spread_later(struct config_spread *spread, int64_t least_us,
			    int64_t most_us);
void config_spread_publish(struct config_spread *spread);

#endif
