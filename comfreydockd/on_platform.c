#include "comfreydockd/on_platform.h"

#include <glib.h>

#include "comfreydockd/config/follow.h"
#include "comfreydockd/settings.h"
#include "comfreydockd/stop.h"
#include "comfreydockd/upstream/report.h"
#include "common/id.h"
#include "common/log.h"
#include "platform/control.h"
#include "platform/manifest.h"

struct on_platform {
	struct daemon *daemon;
	const struct stop *stop;
	struct control *control;
	struct control_ops control_ops;
	struct config_follow *follow;
	struct config_follow_ops follow_ops;
	struct platform_manifest_reader *manifests;
};

/* Without a configuration every call would be refused; during a stop callers
 * had better go elsewhere from now on. */
static bool is_ready(void *data)
{
	const struct on_platform *on = data;

	return config_store_is_ready(on->daemon->config) &&
	       !stop_has_begun(on->stop);
}

static enum report_verdict take_report(const struct report *report, void *data)
{
	const struct on_platform *on = data;

	return owner_take_report(on->daemon->owner, report);
}

static void take_deregistration(const char *instance, void *data)
{
	const struct on_platform *on = data;

	owner_take_leave(on->daemon->owner, instance);
}

static bool read_manifest(const char *value, size_t size, uint64_t *version,
			  char **body, const char **error, void *data)
{
	const struct on_platform *on = data;

	return platform_manifest_read(on->manifests, value, size,
				      on->daemon->settings->retry_budget.percent,
				      version, body, error);
}

static void follow_operator(struct on_platform *on)
{
	const struct settings *settings = on->daemon->settings;
	struct config_follow_options options = {
		.loop = on->daemon->loop,
		.platform = on->daemon->platform,
		.store = on->daemon->config,
		.members = on->daemon->members,
		.host = settings->host,
		.domain = settings->domain,
		.table = PLATFORM_MANIFEST_TABLE,
		.key = PLATFORM_MANIFEST_KEY,
		.namespace = PLATFORM_MANIFEST_NAMESPACE,
		.ops = &on->follow_ops,
		.slice_queue = on->daemon->slice_queue,
		.seed = id_random_u64(),
	};

	on->manifests = platform_manifest_reader_create();
	on->follow_ops.read = read_manifest;
	on->follow_ops.data = on;
	on->follow = config_follow_create(&options);
}

struct on_platform *on_platform_create(struct daemon *daemon,
				       const struct stop *stop)
{
	const struct settings *settings = daemon->settings;
	struct on_platform *on = g_new0(struct on_platform, 1);

	on->daemon = daemon;
	on->stop = stop;
	on->control_ops = (struct control_ops){
		.is_ready = is_ready,
		.take_report = take_report,
		.take_deregistration = take_deregistration,
		.data = on,
	};
	on->control = control_create(daemon->loop, &settings->ready,
				     &settings->reports, &on->control_ops);
	if (!on->control) {
		g_free(on);
		return NULL;
	}
	if (settings->follows_platform)
		follow_operator(on);
	return on;
}

void on_platform_destroy(struct on_platform *on)
{
	if (!on)
		return;
	control_destroy(on->control);
	config_follow_destroy(on->follow);
	platform_manifest_reader_destroy(on->manifests);
	g_free(on);
}
