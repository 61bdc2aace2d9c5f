#include "comfreydockd/config/spread_internal.h"

#include <string.h>

#include "comfreydockd/config/encodings.h"
#include "common/clock.h"
#include "common/counters.h"

static bool consume_answer_token(struct config_spread *spread)
{
	int64_t passed_us = spread->now_us - spread->answer_refilled_us;
	double more = (double)passed_us / US_PER_S * CONFIG_SPREAD_ANSWERS_PER_S;

	spread->answer_refilled_us = spread->now_us;
	spread->answer_tokens =
		MIN(spread->answer_tokens + more, CONFIG_SPREAD_ANSWERS_PER_S);
	if (spread->answer_tokens < 1.0)
		return false;
	spread->answer_tokens -= 1.0;
	return true;
}

bool config_query_wants(const Cfd__ConfigQuery *query, const char *name)
{
	for (size_t i = 0; i < query->n_wanted; i++) {
		if (strcmp(query->wanted[i], name) == 0)
			return true;
	}
	return query->n_wanted == 0;
}

static bool is_wanted(const Cfd__ConfigQuery *query,
		      const struct config_version *version)
{
	if (!version->version)
		return false; /* loaded from a local file */
	if (!query->n_wanted)
		return !version->at || version->at > query->above_head;
	return config_query_wants(query, version->name);
}

/* One token pays for CONFIG_SPREAD_ANSWER_BYTES. An answer with a piece is
 * smaller, so the rest of its token is refunded. */
static void refund_token(struct config_spread *spread)
{
	spread->answer_tokens += 1.0 - (double)CONFIG_SPREAD_PIECE_BYTES /
					       CONFIG_SPREAD_ANSWER_BYTES;
}

static bool is_sent_in_pieces(const Cfd__ConfigQuery *query, size_t size)
{
	return query->takes_pieces && size > CONFIG_SPREAD_PIECE_BYTES &&
	       size <= CONFIG_SPREAD_BODY_MAX_BYTES;
}

/* RETURN VALUE: whether the answer has room for the differences that lead to the
 * version, which the line then has. */
static bool fill_deltas(const struct config_spread *spread,
			const Cfd__ConfigQuery *query,
			const struct config_namespace *ns, size_t *bytes_left,
			Cfd__ConfigLine *line)
{
	size_t size = 0;

	if (query->takes_encoded)
		size = encodings_fill_deltas(
			spread->encodings, ns, query->held_sha256,
			query->n_held_sha256,
			MIN(*bytes_left, CONFIG_SPREAD_PIECE_BYTES), line);
	line->has_body = size > 0;
	*bytes_left -= size;
	return line->has_body;
}

/* Fills the line with a piece of the body, compressed if the peer takes that and
 * has not begun with the plain body. */
static void fill_piece(const struct config_spread *spread,
		       const Cfd__ConfigQuery *query,
		       const struct config_namespace *ns, Cfd__ConfigLine *line)
{
	uint64_t hash = 0;
	GBytes *encoded = NULL;

	if (query->takes_encoded &&
	    !config_pieces_is_plain_continued(query, ns->sha256))
		encoded = encodings_find_body(spread->encodings, ns, &hash);
	if (encoded)
		config_pieces_cut(query, g_bytes_get_data(encoded, NULL),
				  g_bytes_get_size(encoded), hash, line);
	else
		config_pieces_cut(query, ns->body, strlen(ns->body), 0, line);
}

/*
 * The first body of an answer is sent whatever its size, a large one in pieces.
 * With a size limit here, a file above it would never be distributed: each peer
 * would ask again and again, and only the daemons that read the platform
 * themselves would leave the old rules. The symptom is config.fetch-failed on
 * most hosts.
 */
static Cfd__ConfigLine *line_create(const struct config_spread *spread,
				    const Cfd__ConfigQuery *query,
				    const struct config_version *version,
				    struct config_namespace *ns,
				    size_t *bytes_left, bool is_first)
{
	Cfd__ConfigLine *line = g_new(Cfd__ConfigLine, 1);
	size_t size = strlen(ns->body);

	cfd__config_line__init(line);
	line->namespace_ = ns->name;
	line->version = version->version;
	line->sha256 = ns->sha256;
	line->at = version->at;
	if (fill_deltas(spread, query, ns, bytes_left, line))
		return line;
	if (is_sent_in_pieces(query, size)) {
		if (is_first)
			fill_piece(spread, query, ns, line);
		*bytes_left = 0;
		return line;
	}
	if (size > *bytes_left && !is_first)
		return line;
	*bytes_left -= MIN(size, *bytes_left);
	line->has_body = size <= CONFIG_SPREAD_WHOLE_MAX_BYTES;
	line->body.data = (uint8_t *)ns->body;
	line->body.len = size;
	return line;
}

/* RETURN VALUE: whether the answer contains a piece of a body, or differences. */
static bool fill_lines(const struct config_spread *spread,
		       const Cfd__ConfigQuery *query, Cfd__ConfigBody *answer)
{
	const struct config_snapshot *snapshot =
		config_store_current(spread->store);
	GArray *all = config_store_held_versions(spread->store);
	size_t bytes_left = CONFIG_SPREAD_ANSWER_BYTES;
	bool has_piece = false;

	answer->lines = g_new0(Cfd__ConfigLine *, all->len);
	for (guint i = 0; i < all->len; i++) {
		struct config_version *version =
			&g_array_index(all, struct config_version, i);
		Cfd__ConfigLine *line;

		if (!is_wanted(query, version))
			continue;
		line = line_create(spread, query, version,
				   config_snapshot_find(snapshot, version->name),
				   &bytes_left, answer->n_lines == 0);
		answer->lines[answer->n_lines++] = line;
		has_piece |= line->size > 0 || line->n_deltas > 0;
	}
	g_array_unref(all);
	return has_piece;
}

Cfd__ConfigBody *config_spread_answer(struct config_spread *spread,
				      const Cfd__ConfigQuery *query)
{
	Cfd__ConfigBody *answer = g_new(Cfd__ConfigBody, 1);

	cfd__config_body__init(answer);
	answer->seq = query->seq;
	if (!query->head_only && !consume_answer_token(spread)) {
		counters.config_answers_busy++;
		answer->busy = true;
		return answer;
	}
	counters.config_answers++;
	answer->ready = config_store_is_ready(spread->store);
	answer->head = config_store_head(spread->store);
	if (query->head_only)
		return answer;
	answer->is_listing = !query->n_wanted;
	if (fill_lines(spread, query, answer))
		refund_token(spread);
	return answer;
}

void config_spread_free_answer(Cfd__ConfigBody *answer)
{
	for (size_t i = 0; i < answer->n_lines; i++) {
		g_free(answer->lines[i]->deltas);
		g_free(answer->lines[i]);
	}
	g_free(answer->lines);
	g_free(answer);
}
