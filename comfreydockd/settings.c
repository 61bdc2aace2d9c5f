#include "comfreydockd/settings.h"

#include <glib.h>
#include <string.h>

#include "common/address.h"
#include "common/schema.h"

#define DEFAULT_DRAIN_TIMEOUT_MS 600000
#define DEFAULT_MAX_CONNECTIONS 4096
#define DEFAULT_MAX_HEAD_BYTES (16 * 1024)
#define DEFAULT_MAX_BUFFERED_BYTES (64 * 1024 * 1024)
#define PEER_KEY_MIN_BYTES 16
/* Names travel in frames and in members' records of fixed size. */
#define NAME_MAX_BYTES 31

static const char *const log_formats[] = {"json", "text", "none", NULL};

static void read_address(struct schema *schema, struct settings_address *out)
{
	out->address = schema_string(schema, "address", SCHEMA_REQUIRED);
	out->port = (uint16_t)schema_uint(schema, "port", SCHEMA_REQUIRED, 0, 0,
					  UINT16_MAX);
	if (out->address && !address_is_ip_number(out->address))
		schema_error(schema, "address",
			     "an IP number is expected, not a name");
}

static char *read_beside(struct schema *schema, const char *key,
			 enum schema_need need, gsize *size)
{
	char *name = schema_string(schema, key, need);
	GError *error = NULL;
	char *content = NULL;
	char *directory;
	char *path;

	if (!name)
		return NULL;
	directory = g_path_get_dirname(schema->doc->file);
	path = g_path_is_absolute(name) ?
		       g_strdup(name) :
		       g_build_filename(directory, name, NULL);
	if (!g_file_get_contents(path, &content, size, &error)) {
		schema_error(schema, key, "%s", error->message);
		g_error_free(error);
	}
	g_free(path);
	g_free(directory);
	g_free(name);
	return content;
}

static void read_admin(struct schema *root, struct settings *settings)
{
	struct schema admin;
	bool has_token;
	gsize size;

	schema_init_child(&admin, root, "admin", SCHEMA_REQUIRED);
	read_address(&admin, &settings->admin);
	has_token = admin.object &&
		    json_object_object_get_ex(admin.object, "token_file", NULL);
	settings->admin_token =
		read_beside(&admin, "token_file", SCHEMA_OPTIONAL, &size);
	if (settings->admin_token && !*g_strstrip(settings->admin_token))
		schema_error(&admin, "token_file", "the file holds no token");
	/* Whoever reaches the admin port can change what is in force. */
	if (!has_token && settings->admin.address &&
	    !address_is_loopback(settings->admin.address))
		schema_error(&admin, "address",
			     "beyond loopback a token_file is needed");
	schema_finish(&admin);
}

/*
 * A host may be reached at another address than it binds, as behind a port
 * mapping or where it binds all its addresses. Without this setting it would
 * announce one that nobody can reach, and would look dead to all others.
 */
static void read_advertise(struct schema *peer, struct settings *settings)
{
	struct settings_address *where = &settings->advertise;
	struct schema advertise;

	schema_init_child(&advertise, peer, "advertise", SCHEMA_OPTIONAL);
	where->address = schema_string(&advertise, "address", SCHEMA_OPTIONAL);
	where->port = (uint16_t)schema_uint(&advertise, "port", SCHEMA_OPTIONAL,
					    0, 1, UINT16_MAX);
	if (where->address && !address_is_ip_number(where->address))
		schema_error(&advertise, "address",
			     "an IP number is expected, not a name");
	if (!where->address && settings->peer.address &&
	    address_is_any(settings->peer.address))
		schema_error(peer, "address",
			     "binds every address: advertise.address must "
			     "tell the one that peers reach");
	schema_finish(&advertise);
}

static void read_peer(struct schema *root, struct settings *settings)
{
	struct schema peer;

	schema_init_child(&peer, root, "peer", SCHEMA_REQUIRED);
	read_address(&peer, &settings->peer);
	read_advertise(&peer, settings);
	settings->peer_key = (uint8_t *)read_beside(
		&peer, "key_file", SCHEMA_REQUIRED, &settings->peer_key_size);
	if (settings->peer_key && settings->peer_key_size < PEER_KEY_MIN_BYTES)
		schema_error(&peer, "key_file", "holds fewer than %d bytes",
			     PEER_KEY_MIN_BYTES);
	settings->join = schema_strings(&peer, "join", SCHEMA_OPTIONAL);
	if (!settings->join)
		settings->join = g_new0(char *, 1);
	for (char **join = settings->join; *join; join++) {
		if (!address_has_port(*join))
			schema_error(&peer, "join", "\"%s\" is not IP:PORT",
				     *join);
	}
	schema_finish(&peer);
}

