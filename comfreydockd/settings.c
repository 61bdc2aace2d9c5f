#include "comfreydockd/settings.h"

#include <glib.h>
#include <string.h>

#include "comfreydockd/decide/quarantine.h"
#include "common/address.h"
#include "common/clock.h"
#include "common/schema.h"

#define DEFAULT_DRAIN_TIMEOUT_MS 600000
#define DEFAULT_QUARANTINE_TRIAL_MS (QUARANTINE_TRIAL_US / US_PER_MS)
#define QUARANTINE_TRIAL_MAX_MS 3600000
/* A daemon that stops accepts calls for this time. Gossip needs a few rounds
 * until no peer sends requests here, and "Connection: close" in the answers
 * makes callers reconnect elsewhere. If the port were closed at once, the
 * connections in the accept queue would be reset, and a planned stop would cut
 * off their calls. */
#define DEFAULT_REFUSE_AFTER_MS 2000
#define STOP_STEP_MAX_S 3600.0
#define STOP_STEP_MAX_MS 3600000
/* If the platform is unavailable for longer, other daemons delete the row
 * later. */
#define DEFAULT_LEAVE_MS 3000
#define MS_PER_S 1000
/* Steps of a stop as fractions of the time until the process is killed. Of what
 * remains after GRACE_END, leaving the cluster takes half a second. */
#define GRACE_DRAIN 0.33
#define GRACE_CLOSE 0.43
#define GRACE_REFUSE 0.5
#define GRACE_TURN_AWAY 0.5
#define GRACE_END 0.88
#define GRACE_LEAVE 0.1
#define PERCENT 100
#define DEFAULT_RETRY_RATIO 0.1
#define RETRY_SLACK_MAX 1e6
#define COLD_OVERAGE_MAX 100.0
#define COLD_SLACK_MAX 1000.0
#define DEFAULT_QUOTA_WINDOW_S 5
#define QUOTA_WINDOW_MAX_S 3600
#define QUOTA_OVERAGE_MAX 100
#define QUOTA_SLACK_MAX 1e6
#define PROBES_MAX_PER_S 1000
/* With fewer lines, not even the refusals of one second could be told apart. */
#define LOG_LINES_MIN_PER_S 10
#define LOG_LINES_MAX_PER_S 100000
#define LOG_BYTES_MIN_PER_S (4 * 1024)
#define LOG_BYTES_MAX_PER_S (64 * 1024 * 1024)
#define DEFAULT_MAX_CONNECTIONS 4096
#define DEFAULT_MAX_HEAD_BYTES (16 * 1024)
#define DEFAULT_MAX_BUFFERED_BYTES (64 * 1024 * 1024)
#define PEER_KEY_MIN_BYTES 16
/* Names are sent in frames and stored in fixed-size member records. */
#define HOST_MAX_BYTES 47
#define NAME_MAX_BYTES 63
#define SERVICE_MAX_BYTES 253

static const char *const log_formats[] = {"json", "text", "none", NULL};

/* Reads "IP:PORT" from the single key "at", for settings files that are filled
 * in from a template. */
static bool read_combined_address(struct schema *schema,
				  struct settings_address *out)
{
	char *at = schema_string(schema, "at", SCHEMA_OPTIONAL);
	char *colon = at ? strrchr(at, ':') : NULL;

	if (!at)
		return false;
	if (!address_is_ip_port(at) || *at == '[') {
		schema_error(schema, "at", "must be IP:PORT");
		colon = NULL;
	}
	if (colon) {
		out->port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
		*colon = '\0';
		out->address = g_strdup(at);
	}
	g_free(at);
	return true;
}

static void read_address(struct schema *schema, struct settings_address *out)
{
	if (read_combined_address(schema, out))
		return;
	out->address = schema_string(schema, "address", SCHEMA_REQUIRED);
	out->port = (uint16_t)schema_uint(schema, "port", SCHEMA_REQUIRED, 0, 0,
					  UINT16_MAX);
	if (out->address && !address_is_ip(out->address))
		schema_error(schema, "address",
			     "must be an IP address, not a name");
}

