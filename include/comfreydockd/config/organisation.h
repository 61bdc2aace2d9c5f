/*
 * NAME
 *	config_organisation - the organisations of a configuration
 *
 * DESCRIPTION
 *	An organisation is a group of callers that share API keys, a class and a
 *	quota. A namespace that declares organisations requires a key for all its
 *	rules except the public ones. Only digests of the keys are kept, see
 *	key_digest.h.
 */
#ifndef COMFREYDOCKD_CONFIG_ORGANISATION_H
#define COMFREYDOCKD_CONFIG_ORGANISATION_H

#include <glib.h>
#include <stdbool.h>

#include "comfreydockd/config/model.h"

struct config_organisation {
	char *name;
	bool has_class;
	enum config_class class; /* precedes that of the rule */
	double rate_per_s; /* quota, over all daemons; 0: no limit */
	double burst; /* requests beyond the rate */
	GPtrArray *digests; /* of char *, hex */
};

/* RETURN VALUE: NULL if there is none of that name, or none that holds the
 * key. */
const struct config_organisation *
config_snapshot_organisation(const struct config_snapshot *snapshot,
			     const char *name);
const struct config_organisation *
config_snapshot_organisation_by_digest(const struct config_snapshot *snapshot,
				       const char hex[65]);

#endif
