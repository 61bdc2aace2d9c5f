#include "comfreydockd/config/known_rules.h"

#include <string.h>

/* Maps the struct json_span of a rule's text to the rule. NULL: no rule is
 * known. */
static GHashTable *known;

struct config_rule *config_known_rules_find(const struct json_span *text)
{
	struct config_rule *rule =
		known ? g_hash_table_lookup(known, text) : NULL;

	return rule ? config_rule_ref(rule) : NULL;
}

void config_known_rules_add(struct config_rule *rule, const struct json_span *text)
{
	struct json_span *key;

	if (!known)
		known = g_hash_table_new_full(json_span_hash, json_span_equal,
					      g_free, NULL);
	if (g_hash_table_contains(known, text))
		return;
	rule->text = g_strndup(text->at, text->size);
	key = g_new(struct json_span, 1);
	key->at = rule->text;
	key->size = text->size;
	g_hash_table_insert(known, key, rule);
}

void config_known_rules_forget(const struct config_rule *rule)
{
	struct json_span key = {.at = rule->text};

	if (!rule->text)
		return;
	key.size = strlen(rule->text);
	g_hash_table_remove(known, &key);
	if (g_hash_table_size(known) == 0)
		g_clear_pointer(&known, g_hash_table_unref);
}
