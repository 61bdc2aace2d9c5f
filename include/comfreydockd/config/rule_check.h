/*
 * NAME
 *	rule_check - checks the rule by which another daemon selected a group
 *
 * DESCRIPTION
 *	The entry of a request selects the group of upstreams, the owner of an
 *	upstream runs the request. An entry that gets a new configuration late
 *	would go on sending requests to groups from which that configuration
 *	has moved them. So the owner matches the request again if its own
 *	configuration is newer. Within CONFIG_STALE_AFTER_US of a change it
 *	accepts either rule, because both are allowed then and a refusal would
 *	not help the caller. The same holds for keys.
 *
 *	An entry that knows itself to be behind for that long requires an owner
 *	that holds the newer configuration and can check the rule.
 */
#ifndef COMFREYDOCKD_CONFIG_RULE_CHECK_H
#define COMFREYDOCKD_CONFIG_RULE_CHECK_H

#include <stdint.h>

struct config_store;

struct rule_check {
	const char *host; /* NULL: none */
	const char *method;
	const char *target;
	const char *group; /* selected by the entry */
	const char *key_digest; /* of the caller's key; "": not checked */
	uint64_t head; /* of the entry's configuration; 0: not checked */
	uint64_t required_head; /* 0: none */
};

enum rule_check_result {
	RULE_CHECK_OK,
	/* The rule held here does not lead to the group, or needs a key that no
	 * organisation holds any more. */
	RULE_CHECK_REPLACED,
	RULE_CHECK_BEHIND, /* this daemon does not hold the required head */
};

enum rule_check_result rule_check_run(const struct config_store *store,
				      const struct rule_check *check);

#endif
