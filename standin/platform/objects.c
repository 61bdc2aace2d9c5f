#include "objects.h"

#include <string.h>

#include "platform/wire.h"

static void free_bytes(gpointer data)
{
	g_bytes_unref(data);
}

GHashTable *objects_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_bytes);
}

/* RETURN VALUE: the percent-decoded rest of the path, or NULL if the encoding
 * is invalid. */
static char *object_name(const struct http_request *request, const char *prefix)
{
	return g_uri_unescape_string(http_request_path(request) + strlen(prefix),
				     NULL);
}

bool objects_put(GHashTable *objects, const struct http_request *request)
{
	const GString *body = http_request_body(request);
	char *name = object_name(request, WIRE_BLOB_PUT);

	if (!name)
		return false;
	g_hash_table_replace(objects, name, g_bytes_new(body->str, body->len));
	return true;
}

bool objects_reply(GHashTable *objects, struct http_request *request)
{
	char *name = object_name(request, WIRE_BLOB_GET);
	GBytes *bytes = name ? g_hash_table_lookup(objects, name) : NULL;
	const char *data;
	gsize size;

	g_free(name);
	if (!bytes)
		return false;
	data = g_bytes_get_data(bytes, &size);
	http_request_reply(request, 200, NULL, data ? data : "", size);
	return true;
}
