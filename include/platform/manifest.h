/*
 * NAME
 *	platform_manifest - the operator's configuration, in comfreydock's form
 *
 * DESCRIPTION
 *	The platform's operator writes one row with everything in it. It is
 *	rewritten as a namespace file, as docs/operators/configuration.md tells,
 *	which config_check reads like any other: each host becomes a service,
 *	its routes the rules, the longest prefix first, as the first rule that
 *	matches counts.
 *
 *	A reader keeps the rules of the last row by the text of their routes: a
 *	new version mostly repeats them, and what it repeats isn't read again.
 */
#ifndef PLATFORM_MANIFEST_H
#define PLATFORM_MANIFEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The row, as platform.h names it. */
#define PLATFORM_MANIFEST_TABLE "op"
#define PLATFORM_MANIFEST_KEY PLATFORM_MANIFEST_TABLE "/config"
#define PLATFORM_MANIFEST_NAMESPACE "operator"

struct platform_manifest_reader;

struct platform_manifest_reader *platform_manifest_reader_create(void);
void platform_manifest_reader_destroy(struct platform_manifest_reader *reader);

/*
 * Rewrites a row's value. retry_percent is the budget that its rules get. *body is to be freed with g_free().
 *
 * RETURN VALUE
 *	false where it can't be read; *error, a constant, says why.
 */
bool platform_manifest_read(struct platform_manifest_reader *reader,
			    const char *value, size_t size,
			    uint32_t retry_percent, uint64_t *version,
			    char **body, const char **error);

#endif
