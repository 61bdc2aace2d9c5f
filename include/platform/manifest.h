/*
 * NAME
 *	platform_manifest - converts the configuration row of the platform
 *
 * DESCRIPTION
 *	The operator of the platform writes the whole configuration into one
 *	row. The reader converts it to a namespace file, as described in
 *	docs/operators/configuration.md, which config_check reads like any
 *	other. Each host becomes a service and its routes become the rules of
 *	that service. The rules are sorted by descending length of their prefix,
 *	because the first rule that matches is used.
 *
 *	A reader caches the rules of the last row by the text of their routes. A
 *	new version of the row repeats most routes, and the reader does not
 *	parse these again.
 *
 *	The tenants of the row become the organisations of the namespace. Their
 *	API keys are replaced by digests. A row without "tenants" is converted
 *	to a namespace that needs no key.
 */
#ifndef PLATFORM_MANIFEST_H
#define PLATFORM_MANIFEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The key of the row, in the form of platform.h. */
#define PLATFORM_MANIFEST_TABLE "op"
#define PLATFORM_MANIFEST_KEY PLATFORM_MANIFEST_TABLE "/config"
#define PLATFORM_MANIFEST_NAMESPACE "operator"
/* The operator evacuates a failure domain by a row with this key and its name. */
#define PLATFORM_EVACUATION_PREFIX PLATFORM_MANIFEST_TABLE "/evacuate/"

struct platform_manifest_reader;

/* Writes the digest of an API key as 64 hexadecimal digits. */
typedef void (*platform_key_digest)(const char *key, char hex[65], void *data);

struct platform_manifest_reader *
platform_manifest_reader_create(platform_key_digest digest, void *data);
void platform_manifest_reader_destroy(struct platform_manifest_reader *reader);

/*
 * Converts the value of a row to the text of a namespace file in *body, which the
 * caller frees with g_free(). All rules get the retry budget retry_percent.
 *
 * RETURN VALUE
 *	false if the row can't be read; *error is then the reason, which is
 *	valid until the reader's next row. It shows no API key.
 */
bool platform_manifest_read(struct platform_manifest_reader *reader,
			    const char *value, size_t size,
			    uint32_t retry_percent, uint64_t *version,
			    char **body, const char **error);

#endif
