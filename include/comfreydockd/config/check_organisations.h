/*
 * NAME
 *	config_check_organisations - the organisations of an operator's file,
 *	read and checked
 *
 * DESCRIPTION
 *	No finding shows the text in a place for digests, because an operator
 *	may have put a key there by mistake.
 */
#ifndef COMFREYDOCKD_CONFIG_CHECK_ORGANISATIONS_H
#define COMFREYDOCKD_CONFIG_CHECK_ORGANISATIONS_H

#include "comfreydockd/config/model.h"
#include "common/schema.h"

#define CONFIG_ORGANISATIONS_KEY "organisations"
#define CONFIG_ORGANISATION_NAME_MAX_BYTES 64

/* RETURN VALUE: NULL if the file has no organisations, so that no key is
 * needed. */
struct config_organisation_set *config_read_organisations(struct schema *root);

/* Adds an error for each organisation of ns whose name or key another namespace
 * already has. */
void config_check_organisations_against(const struct config_namespace *other,
					const struct config_namespace *ns,
					const char *file,
					struct findings *findings);

#endif
