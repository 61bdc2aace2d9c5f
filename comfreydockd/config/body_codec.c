#include "comfreydockd/config/body_codec.h"

#include <stdbool.h>
#include <string.h>
#include <zstd.h>

#include "common/slice.h"

#define LEVEL 1
#define SLICE_BYTES (64 * 1024)

/* RETURN VALUE: the logarithm of a window that spans so many bytes. */
static int window_log(size_t bytes)
{
	ZSTD_bounds bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
	int log = bounds.lowerBound;

	while (log < bounds.upperBound && ((size_t)1 << log) < bytes)
		log++;
	return log;
}

static ZSTD_CCtx *create_encoder(const char *base, size_t base_size, size_t size)
{
	ZSTD_CCtx *encoder = ZSTD_createCCtx();

	if (!encoder)
		return NULL;
	ZSTD_CCtx_setParameter(encoder, ZSTD_c_compressionLevel, LEVEL);
	ZSTD_CCtx_setParameter(encoder, ZSTD_c_windowLog,
			       window_log(base_size + size));
	ZSTD_CCtx_setPledgedSrcSize(encoder, size);
	if (!base)
		return encoder;
	/* The tables of a fast level hold a part of the prefix only. */
	ZSTD_CCtx_setParameter(encoder, ZSTD_c_enableLongDistanceMatching, 1);
	ZSTD_CCtx_refPrefix(encoder, base, base_size);
	return encoder;
}

/* RETURN VALUE: whether the whole body was encoded. */
static bool encode_slices(ZSTD_CCtx *encoder, ZSTD_inBuffer *in,
			  ZSTD_outBuffer *out)
{
	size_t size = in->size;
	size_t left;

	for (in->size = 0; in->size < size; slice_yield()) {
		in->size = MIN(in->size + SLICE_BYTES, size);
		left = ZSTD_compressStream2(encoder, out, in, ZSTD_e_continue);
		if (ZSTD_isError(left))
			return false;
	}
	return ZSTD_compressStream2(encoder, out, in, ZSTD_e_end) == 0;
}

GBytes *body_encode(const char *base, const char *body)
{
	size_t base_size = base ? strlen(base) : 0;
	size_t size = strlen(body);
	size_t capacity = ZSTD_compressBound(size);
	ZSTD_inBuffer in = {.src = body, .size = size};
	ZSTD_outBuffer out = {.dst = g_malloc(capacity), .size = capacity};
	ZSTD_CCtx *encoder = create_encoder(base, base_size, size);
	GBytes *frame = NULL;

	if (encoder && encode_slices(encoder, &in, &out))
		frame = g_bytes_new(out.dst, out.pos);
	ZSTD_freeCCtx(encoder);
	g_free(out.dst);
	return frame;
}

GByteArray *body_decode(const void *frame, size_t size, const char *base,
			size_t base_size, size_t max_bytes)
{
	unsigned long long body_size = ZSTD_getFrameContentSize(frame, size);
	ZSTD_DCtx *decoder;
	GByteArray *body;
	size_t result;

	/* The two values of an unknown size are the largest ones. */
	if (body_size > max_bytes)
		return NULL;
	decoder = ZSTD_createDCtx();
	if (!decoder)
		return NULL;
	body = g_byte_array_sized_new((guint)body_size);
	g_byte_array_set_size(body, (guint)body_size);
	if (base)
		ZSTD_DCtx_refPrefix(decoder, base, base_size);
	result = ZSTD_decompressDCtx(decoder, body->data, body_size, frame, size);
	ZSTD_freeDCtx(decoder);
	if (!ZSTD_isError(result) && result == body_size)
		return body;
	g_byte_array_unref(body);
	return NULL;
}
