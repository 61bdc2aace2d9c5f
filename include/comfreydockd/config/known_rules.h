/*
 * NAME
 *	config_known_rules - cache of parsed rules, keyed by their text
 *
 * DESCRIPTION
 *	A parsed rule never changes, and its content depends on its text alone.
 *	Most rules of a new version have the same text as in the version in
 *	force, so they are reused and not parsed again. The checks between rules
 *	still run for each version.
 *
 *	A rule stays in the cache as long as it has a reference. The process has
 *	one cache, used by one thread.
 */
#ifndef COMFREYDOCKD_CONFIG_KNOWN_RULES_H
#define COMFREYDOCKD_CONFIG_KNOWN_RULES_H

#include "comfreydockd/config/model.h"
#include "common/json_spans.h"

/* RETURN VALUE: the rule with a reference for the caller, or NULL. */
struct config_rule *config_known_rules_find(const struct json_span *text);

/* The rule must have passed the check and must name its own destinations. */
void config_known_rules_add(struct config_rule *rule,
			    const struct json_span *text);

/* Removes a rule from the cache. Only config_rule_unref() calls this. */
void config_known_rules_forget(const struct config_rule *rule);

#endif
