/*
 * NAME
 *	config_check_rules - the rules of an operator's file, read and checked
 *
 * DESCRIPTION
 *	Checks each rule by itself, then the rules of a service together: two
 *	rules must not have one name, and no rule may be shadowed by an earlier
 *	one. In a document that was cut, known rules are reused, see
 *	config_known_rules.
 */
#ifndef COMFREYDOCKD_CONFIG_CHECK_RULES_H
#define COMFREYDOCKD_CONFIG_CHECK_RULES_H

#include "comfreydockd/config/model.h"
#include "common/schema.h"

#define CONFIG_NAME_MAX_BYTES 63
/* The nesting of the rules in a file: the root object, its services, one
 * service, its array of rules. */
#define CONFIG_RULES_SHAPE "{{{["

/* The values of "class", in the order of enum config_class, NULL-terminated. */
extern const char *const config_class_names[];

/* Adds an error and returns false if the path does not begin with "/". */
bool config_check_path(struct schema *schema, const char *key, const char *path);

/* RETURN VALUE: a copy, or NULL if absent or invalid. */
char *config_read_path(struct schema *schema, const char *key);

/* Reads the rules of a service. service->group must be set before. */
void config_read_rules(struct schema *schema, struct config_service *service);

#endif
