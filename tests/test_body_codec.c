#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "comfreydockd/config/body_codec.h"

#define BODY_MAX ((size_t)1024 * 1024)

static char *draw_body(size_t size)
{
	char *body = g_malloc(size + 1);

	for (size_t i = 0; i < size; i++)
		body[i] = (char)g_test_rand_int_range('a', 'z');
	body[size] = '\0';
	return body;
}

static GByteArray *decode(GBytes *frame, const char *base, size_t max_bytes)
{
	size_t size;
	const void *bytes = g_bytes_get_data(frame, &size);

	return body_decode(bytes, size, base, base ? strlen(base) : 0, max_bytes);
}

static void check_decodes_to(GBytes *frame, const char *base, const char *body)
{
	GByteArray *decoded = decode(frame, base, BODY_MAX);

	g_assert_nonnull(decoded);
	g_assert_cmpmem(decoded->data, decoded->len, body, strlen(body));
	g_byte_array_unref(decoded);
	g_bytes_unref(frame);
}

/* Guards against a difference that holds what did not change. */
static void test_frames_decode_to_the_body(void)
{
	static const size_t sizes[] = {0, 1, 65535, 65536, 65537, 500000};
	char *base = draw_body(500000);

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char *body = draw_body(sizes[i]);

		check_decodes_to(body_encode(NULL, body), NULL, body);
		check_decodes_to(body_encode(base, body), base, body);
		g_free(body);
	}
	for (size_t at = 0; at < 500000; at += 100000) {
		char *body = g_strdup(base);
		GBytes *delta;

		memset(body + at, '!', 10);
		delta = body_encode(base, body);
		g_assert_cmpuint(g_bytes_get_size(delta), <, 200);
		check_decodes_to(delta, base, body);
		g_free(body);
	}
	g_free(base);
}

/* Guards against a frame of a few bytes that decodes to more than a daemon has
 * memory for. */
static void test_large_body_is_refused(void)
{
	char *body = g_strnfill(BODY_MAX + 1, 'a');
	GBytes *frame = body_encode(NULL, body);

	g_assert_cmpuint(g_bytes_get_size(frame), <, 1000);
	g_assert_null(decode(frame, NULL, BODY_MAX));
	g_bytes_unref(frame);
	body[BODY_MAX] = '\0';
	check_decodes_to(body_encode(NULL, body), NULL, body);
	g_free(body);
}

/* Guards against reads and writes out of bounds, which the sanitizers report. A
 * damaged frame may decode to something, whose hash is then wrong. */
static void test_damaged_frames_are_harmless(void)
{
	char *base = draw_body(3000);
	char *body = g_strconcat(base, "more", base + 10, NULL);
	GBytes *delta = body_encode(base, body);
	size_t size = g_bytes_get_size(delta);

	for (int i = 0; i < 20000; i++) {
		uint8_t *bytes = g_memdup2(g_bytes_get_data(delta, NULL), size);
		size_t cut = (size_t)g_test_rand_int_range(0, (int)size + 1);
		GByteArray *decoded;

		bytes[g_test_rand_int_range(0, (int)size)] ^=
			(uint8_t)g_test_rand_int_range(1, 256);
		decoded = body_decode(bytes, i % 2 ? size : cut, base,
				      strlen(base) - (size_t)(i % 3), BODY_MAX);
		g_clear_pointer(&decoded, g_byte_array_unref);
		g_free(bytes);
	}
	g_bytes_unref(delta);
	g_free(base);
	g_free(body);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/body-codec/decodes", test_frames_decode_to_the_body);
	g_test_add_func("/body-codec/too-large", test_large_body_is_refused);
	g_test_add_func("/body-codec/damaged", test_damaged_frames_are_harmless);
	return g_test_run();
}
