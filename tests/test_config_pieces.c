#include <glib.h>
#include <string.h>

#include "comfreydockd/config/spread_internal.h"

#define SIZE (3 * CONFIG_SPREAD_PIECE_BYTES + 1)

struct fixture {
	struct config_pieces pieces;
	char *body;
};

static void set_up(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	config_pieces_init(&f->pieces);
	f->body = g_malloc(SIZE);
	for (size_t i = 0; i < SIZE; i++)
		f->body[i] = (char)(i % 251);
}

static void tear_down(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	config_pieces_finish(&f->pieces);
	g_free(f->body);
}

/* Adds the piece that a peer which holds this version would answer with. */
static bool take(struct fixture *f, uint64_t version, const char *sha256,
		 size_t size)
{
	Cfd__ConfigQuery query = CFD__CONFIG_QUERY__INIT;
	Cfd__ConfigLine line = CFD__CONFIG_LINE__INIT;

	if (f->pieces.name)
		config_pieces_fill_query(&f->pieces, &query);
	line.namespace_ = (char *)"n";
	line.version = version;
	line.sha256 = (char *)sha256;
	config_pieces_cut(&query, f->body, size, 0, &line);
	return config_pieces_add(&f->pieces, &line);
}

static void test_pieces_assemble_the_body(struct fixture *f, gconstpointer unused)
{
	unsigned int pieces = 0;

	(void)unused;
	while (!config_pieces_are_complete(&f->pieces) && pieces < 100) {
		g_assert_true(take(f, 5, "five", SIZE));
		pieces++;
	}
	g_assert_cmpuint(pieces, ==, 4);
	g_assert_cmpmem(f->pieces.bytes->data, f->pieces.bytes->len, f->body,
			SIZE);
}

/*
 * Guards against a version that never arrives. Two peers hold it with different
 * bodies, because each made the body from the platform's row with its own
 * settings. If they are asked in turn, a piece of one must not discard the
 * pieces of the other.
 */
static void test_two_bodies_of_one_version(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	for (int i = 0; i < 8 && !config_pieces_are_complete(&f->pieces); i++)
		take(f, 5, i % 2 ? "two" : "one", SIZE);
	g_assert_true(config_pieces_are_complete(&f->pieces));
	g_assert_cmpstr(f->pieces.sha256, ==, "one");
}

/* Guards against an incomplete body that blocks all others. Its only holder is
 * gone after the first piece, and the older version that all other peers hold
 * must still arrive. */
static void test_abandoned_body_is_replaced(struct fixture *f,
					    gconstpointer unused)
{
	(void)unused;
	g_assert_true(take(f, 9, "nine", SIZE));
	for (int i = 0; i < CONFIG_PIECES_REFUSED_MAX; i++)
		g_assert_false(take(f, 7, "seven", SIZE));
	for (int i = 0; i < 4; i++)
		g_assert_true(take(f, 7, "seven", SIZE));
	g_assert_true(config_pieces_are_complete(&f->pieces));
}

static void test_newer_version_restarts_assembly(struct fixture *f,
						 gconstpointer unused)
{
	(void)unused;
	g_assert_true(take(f, 5, "five", SIZE));
	g_assert_true(take(f, 6, "six", SIZE));
	g_assert_cmpuint(f->pieces.version, ==, 6);
	g_assert_cmpuint(f->pieces.bytes->len, ==, CONFIG_SPREAD_PIECE_BYTES);
}

/* Guards against memory exhaustion and writes beyond the body: pieces of a
 * faulty peer with impossible sizes or offsets must not be kept. */
static void test_invalid_pieces_are_rejected(struct fixture *f,
					     gconstpointer unused)
{
	static const struct {
		uint64_t size, offset;
		size_t length;
	} cases[] = {
		{CONFIG_SPREAD_BODY_MAX_BYTES + 1, 0, 10}, /* too large */
		{100, 0, 0}, /* empty */
		{100, 0, 101}, /* beyond the end */
		{100, 95, 10},
		{100, 101, 1},
		{100, UINT64_MAX, 10},
		{100, 10, 10}, /* not from the start */
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Cfd__ConfigLine line = CFD__CONFIG_LINE__INIT;

		line.namespace_ = (char *)"n";
		line.version = 5;
		line.sha256 = (char *)"five";
		line.size = cases[i].size;
		line.offset = cases[i].offset;
		line.body.data = (uint8_t *)f->body;
		line.body.len = cases[i].length;
		g_assert_false(config_pieces_add(&f->pieces, &line));
		g_assert_cmpuint(f->pieces.bytes->len, ==, 0);
	}
}

#define ADD(path, function) \
	g_test_add(path, struct fixture, NULL, set_up, function, tear_down)

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD("/pieces/whole", test_pieces_assemble_the_body);
	ADD("/pieces/two-bodies", test_two_bodies_of_one_version);
	ADD("/pieces/abandoned", test_abandoned_body_is_replaced);
	ADD("/pieces/newer", test_newer_version_restarts_assembly);
	ADD("/pieces/invalid", test_invalid_pieces_are_rejected);
	return g_test_run();
}
