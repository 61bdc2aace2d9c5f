#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "comfreydockd/config/body_codec.h"
#include "comfreydockd/config/encodings.h"
#include "comfreydockd/config/spread.h"

#define SERIES_IN_CI 60
#define VERSIONS 14 /* of a series; more than there are differences kept */

/* A holder of one version that gets the next ones as a peer does. */
struct holder {
	char sha256[65];
	char *body;
};

static struct config_namespace *create_namespace(const char *body)
{
	struct config_namespace *ns = config_namespace_create();

	ns->name = g_strdup("n");
	ns->body = g_strdup(body);
	config_body_sha256(body, strlen(body), ns->sha256);
	return ns;
}

/* RETURN VALUE: the namespace in force, with a reference. */
static struct config_namespace *put_in_force(struct encodings *encodings,
					     const char *body)
{
	struct config_namespace *ns = create_namespace(body);
	struct config_snapshot *empty = config_snapshot_create();
	struct config_snapshot *snapshot = config_snapshot_with(empty, ns);

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

/* Adds, removes, replaces or moves some routes. */
static void edit_routes(GPtrArray *routes)
{
	for (int edits = g_test_rand_int_range(0, 5); edits >= 0; edits--) {
		int i = g_test_rand_int_range(0, (int)routes->len);
		int at = g_test_rand_int_range(0, (int)routes->len);

		switch (g_test_rand_int_range(0, 4)) {
		case 0:
			g_ptr_array_insert(routes, i, draw_route());
			break;
		case 1:
			g_ptr_array_remove_index(routes, (guint)i);
			break;
		case 2:
			g_free(routes->pdata[i]);
			routes->pdata[i] = draw_route();
			break;
		default:
			g_ptr_array_insert(
				routes, at,
				g_ptr_array_steal_index(routes, (guint)i));
			break;
		}
	}
}

static char *join_routes(const GPtrArray *routes)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < routes->len; i++)
		g_string_append_printf(text, "%s\n", (char *)routes->pdata[i]);
	return g_string_free(text, FALSE);
}

static void holder_set(struct holder *holder, char *body)
{
	g_free(holder->body);
	holder->body = body;
	config_body_sha256(body, strlen(body), holder->sha256);
}

/* RETURN VALUE: false if there are no differences for this holder. */
static bool holder_follow(struct holder *holder,
			  const struct encodings *encodings,
			  const struct config_namespace *ns)
{
	Cfd__ConfigLine line = CFD__CONFIG_LINE__INIT;
	char *held[] = {holder->sha256};
	size_t size;

	size = encodings_fill_deltas(encodings, ns, held, 1,
				     CONFIG_SPREAD_PIECE_BYTES, &line);
	if (!size)
		return false;
	g_assert_cmpstr(line.base_sha256, ==, holder->sha256);
	for (size_t i = 0; i < line.n_deltas; i++) {
		GByteArray *next = body_decode(
			line.deltas[i].data, line.deltas[i].len, holder->body,
			strlen(holder->body), CONFIG_SPREAD_BODY_MAX_BYTES);

		g_assert_nonnull(next);
		holder_set(holder, g_strndup((char *)next->data, next->len));
		g_byte_array_unref(next);
	}
	g_free(line.deltas);
	return true;
}

/* Each holder follows some of the versions only. */
static void run_series(void)
{
	struct encodings *encodings = encodings_create(NULL);
	GPtrArray *routes = g_ptr_array_new_with_free_func(g_free);
	struct holder often = {{0}, NULL};
	struct holder seldom = {{0}, NULL};
	struct config_namespace *ns;
	char *body;

	for (int i = 0; i < 1000; i++)
		g_ptr_array_add(routes, draw_route());
	body = join_routes(routes);
	config_namespace_unref(put_in_force(encodings, body));
	holder_set(&often, g_strdup(body));
	holder_set(&seldom, g_strdup(body));
	for (int version = 1; version <= VERSIONS; version++) {
		g_free(body);
		edit_routes(routes);
		body = join_routes(routes);
		ns = put_in_force(encodings, body);
		if (strcmp(often.body, body) != 0)
			g_assert_true(holder_follow(&often, encodings, ns));
		g_assert_cmpstr(often.body, ==, body);
		if (version % ENCODINGS_DELTAS_MAX == 0 &&
		    strcmp(seldom.body, body) != 0) {
			g_assert_true(holder_follow(&seldom, encodings, ns));
			g_assert_cmpstr(seldom.body, ==, body);
		}
		config_namespace_unref(ns);
	}
	g_free(body);
	g_free(often.body);
	g_free(seldom.body);
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

/* Guards against differences for a body that the sender never had. */
static void test_unknown_body_gets_no_difference(void)
{
	struct encodings *encodings = encodings_create(NULL);
	char *first = g_strnfill(ENCODINGS_BODY_MIN_BYTES, 'a');
	char *second = g_strnfill(ENCODINGS_BODY_MIN_BYTES, 'b');
	struct holder holder = {{0}, NULL};
	struct config_namespace *ns;

	config_namespace_unref(put_in_force(encodings, first));
	ns = put_in_force(encodings, second);
	holder_set(&holder, g_strdup("other"));
	g_assert_false(holder_follow(&holder, encodings, ns));
	holder_set(&holder, g_strdup(first));
	g_assert_true(holder_follow(&holder, encodings, ns));
	g_assert_cmpstr(holder.body, ==, second);
	config_namespace_unref(ns);
	g_free(holder.body);
	g_free(first);
	g_free(second);
	encodings_destroy(encodings);
}

/* Guards against memory and processor time for bodies that fit a packet or
 * two. */
static void test_small_body_is_not_encoded(void)
{
	struct encodings *encodings = encodings_create(NULL);
	char *large = g_strnfill(ENCODINGS_BODY_MIN_BYTES, 'a');
	struct holder holder = {{0}, NULL};
	struct config_namespace *ns;

	config_namespace_unref(put_in_force(encodings, large));
	ns = put_in_force(encodings, "small");
	holder_set(&holder, g_strdup(large));
	g_assert_false(holder_follow(&holder, encodings, ns));
	config_namespace_unref(ns);
	ns = put_in_force(encodings, large);
	holder_set(&holder, g_strdup("small"));
	g_assert_false(holder_follow(&holder, encodings, ns));
	config_namespace_unref(ns);
	g_free(holder.body);
	g_free(large);
	encodings_destroy(encodings);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/encodings/drawn",
			test_drawn_edits_lead_to_the_same_body);
	g_test_add_func("/encodings/unknown-body",
			test_unknown_body_gets_no_difference);
	g_test_add_func("/encodings/small-body", test_small_body_is_not_encoded);
	return g_test_run();
}
