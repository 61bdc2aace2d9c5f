/*
 * NAME
 *	config_known_rules - rules that were read before, by their text
 *
 * DESCRIPTION
 *	A rule never changes once it was read, and what it says follows from its
 *	text alone. A new version of a namespace mostly repeats the text of the
 *	one in force, so its rules are taken over in place of being read again;
 *	what holds between rules is checked for each version all the same.
 *
 *	A rule is known as long as something refers to it. There is one set for
 *	the process, used by one thread.
 */
#ifndef COMFREYDOCKD_CONFIG_KNOWN_RULES_H
#define COMFREYDOCKD_CONFIG_KNOWN_RULES_H

#include "comfreydockd/config/model.h"
#include "common/json_spans.h"

/* RETURN VALUE: the rule with a reference for the caller, or NULL. */
struct config_rule *config_known_rules_find(const struct json_span *text);

/* The rule must have passed the check, and name its destinations itself. */
void config_known_rules_add(struct config_rule *rule,
			    const struct json_span *text);

/* For config_rule_unref(). */
void config_known_rules_forget(const struct config_rule *rule);

#endif
