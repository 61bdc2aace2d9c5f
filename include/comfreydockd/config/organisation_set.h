/*
 * NAME
 *	config_organisation_set - the organisations of one namespace
 *
 * DESCRIPTION
 *	A set never changes once its namespace is loaded. Versions of a
 *	namespace that have the same text of "organisations" share one set.
 *	Without that, each new route would make a daemon parse 10,000
 *	organisations again, which takes tens of milliseconds.
 */
#ifndef COMFREYDOCKD_CONFIG_ORGANISATION_SET_H
#define COMFREYDOCKD_CONFIG_ORGANISATION_SET_H

#include "comfreydockd/config/key_digest.h"
#include "comfreydockd/config/organisation.h"
#include "common/json_spans.h"

struct config_organisation_set {
	unsigned int references;
	/* The JSON that it was parsed from; at is NULL: not shared. */
	struct json_span text;
	GPtrArray *all; /* of struct config_organisation, in the file's order */
	GHashTable *by_name; /* name -> struct config_organisation */
	GHashTable *by_digest; /* digest -> struct config_organisation */
};

/* RETURN VALUE: an empty set with one reference. */
struct config_organisation_set *config_organisation_set_create(void);
struct config_organisation_set *
config_organisation_set_ref(struct config_organisation_set *set);
void config_organisation_set_unref(struct config_organisation_set *set);

/* Adds an organisation without digests. A later one of the same name is not
 * found by its name. */
struct config_organisation *
config_organisation_set_add(struct config_organisation_set *set,
			    const char *name);

/* Gives a digest to an organisation of the set. Nobody may hold it already. */
void config_organisation_set_add_digest(struct config_organisation_set *set,
					struct config_organisation *organisation,
					const char hex[KEY_DIGEST_SIZE]);

/* RETURN VALUE: a reference to the set that was parsed from this text, or
 * NULL. */
struct config_organisation_set *
config_organisation_set_find_known(const struct json_span *text);

/* Lets config_organisation_set_find_known() return the set. */
void config_organisation_set_add_known(struct config_organisation_set *set,
				       const struct json_span *text);

#endif
