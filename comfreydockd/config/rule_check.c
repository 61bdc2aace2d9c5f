#include "comfreydockd/config/rule_check.h"

#include <string.h>

#include "comfreydockd/config/organisation.h"
#include "comfreydockd/config/store.h"

static bool leads_to(const struct config_rule *rule, const char *group)
{
	for (guint i = 0; i < rule->destinations->len; i++) {
		const struct config_destination *destination = &g_array_index(
			rule->destinations, struct config_destination, i);

		if (destination->weight > 0 &&
		    strcmp(destination->group, group) == 0)
			return true;
	}
	return false;
}

static bool key_is_held(const struct config_snapshot *snapshot,
			const struct rule_check *check,
			const struct config_service *service,
			const struct config_rule *rule)
{
	if (!*check->key_digest || !service->needs_key || rule->is_public)
		return true;
	return config_snapshot_organisation_by_digest(snapshot,
						      check->key_digest);
}

enum rule_check_result rule_check_run(const struct config_store *store,
				      const struct rule_check *check)
{
	const struct config_snapshot *snapshot = config_store_current(store);
	const struct config_service *service;
	const struct config_rule *rule;

	if (config_store_head(store) < check->required_head)
		return RULE_CHECK_BEHIND;
	if (!check->head || config_store_head(store) <= check->head ||
	    config_store_superseded_us(store, check->head) < CONFIG_STALE_AFTER_US)
		return RULE_CHECK_OK;
	if (!config_snapshot_match_request(snapshot, check->host, check->method,
					   check->target, &service, &rule) ||
	    !leads_to(rule, check->group) ||
	    !key_is_held(snapshot, check, service, rule))
		return RULE_CHECK_REPLACED;
	return RULE_CHECK_OK;
}
