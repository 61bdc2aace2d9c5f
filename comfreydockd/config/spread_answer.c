#include "comfreydockd/config/spread_internal.h"

#include <string.h>

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

static bool is_wanted(const Cfd__ConfigQuery *query,
		      const struct config_version *version)
{
	if (!version->version)
		return false; /* loaded from a local file */
	if (!query->n_wanted)
		return !version->at || version->at > query->above_head;
	for (size_t i = 0; i < query->n_wanted; i++) {
		if (strcmp(query->wanted[i], version->name) == 0)
			return true;
	}
	return false;
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

/*
 * The first body of an answer is sent whatever its size, a large one in pieces.
 * With a size limit here, a file above it would never be distributed: each peer
 * would ask again and again, and only the daemons that read the platform
 * themselves would leave the old rules. The symptom is config.fetch-failed on
 * most hosts.
 */
static Cfd__ConfigLine *line_create(const Cfd__ConfigQuery *query,
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
	if (is_sent_in_pieces(query, size)) {
		if (is_first)
			config_pieces_cut(query, ns->body, size, line);
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

/* RETURN VALUE: whether the answer contains a piece of a body. */
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
		line = line_create(query, version,
				   config_snapshot_find(snapshot, version->name),
				   &bytes_left, answer->n_lines == 0);
		answer->lines[answer->n_lines++] = line;
		has_piece |= line->size > 0;
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
	for (size_t i = 0; i < answer->n_lines; i++)
		g_free(answer->lines[i]);
	g_free(answer->lines);
	g_free(answer);
}
