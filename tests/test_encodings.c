#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "comfreydockd/config/body_codec.h"
#include "comfreydockd/config/encodings.h"
#include "comfreydockd/config/spread.h"

#define SERIES_IN_CI 60
#define VERSIONS 14 /* of a series; more than there are differences kept */

static void handle_done(void *data)
{
	(void)data;
}

/* RETURN VALUE: the namespace in force, with a reference. */
static struct config_namespace *put_in_force(struct encodings *encodings,
					     const char *body)
{
	struct config_namespace *ns = config_namespace_create();
	struct config_snapshot *empty = config_snapshot_create();
	struct config_snapshot *snapshot;

	ns->name = g_strdup("n");
	ns->body = g_strdup(body);
	config_body_sha256(body, strlen(body), ns->sha256);
	snapshot = config_snapshot_with(empty, ns);
	encodings_update(encodings, snapshot);
	config_snapshot_unref(snapshot);
	config_snapshot_unref(empty);
	return ns;
}

static char *draw_route(void)
{
	return g_strdup_printf(
		"{\"path_prefix\": \"/%08x/\", \"group\": \"g%d\"}",
		g_test_rand_int(), g_test_rand_int_range(0, 9));
}

/* Adds, removes or moves some routes. */
static void edit_routes(GPtrArray *routes)
{
	for (int edits = g_test_rand_int_range(0, 5); edits >= 0; edits--) {
		int i = g_test_rand_int_range(0, (int)routes->len);
		int at = g_test_rand_int_range(0, (int)routes->len);
		int edit = g_test_rand_int_range(0, 3);

		if (edit == 0)
			g_ptr_array_insert(routes, at, draw_route());
		else if (edit == 1)
			g_ptr_array_remove_index(routes, (guint)i);
		else
			g_ptr_array_insert(
				routes, at,
				g_ptr_array_steal_index(routes, (guint)i));
	}
}

static char *join_routes(const GPtrArray *routes)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < routes->len; i++)
		g_string_append_printf(text, "%s\n", (char *)routes->pdata[i]);
	return g_string_free(text, FALSE);
}

/* RETURN VALUE: the body to which the differences from held lead; NULL: there are
 * none. */
static char *follow(const struct encodings *encodings,
		    const struct config_namespace *ns, const char *held)
{
	Cfd__ConfigLine line = CFD__CONFIG_LINE__INIT;
	char sha256[65];
	char *names[] = {sha256};
	char *body = NULL;

	config_body_sha256(held, strlen(held), sha256);
	if (!encodings_fill_deltas(encodings, ns, names, 1,
				   CONFIG_SPREAD_PIECE_BYTES, &line))
		return NULL;
	g_assert_cmpstr(line.base_sha256, ==, sha256);
	for (size_t i = 0; i < line.n_deltas; i++) {
		const char *base = body ? body : held;
		GByteArray *next =
			body_decode(line.deltas[i].data, line.deltas[i].len, base,
				    strlen(base), CONFIG_SPREAD_BODY_MAX_BYTES);

		g_assert_nonnull(next);
		g_free(body);
		body = g_strndup((char *)next->data, next->len);
		g_byte_array_unref(next);
	}
	g_free(line.deltas);
	return body;
}

static void run_series(void)
{
	struct encodings *encodings = encodings_create(NULL, handle_done, NULL);
	GPtrArray *routes = g_ptr_array_new_with_free_func(g_free);
	char *bodies[VERSIONS];

	for (int i = 0; i < 1000; i++)
		g_ptr_array_add(routes, draw_route());
	for (int version = 0; version < VERSIONS; version++) {
		struct config_namespace *ns;

		bodies[version] = join_routes(routes);
		ns = put_in_force(encodings, bodies[version]);
		for (int from = MAX(version - ENCODINGS_DELTAS_MAX, 0);
		     from < version; from++) {
			char *body = follow(encodings, ns, bodies[from]);

			g_assert_cmpstr(body, ==, bodies[version]);
			g_free(body);
		}
		config_namespace_unref(ns);
		edit_routes(routes);
	}
	for (int version = 0; version < VERSIONS; version++)
		g_free(bodies[version]);
	g_ptr_array_unref(routes);
	encodings_destroy(encodings);
}

/* Guards against differences that lead to another body than the one in force,
 * after any edits and for a peer that missed versions. */
static void test_drawn_edits_lead_to_the_same_body(void)
{
	const char *count = g_getenv("SERIES_DRAWN");

	for (int i = count ? atoi(count) : SERIES_IN_CI; i > 0; i--)
		run_series();
}

/* Guards against differences from a body that the sender never had, or for one
 * that fits a packet or two. */
static void test_other_bodies_get_no_difference(void)
{
	struct encodings *encodings = encodings_create(NULL, handle_done, NULL);
	char *large = g_strnfill(ENCODINGS_BODY_MIN_BYTES, 'a');
	struct config_namespace *first = put_in_force(encodings, large);
	struct config_namespace *second;

	large[0] = 'b';
	second = put_in_force(encodings, large);
	g_assert_null(follow(encodings, second, "other"));
	config_namespace_unref(first);
	first = put_in_force(encodings, "small");
	g_assert_null(follow(encodings, first, large));
	config_namespace_unref(first);
	config_namespace_unref(second);
	g_free(large);
	encodings_destroy(encodings);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/encodings/drawn",
			test_drawn_edits_lead_to_the_same_body);
	g_test_add_func("/encodings/other-bodies",
			test_other_bodies_get_no_difference);
	return g_test_run();
}
