/*
 * NAME
 *	manifest_tenants - converts the tenants of the operator's row
 *
 * DESCRIPTION
 *	Internal to the manifest. Reports what the check of the converted body
 *	can't see any more: the form of the keys, duplicate names, and values of
 *	another type. No error shows a key or the text of a member.
 *
 *	The result for the last row is kept and used again if the text of the
 *	tenants is the same. Digests of 10,000 keys take tens of milliseconds.
 */
#ifndef PLATFORM_MANIFEST_TENANTS_H
#define PLATFORM_MANIFEST_TENANTS_H

#include <glib.h>
#include <stdbool.h>

#include "common/jsonc.h"
#include "platform/manifest.h"

#define MANIFEST_TENANTS_KEY "tenants"

struct manifest_tenants;

struct manifest_tenants *manifest_tenants_create(platform_key_digest digest,
						 void *data);
void manifest_tenants_destroy(struct manifest_tenants *tenants);

bool manifest_has_tenants(const struct jsonc_doc *doc);

/* Appends the member "organisations" to out, or nothing if the row has no
 * tenants. Errors with their locations are appended to error. */
void manifest_tenants_write(struct manifest_tenants *tenants,
			    const struct jsonc_doc *doc, GString *out,
			    GString *error);

#endif
