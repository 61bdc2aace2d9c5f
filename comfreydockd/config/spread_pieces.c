#include "comfreydockd/config/spread_internal.h"

#include <string.h>

void config_pieces_init(struct config_pieces *pieces)
{
	memset(pieces, 0, sizeof(*pieces));
	pieces->bytes = g_byte_array_new();
}

void config_pieces_finish(struct config_pieces *pieces)
{
	g_free(pieces->name);
	g_byte_array_unref(pieces->bytes);
}

/* Allocates a new array, because an emptied one would keep its megabytes. */
void config_pieces_clear(struct config_pieces *pieces)
{
	config_pieces_finish(pieces);
	config_pieces_init(pieces);
}

static bool is_valid_piece(const Cfd__ConfigLine *line)
{
	return line->size <= CONFIG_SPREAD_BODY_MAX_BYTES &&
	       line->body.len > 0 && line->offset <= line->size &&
	       line->body.len <= line->size - line->offset;
}

static bool is_same_body(const struct config_pieces *pieces,
			 const Cfd__ConfigLine *line)
{
	return pieces->name && strcmp(pieces->name, line->namespace_) == 0 &&
	       strcmp(pieces->sha256, line->sha256) == 0 &&
	       pieces->version == line->version && pieces->size == line->size &&
	       pieces->encoded_hash == line->encoded_hash;
}

/*
 * The pieces held take precedence over the first piece of another body:
 * otherwise two peers that hold different bodies would discard each other's
 * pieces. But if no peer continues the body, because its only holder is gone,
 * it must not block other bodies for ever.
 */
static bool may_replace(const struct config_pieces *pieces,
			const Cfd__ConfigLine *line)
{
	if (pieces->bytes->len == 0 ||
	    pieces->refused >= CONFIG_PIECES_REFUSED_MAX)
		return true;
	return strcmp(pieces->name, line->namespace_) == 0 &&
	       line->version > pieces->version;
}

static void pieces_begin(struct config_pieces *pieces, const Cfd__ConfigLine *line)
{
	config_pieces_clear(pieces);
	pieces->name = g_strdup(line->namespace_);
	pieces->version = line->version;
	pieces->size = line->size;
	pieces->encoded_hash = line->encoded_hash;
	g_strlcpy(pieces->sha256, line->sha256, sizeof(pieces->sha256));
}

bool config_pieces_add(struct config_pieces *pieces, const Cfd__ConfigLine *line)
{
	if (!is_valid_piece(line))
		return false;
	if (!is_same_body(pieces, line)) {
		if (!may_replace(pieces, line)) {
			pieces->refused++;
			return false;
		}
		if (line->offset > 0)
			return false;
		pieces_begin(pieces, line);
	}
	if (line->offset != pieces->bytes->len)
		return false;
	g_byte_array_append(pieces->bytes, line->body.data,
			    (guint)line->body.len);
	pieces->refused = 0;
	pieces->count++;
	return true;
}

bool config_pieces_are_complete(const struct config_pieces *pieces)
{
	return pieces->bytes->len > 0 && pieces->bytes->len == pieces->size;
}

void config_pieces_fill_query(const struct config_pieces *pieces,
			      Cfd__ConfigQuery *query)
{
	query->piece_sha256 = (char *)pieces->sha256;
	query->piece_offset = pieces->bytes->len;
	query->piece_encoded_hash = pieces->encoded_hash;
}

bool config_pieces_is_plain_continued(const Cfd__ConfigQuery *query,
				      const char *sha256)
{
	return query->piece_offset > 0 && !query->piece_encoded_hash &&
	       strcmp(query->piece_sha256, sha256) == 0;
}

void config_pieces_cut(const Cfd__ConfigQuery *query, const void *body,
		       size_t size, uint64_t encoded_hash, Cfd__ConfigLine *line)
{
	bool goes_on = strcmp(query->piece_sha256, line->sha256) == 0 &&
		       query->piece_encoded_hash == encoded_hash &&
		       query->piece_offset < size;

	line->size = size;
	line->encoded_hash = encoded_hash;
	line->offset = goes_on ? query->piece_offset : 0;
	line->has_body = true;
	line->body.data = (uint8_t *)body + line->offset;
	line->body.len = MIN(size - line->offset, CONFIG_SPREAD_PIECE_BYTES);
}
