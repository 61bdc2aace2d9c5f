#include <glib.h>

#include "comfreydockd/upstream/unread_fields.h"
#include "common/log.h"
#include "platform/headers.h"

#define TRACE "9c41d07be2a35f68"

static void note(struct unread_fields *unread, const char *name)
{
	struct fields fields;

	fields_init(&fields);
	fields_add(&fields, "X-Comfreydock-Request-Id", TRACE);
	fields_add(&fields, "x-comfreydock-server-load", "1,0,8");
	fields_add(&fields, name, "1");
	unread_fields_note(unread, &platform_headers, &fields, TRACE);
	fields_finish(&fields);
}

/* Guards against a demand of an upstream that nobody notices, as no line names
 * the field that states it. */
static void test_unknown_field_is_logged_once(void)
{
	struct unread_fields unread = {.count = 0};

	note(&unread, "X-Comfreydock-Server-Wish");
	note(&unread, "x-comfreydock-server-wish");
	g_assert_cmpuint(unread.count, ==, 1);
	g_assert_cmpstr(unread.names[0], ==, "X-Comfreydock-Server-Wish");
	unread_fields_finish(&unread);
}

/* Guards against memory and lines without bound: each answer has another
 * field. */
static void test_names_are_bounded(void)
{
	struct unread_fields unread = {.count = 0};

	for (unsigned int i = 0; i < 2 * UNREAD_FIELDS_MAX; i++) {
		char *name = g_strdup_printf("X-Field-%u", i);

		note(&unread, name);
		g_free(name);
	}
	g_assert_cmpuint(unread.count, ==, UNREAD_FIELDS_MAX);
	unread_fields_finish(&unread);
	g_assert_cmpuint(unread.count, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init(LOG_FORMAT_NONE, "test");
	g_test_add_func("/unread-fields/once", test_unknown_field_is_logged_once);
	g_test_add_func("/unread-fields/bounded", test_names_are_bounded);
	return g_test_run();
}
