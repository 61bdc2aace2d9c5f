/*
 * NAME
 *	spread_internal - the spread's state, for the files of config/spread*
 *
 * DESCRIPTION
 *	spread.c decides when to read the platform and when to ask whom;
 *	spread_fetch.c takes what comes back; spread_answer.c answers peers;
 *	spread_pieces.c puts together what comes in pieces.
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

/* Pieces of other bodies in a row, until one of them begins in its place. */
#define CONFIG_PIECES_REFUSED_MAX 3

/* What has come of one body; bytes is empty where there is none. */
struct config_pieces {
	char *name; /* of the namespace */
	uint64_t version;
	char sha256[65];
	uint64_t size; /* of the whole */
	GByteArray *bytes;
	unsigned int refused; /* of other bodies, in a row */
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

	struct config_pieces pieces;
	struct slice_queue *slice_queue;

	/* answers to others */
	double answer_tokens;
	int64_t answer_refilled_us;
};

/* spread_fetch.c */

/* Goes on with whatever is missing, if it is time. */
void config_fetch_next(struct config_spread *spread);

/* Nothing came within the time. */
void config_fetch_check_time(struct config_spread *spread);

/* Lets go of parts of what came in another way. */
void config_fetch_drop_held(struct config_spread *spread);

bool config_fetch_is_behind(const struct config_spread *spread);

/* spread_pieces.c */

void config_pieces_init(struct config_pieces *pieces);
void config_pieces_finish(struct config_pieces *pieces);
void config_pieces_clear(struct config_pieces *pieces);

/* RETURN VALUE: whether the piece brought something new. One of a newer version of the
 * namespace begins anew; of others see CONFIG_PIECES_REFUSED_MAX. */
bool config_pieces_add(struct config_pieces *pieces, const Cfd__ConfigLine *line);
bool config_pieces_are_whole(const struct config_pieces *pieces);

/* Asks for the rest, where a part is here; name is what is missing. */
void config_pieces_fill_query(const struct config_pieces *pieces,
			      Cfd__ConfigQuery *query);

/* Cuts from the body what the query lacks of it. */
void config_pieces_cut(const Cfd__ConfigQuery *query, const char *body,
		       size_t size, Cfd__ConfigLine *line);

/* spread.c */

/* RETURN VALUE: now and a random share of the span more. */
int64_t config_spread_later(struct config_spread *spread, int64_t least_us,
			    int64_t most_us);
void config_spread_publish(struct config_spread *spread);

#endif
