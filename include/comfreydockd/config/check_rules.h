/*
 * NAME
 *	config_check_rules - the rules of an operator's file, read and checked
 *
 * DESCRIPTION
 *	Each rule by itself, then all of a service together: no two of one name,
 *	none that never applies. In a document that was cut, rules that are known
 *	are taken over, see config_known_rules.
 */
#ifndef COMFREYDOCKD_CONFIG_CHECK_RULES_H
#define COMFREYDOCKD_CONFIG_CHECK_RULES_H

#include "comfreydockd/config/model.h"
#include "common/schema.h"

#define CONFIG_NAME_MAX_BYTES 63
/* Where rules stand in a file: services, one of them, its rules. */
#define CONFIG_RULES_SHAPE "{{{["

/* Adds a finding where the path, which may be NULL, is none. */
void config_check_path(struct schema *schema, const char *key, const char *path);

/* Fills in the rules of a service whose group is known. */
void config_read_rules(struct schema *schema, struct config_service *service);

#endif