/* Reads an address whose section may be missing. */
static void read_optional_address(struct schema *parent, const char *key,
				  struct settings_address *out)
{
	struct schema child;

	if (schema_init_child(&child, parent, key, SCHEMA_OPTIONAL))
		read_address(&child, out);
	schema_finish(&child);
}

static char *read_file_setting(struct schema *schema, const char *key,
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
		read_file_setting(&admin, "token_file", SCHEMA_OPTIONAL, &size);
	if (settings->admin_token && !*g_strstrip(settings->admin_token))
		schema_error(&admin, "token_file", "the file contains no token");
	/* Anyone who reaches the admin port can change the configuration. */
	if (!has_token && settings->admin.address &&
	    !address_is_loopback(settings->admin.address))
		schema_error(&admin, "address",
			     "an address beyond loopback requires a "
			     "token_file");
	schema_finish(&admin);
}

/*
 * A host may be reachable at another address than it binds, for example behind
 * a port mapping or if it binds all its addresses. Without this setting it would
 * announce an address that no peer can reach, and would look dead to all peers.
 */
static void read_advertise(struct schema *peer, struct settings *settings)
{
	struct settings_address *advertised = &settings->advertise;
	struct schema advertise;

	schema_init_child(&advertise, peer, "advertise", SCHEMA_OPTIONAL);
	advertised->address =
		schema_string(&advertise, "address", SCHEMA_OPTIONAL);
	advertised->port = (uint16_t)schema_uint(
		&advertise, "port", SCHEMA_OPTIONAL, 0, 1, UINT16_MAX);
	if (advertised->address && !address_is_ip(advertised->address))
		schema_error(&advertise, "address",
			     "must be an IP address, not a name");
	if (!advertised->address && settings->peer.address &&
	    address_is_any(settings->peer.address))
		schema_error(peer, "address",
			     "binds all addresses: advertise.address must "
			     "name the one that peers reach");
	schema_finish(&advertise);
}

/* The key may be given in the settings themselves, for deployments where they
 * are the only file. */
static void read_peer_key(struct schema *peer, struct settings *settings)
{
	char *key = schema_string(peer, "key", SCHEMA_OPTIONAL);
	enum schema_need need = key ? SCHEMA_OPTIONAL : SCHEMA_REQUIRED;

	settings->peer_key = (uint8_t *)read_file_setting(
		peer, "key_file", need, &settings->peer_key_size);
	if (key && settings->peer_key) {
		schema_error(peer, "key", "can't be combined with key_file");
		g_free(key);
	} else if (key) {
		settings->peer_key = (uint8_t *)key;
		settings->peer_key_size = strlen(key);
	}
	if (settings->peer_key && settings->peer_key_size < PEER_KEY_MIN_BYTES)
		schema_error(peer, key ? "key" : "key_file",
			     "must have at least %d bytes", PEER_KEY_MIN_BYTES);
}

static void read_peer(struct schema *root, struct settings *settings)
{
	struct schema peer;

	schema_init_child(&peer, root, "peer", SCHEMA_REQUIRED);
	read_address(&peer, &settings->peer);
	read_advertise(&peer, settings);
	read_peer_key(&peer, settings);
	settings->join = schema_strings(&peer, "join", SCHEMA_OPTIONAL);
	if (!settings->join)
		settings->join = g_new0(char *, 1);
	for (char **join = settings->join; *join; join++) {
		if (!address_is_ip_port(*join))
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
		    !address_is_ip_port(rest + strlen("http://")))
			schema_error(&platform, "url",
				     "must be \"http://IP:PORT\"");
	}
	settings->follows_platform =
		schema_bool(&platform, "follow_operator", false);
	read_optional_address(&platform, "ready", &settings->ready);
	read_optional_address(&platform, "reports", &settings->reports);
	schema_finish(&platform);
}