static void read_caller(struct schema *root, struct settings *settings)
{
	struct schema caller;

	schema_init_child(&caller, root, "caller", SCHEMA_REQUIRED);
	read_address(&caller, &settings->caller);
	settings->max_connections =
		(uint32_t)schema_uint(&caller, "max_connections", SCHEMA_OPTIONAL,
				      DEFAULT_MAX_CONNECTIONS, 1, 65536);
	settings->max_head_bytes =
		(uint32_t)schema_uint(&caller, "max_head_bytes", SCHEMA_OPTIONAL,
				      DEFAULT_MAX_HEAD_BYTES, 1024, 1024 * 1024);
	settings->max_buffered_bytes = (uint32_t)schema_uint(
		&caller, "max_buffered_bytes", SCHEMA_OPTIONAL,
		DEFAULT_MAX_BUFFERED_BYTES, 1024 * 1024, UINT32_MAX);
	schema_finish(&caller);
}

static void read_platform(struct schema *root, struct settings *settings)
{
	struct schema platform;
	const char *rest;

	schema_init_child(&platform, root, "platform", SCHEMA_REQUIRED);
	settings->platform_url = schema_string(&platform, "url", SCHEMA_REQUIRED);
	if (settings->platform_url) {
		rest = settings->platform_url;
		if (!g_str_has_prefix(rest, "http://") ||
		    !address_has_port(rest + strlen("http://")))
			schema_error(&platform, "url",
				     "\"http://IP:PORT\" is expected");
	}
	schema_finish(&platform);
}

static char *resolve_beside(const char *file, char *name)
{
	char *directory;
	char *path;

	if (!name || g_path_is_absolute(name))
		return name;
	directory = g_path_get_dirname(file);
	path = g_build_filename(directory, name, NULL);
	g_free(directory);
	g_free(name);
	return path;
}

static void read_settings(const struct jsonc_doc *doc,
			  struct settings *settings, struct findings *findings)
{
	struct schema root;

	schema_init(&root, doc, findings);
	settings->host =
		schema_name(&root, "host", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	settings->domain =
		schema_name(&root, "domain", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	settings->region =
		schema_name(&root, "region", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	read_caller(&root, settings);
	read_peer(&root, settings);
	read_admin(&root, settings);
	read_platform(&root, settings);
	settings->log_format = (enum log_format)schema_enum(
		&root, "log_format", log_formats, LOG_FORMAT_JSON);
	settings->drain_timeout_ms =
		(uint32_t)schema_uint(&root, "drain_timeout_ms", SCHEMA_OPTIONAL,
				      DEFAULT_DRAIN_TIMEOUT_MS, 0, UINT32_MAX);
	settings->config_file = resolve_beside(
		doc->file, schema_string(&root, "config_file", SCHEMA_OPTIONAL));
	schema_finish(&root);
}

struct settings *settings_load(const char *file, struct findings *findings)
{
	unsigned int errors = findings->errors;
	struct settings *settings = NULL;
	struct jsonc_doc *doc = NULL;
	GError *error = NULL;
	char *text = NULL;

	if (!g_file_get_contents(file, &text, NULL, &error)) {
		findings_add(findings, FINDING_ERROR, file, 0, NULL, "%s",
			     error->message);
		g_error_free(error);
		return NULL;
	}
	doc = jsonc_parse(file, text, findings);
	if (doc) {
		settings = g_new0(struct settings, 1);
		read_settings(doc, settings, findings);
	}
	if (findings->errors != errors) {
		settings_destroy(settings);
		settings = NULL;
	}
	jsonc_doc_destroy(doc);
	g_free(text);
	return settings;
}

void settings_destroy(struct settings *settings)
{
	if (!settings)
		return;
	g_free(settings->host);
	g_free(settings->domain);
	g_free(settings->region);
	g_free(settings->caller.address);
	g_free(settings->peer.address);
	g_free(settings->advertise.address);
	g_free(settings->admin.address);
	g_free(settings->admin_token);
	g_free(settings->peer_key);
	g_free(settings->platform_url);
	g_strfreev(settings->join);
	g_free(settings->config_file);
	g_free(settings);
}
