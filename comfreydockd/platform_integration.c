#include "comfreydockd/platform_integration.h"

#include <glib.h>

#include "comfreydockd/config/follow.h"
#include "comfreydockd/config/key_digest.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/stop.h"
#include "comfreydockd/upstream/report.h"
#include "common/id.h"
#include "common/log.h"
#include "platform/control.h"
#include "platform/manifest.h"

struct platform_integration {
	struct daemon *daemon;
	const struct stop *stop;
	struct control *control;
	struct control_ops control_ops;
	struct config_follow *follow;
	struct config_follow_ops follow_ops;
	struct platform_manifest_reader *manifests;
};

/* Not ready without a configuration, as every call would be refused, nor during
 * a stop, so that callers go to other daemons. */
static bool is_ready(void *data)
{
	const struct platform_integration *integration = data;

	return config_store_is_ready(integration->daemon->config) &&
	       !stop_has_begun(integration->stop);
}

static enum report_verdict take_report(const struct report *report, void *data)
{
	const struct platform_integration *integration = data;

	return owner_handle_report(integration->daemon->owner, report);
}

static void take_deregistration(const char *instance, void *data)
{
	const struct platform_integration *integration = data;

	owner_handle_leave(integration->daemon->owner, instance);
}

static bool read_manifest(const char *value, size_t size, uint64_t *version,
			  char **body, const char **error, void *data)
{
	const struct platform_integration *integration = data;

	return platform_manifest_read(
		integration->manifests, value, size,
		integration->daemon->settings->retry_budget.percent, version,
		body, error);
}

static void digest_key(const char *key, char hex[KEY_DIGEST_SIZE], void *data)
{
	const struct platform_integration *integration = data;

	key_digest_of(integration->daemon->settings, key, hex);
}

static void follow_operator(struct platform_integration *integration)
{
	const struct settings *settings = integration->daemon->settings;
	struct config_follow_options options = {
		.loop = integration->daemon->loop,
		.platform = integration->daemon->platform,
		.store = integration->daemon->config,
		.members = integration->daemon->members,
		.host = settings->host,
		.domain = settings->domain,
		.table = PLATFORM_MANIFEST_TABLE,
		.key = PLATFORM_MANIFEST_KEY,
		.evacuation_prefix = PLATFORM_EVACUATION_PREFIX,
		.evacuation = integration->daemon->evacuation,
		.namespace = PLATFORM_MANIFEST_NAMESPACE,
		.ops = &integration->follow_ops,
		.slice_queue = integration->daemon->slice_queue,
		.seed = id_random_u64(),
	};

	integration->manifests =
		platform_manifest_reader_create(digest_key, integration);
	integration->follow_ops.read = read_manifest;
	integration->follow_ops.data = integration;
	integration->follow = config_follow_create(&options);
}

struct platform_integration *platform_integration_create(struct daemon *daemon,
							 const struct stop *stop)
{
	const struct settings *settings = daemon->settings;
	struct platform_integration *integration =
		g_new0(struct platform_integration, 1);

	integration->daemon = daemon;
	integration->stop = stop;
	integration->control_ops = (struct control_ops){
		.is_ready = is_ready,
		.take_report = take_report,
		.take_deregistration = take_deregistration,
		.data = integration,
	};
	integration->control =
		control_create(daemon->loop, &settings->ready,
			       &settings->reports, &integration->control_ops);
	if (!integration->control) {
		g_free(integration);
		return NULL;
	}
	if (settings->follows_platform)
		follow_operator(integration);
	return integration;
}

void platform_integration_destroy(struct platform_integration *integration)
{
	if (!integration)
		return;
	control_destroy(integration->control);
	config_follow_destroy(integration->follow);
	platform_manifest_reader_destroy(integration->manifests);
	g_free(integration);
}