static uint32_t read_ms(struct schema *schema, const char *key,
			uint32_t fallback, uint32_t least)
{
	return (uint32_t)schema_uint(schema, key, SCHEMA_OPTIONAL, fallback,
				     least, STOP_STEP_MAX_MS);
}

/*
 * Derives the steps from a grace period, for a host that kills the process a
 * fixed time after it asked for the stop. Within a third of the period the
 * platform stops sending callers here; requests in flight have the rest of it.
 */
static void set_steps_from_grace(struct settings *settings, double grace_ms)
{
	struct settings_stop *times = &settings->stop;

	times->drain_after_ms = (uint32_t)(grace_ms * GRACE_DRAIN);
	times->close_after_ms = (uint32_t)(grace_ms * GRACE_CLOSE);
	times->refuse_after_ms = (uint32_t)(grace_ms * GRACE_REFUSE);
	times->turn_away_after_ms = (uint32_t)(grace_ms * GRACE_TURN_AWAY);
	times->leave_ms = (uint32_t)(grace_ms * GRACE_LEAVE);
	settings->drain_timeout_ms =
		(uint32_t)(grace_ms * (GRACE_END - GRACE_REFUSE));
}

static void read_retry_budget(struct schema *root, struct settings *settings)
{
	struct settings_retry_budget *budget = &settings->retry_budget;
	struct schema retry;

	schema_init_child(&retry, root, "retry_budget", SCHEMA_OPTIONAL);
	budget->percent =
		(uint32_t)(PERCENT * schema_double(&retry, "ratio",
						   DEFAULT_RETRY_RATIO, 1.0));
	budget->slack = schema_double(&retry, "slack", 0, RETRY_SLACK_MAX);
	schema_finish(&retry);
}

static void read_cold_start(struct schema *root, struct settings *settings)
{
	struct settings_cold_start *cold_start = &settings->cold_start;
	struct schema schema;

	schema_init_child(&schema, root, "cold_start", SCHEMA_OPTIONAL);
	cold_start->overage =
		schema_double(&schema, "overage", 1.0, COLD_OVERAGE_MAX);
	cold_start->slack = schema_double(&schema, "slack", 0, COLD_SLACK_MAX);
	schema_finish(&schema);
}

static void read_quota(struct schema *root, struct settings *settings)
{
	struct settings_quota *quota = &settings->quota;
	struct schema schema;

	if (schema_init_child(&schema, root, "quota", SCHEMA_OPTIONAL))
		quota->window_s = schema_double(&schema, "window_s",
						DEFAULT_QUOTA_WINDOW_S,
						QUOTA_WINDOW_MAX_S);
	quota->overage = schema_double(&schema, "overage", 0, QUOTA_OVERAGE_MAX);
	quota->slack = schema_double(&schema, "slack", 0, QUOTA_SLACK_MAX);
	schema_finish(&schema);
}

static void read_domains(struct schema *root, struct settings *settings)
{
	struct schema schema;

	schema_init_child(&schema, root, "domains", SCHEMA_OPTIONAL);
	settings->domains.stay_in_time =
		schema_bool(&schema, "stay_in_time", false);
	settings->domains.relay_min_hosts = (uint32_t)schema_uint(
		&schema, "relay_min_hosts", SCHEMA_OPTIONAL, 0, 0, UINT16_MAX);
	schema_finish(&schema);
}

static void read_overload(struct schema *root, struct settings *settings)
{
	struct schema schema;

	schema_init_child(&schema, root, "overload", SCHEMA_OPTIONAL);
	settings->throttles = schema_bool(&schema, "throttle", false);
	schema_finish(&schema);
}

