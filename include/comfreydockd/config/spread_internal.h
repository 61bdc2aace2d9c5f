/*
 * NAME
 *	spread_internal - state of config_spread, shared by config/spread*.c
 *
 * DESCRIPTION
 *	spread.c decides when to read the platform; spread_fetch.c chooses whom
 *	to ask and handles the answers; spread_query.c sends queries to peers;
 *	spread_body.c decodes and adopts received bodies; spread_answer.c answers
 *	peers; spread_pieces.c splits and assembles large bodies.
 */
#ifndef COMFREYDOCKD_CONFIG_SPREAD_INTERNAL_H
#define COMFREYDOCKD_CONFIG_SPREAD_INTERNAL_H

#include "comfreydockd/config/spread.h"
#include "comfreydockd/decide/random.h"

enum config_fetch_step {
	CONFIG_FETCH_NONE,
	CONFIG_FETCH_HEAD, /* the head of a peer, at startup */
	CONFIG_FETCH_LISTING,
	CONFIG_FETCH_BODIES,
	CONFIG_FETCH_OBJECT, /* one body, from the platform */
};

/* After this many refused pieces of other bodies in a row, another body
 * replaces the incomplete one. */
#define CONFIG_PIECES_REFUSED_MAX 3

/* The contiguous pieces received of one body. bytes is empty if there are
 * none. */
struct config_pieces {
	char *name; /* of the namespace */
	uint64_t version;
	char sha256[65];
	uint64_t size; /* of all pieces */
	uint64_t encoded_hash; /* 0: the pieces are of the body itself */
	GByteArray *bytes;
	unsigned int refused; /* pieces of other bodies in a row */
	unsigned int count; /* of the pieces in bytes */
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
	/* Read the head from the platform once no read is in progress, even if
	 * this daemon is not a reader. */
	bool head_read_requested;
	bool platform_failed; /* in the last read */
	bool platform_tried;

	/* the fetch in progress */
	enum config_fetch_step step;
	uint64_t seq;
	char asked_host[MEMBER_HOST_MAX];
	uint64_t head_before;
	int64_t give_up_us;
	int64_t fetch_at_us;
	unsigned int tries; /* failed fetches in a row */
	int64_t began_us; /* first query since this daemon fell behind; 0: none */

	/* the peer that last named a higher head */
	char hint_host[MEMBER_HOST_MAX];
	uint64_t hint_head;

	/* peers asked for their heads at startup without the platform */
	unsigned int startup_peer_count;
	char startup_peer_hosts[CONFIG_SPREAD_STARTUP_PEERS][MEMBER_HOST_MAX];
	char best_host[MEMBER_HOST_MAX];
	uint64_t best_head;

	/* the body being read from the object store */
	char *object_name;
	uint64_t object_version;
	char object_sha256[65];

	struct config_pieces pieces;
	struct encodings *encodings; /* of what is held, for peers */
	bool wants_plain; /* an encoded body was rejected; ask for plain ones */
	struct slice_queue *slice_queue;

	/* token bucket for answers to peers */
	double answer_tokens;
	int64_t answer_refilled_us;
};

/* spread_fetch.c */

/* Starts the next fetch if something is missing and the delay is over. */
void config_fetch_next(struct config_spread *spread);

/* Fails the fetch in progress if its peer is gone or its timeout is over. */
void config_fetch_check_timeout(struct config_spread *spread);

/* Frees the pieces of a version that was adopted from another source. */
void config_fetch_drop_adopted_pieces(struct config_spread *spread);

bool config_fetch_is_behind(const struct config_spread *spread);

/* The fetch in progress has brought nothing, and the next one may be delayed. */
void config_fetch_note_failure(struct config_spread *spread, const char *why);
void config_fetch_note_success(struct config_spread *spread);

/* spread_query.c */

/* Sends a query for a head or a listing. */
void config_query_send_simple(struct config_spread *spread,
			      const struct member *member,
			      enum config_fetch_step step);

/* Sends a query for bodies of missing, an array of struct config_version. It
 * continues the incomplete body if that is among them. */
void config_query_send_wanted(struct config_spread *spread,
			      const struct member *member, GArray *missing);

/* spread_body.c */

/* A body as it was received: its bytes, or frames to decode. */
struct received_body {
	char *name; /* of the namespace */
	uint64_t version;
	char sha256[65];
	GByteArray *bytes;
	GPtrArray *frames; /* of GBytes, see body_codec.h; NULL: none */
	struct config_namespace *base; /* of the first frame; may be NULL */
	size_t wire_bytes;
	unsigned int pieces;
};

/* Queues a body for adoption and takes over all but its name. Until it is adopted
 * or rejected nothing else is fetched, and the fetch has neither succeeded nor
 * failed. */
void received_body_adopt(struct config_spread *spread,
			 const struct received_body *body);

/* Does this with the complete pieces, and clears them. */
void received_body_adopt_pieces(struct config_spread *spread);

/* Does this with the body, or the differences, of an answer's line.
 * RETURN VALUE: false if the differences are from a body that is not held. */
bool received_body_adopt_line(struct config_spread *spread,
			      const Cfd__ConfigLine *line);

/* spread_answer.c */

/* RETURN VALUE: whether a query asks for this namespace. */
bool config_query_wants(const Cfd__ConfigQuery *query, const char *name);

/* spread_pieces.c */

void config_pieces_init(struct config_pieces *pieces);
void config_pieces_finish(struct config_pieces *pieces);
void config_pieces_clear(struct config_pieces *pieces);

/* Appends a piece. The first piece of a newer version of the same namespace
 * replaces the incomplete body; for other bodies see CONFIG_PIECES_REFUSED_MAX.
 *
 * RETURN VALUE
 *	whether the piece was appended. */
bool config_pieces_add(struct config_pieces *pieces, const Cfd__ConfigLine *line);
bool config_pieces_are_complete(const struct config_pieces *pieces);

/* Fills in the hash of the incomplete body and the offset of its next piece.
 * The caller adds the namespace to the wanted names. */
void config_pieces_fill_query(const struct config_pieces *pieces,
			      Cfd__ConfigQuery *query);

/* Fills line with the piece of the body that the query asks for, or the first. With
 * a hash, body is an encoded one. */
void config_pieces_cut(const Cfd__ConfigQuery *query, const void *body,
		       size_t size, uint64_t encoded_hash, Cfd__ConfigLine *line);

/* RETURN VALUE: whether the query asks for a further piece of this body, as it
 * is. */
bool config_pieces_is_plain_continued(const Cfd__ConfigQuery *query,
				      const char *sha256);

/* spread.c */

/* RETURN VALUE: a random time between least_us and most_us from now. */
int64_t config_spread_random_time(struct config_spread *spread,
				  int64_t least_us, int64_t most_us);

/* Calls ops->publish if the head of the store has changed. */
void config_spread_publish_head(struct config_spread *spread);

#endif