static void read_log(struct schema *root, struct settings *settings)
{
	struct settings_log_budget *budget = &settings->log_budget;
	struct schema log;

	settings->log_format = (enum log_format)schema_enum(
		root, "log_format", log_formats, LOG_FORMAT_JSON);
	schema_init_child(&log, root, "log_budget", SCHEMA_OPTIONAL);
	budget->lines_per_s = (uint32_t)schema_uint(
		&log, "lines_per_s", SCHEMA_OPTIONAL, LOG_LINES_PER_S,
		LOG_LINES_MIN_PER_S, LOG_LINES_MAX_PER_S);
	budget->bytes_per_s = (uint32_t)schema_uint(
		&log, "bytes_per_s", SCHEMA_OPTIONAL, LOG_BYTES_PER_S,
		LOG_BYTES_MIN_PER_S, LOG_BYTES_MAX_PER_S);
	schema_finish(&log);
}

static void read_stop(struct schema *root, struct settings *settings)
{
	struct settings_stop *times = &settings->stop;
	struct schema stop;
	double grace_ms;

	schema_init_child(&stop, root, "stop", SCHEMA_OPTIONAL);
	grace_ms = MS_PER_S * schema_double(&stop, "grace_s", 0, STOP_STEP_MAX_S);
	if (grace_ms > 0) {
		set_steps_from_grace(settings, grace_ms);
		schema_finish(&stop);
		return;
	}
	times->drain_after_ms = read_ms(&stop, "drain_after_ms", 0, 0);
	times->close_after_ms =
		read_ms(&stop, "close_after_ms", times->drain_after_ms,
			times->drain_after_ms);
	times->refuse_after_ms =
		read_ms(&stop, "refuse_after_ms",
			MAX(DEFAULT_REFUSE_AFTER_MS, times->close_after_ms),
			times->close_after_ms);
	times->turn_away_after_ms =
		read_ms(&stop, "turn_away_after_ms", STOP_STEP_MAX_MS,
			times->refuse_after_ms);
	times->leave_ms = DEFAULT_LEAVE_MS;
	schema_finish(&stop);
}

static char *resolve_path(const char *file, char *name)
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
		schema_name(&root, "host", SCHEMA_REQUIRED, HOST_MAX_BYTES);
	settings->domain =
		schema_name(&root, "domain", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	settings->region =
		schema_name(&root, "region", SCHEMA_REQUIRED, NAME_MAX_BYTES);
	settings->service = schema_name(&root, "service", SCHEMA_OPTIONAL,
					SERVICE_MAX_BYTES);
	read_optional_address(&root, "upstream", &settings->upstream);
	read_optional_address(&root, "metrics", &settings->metrics);
	read_caller(&root, settings);
	read_peer(&root, settings);
	read_admin(&root, settings);
	read_platform(&root, settings);
	read_log(&root, settings);
	settings->drain_timeout_ms =
		(uint32_t)schema_uint(&root, "drain_timeout_ms", SCHEMA_OPTIONAL,
				      DEFAULT_DRAIN_TIMEOUT_MS, 0, UINT32_MAX);
	settings->quarantine_trial_ms = (uint32_t)schema_uint(
		&root, "quarantine_trial_ms", SCHEMA_OPTIONAL,
		DEFAULT_QUARANTINE_TRIAL_MS, 0, QUARANTINE_TRIAL_MAX_MS);
	read_stop(&root, settings);
	read_retry_budget(&root, settings);
	read_cold_start(&root, settings);
	read_quota(&root, settings);
	read_domains(&root, settings);
	read_overload(&root, settings);
	settings->probes_per_s = (uint32_t)schema_uint(
		&root, "probes_per_s", SCHEMA_OPTIONAL, 0, 0, PROBES_MAX_PER_S);
	settings->config_file = resolve_path(
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
	g_free(settings->service);
	g_free(settings->upstream.address);
	g_free(settings->ready.address);
	g_free(settings->reports.address);
	g_free(settings->metrics.address);
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
