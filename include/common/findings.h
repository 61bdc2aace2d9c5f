/*
 * NAME
 *	findings - a list of errors and warnings with their location
 *
 * DESCRIPTION
 *	A check does not stop at its first error. It adds a finding for each
 *	error, and its caller reports all of them, sorted by file and line.
 *	Findings own copies of all strings. Line 0 means that the line is not
 *	known. path is the location inside the document, such as
 *	"services.lookup-desk.rules[2].deadline_ms", and may be NULL.
 */
#ifndef COMMON_FINDINGS_H
#define COMMON_FINDINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/queue.h>

enum finding_severity {
	FINDING_WARNING,
	FINDING_ERROR,
};

struct finding {
	TAILQ_ENTRY(finding) link;
	enum finding_severity severity;
	char *file;
	int line;
	char *path;
	char *text;
};

TAILQ_HEAD(finding_list, finding);

struct findings {
	struct finding_list list;
	unsigned int errors;
	unsigned int warnings;
};

void findings_init(struct findings *findings);
void findings_finish(struct findings *findings);

/* Inserts a finding in the order of file, then line. */
void findings_add(struct findings *findings, enum finding_severity severity,
		  const char *file, int line, const char *path,
		  const char *format, ...) G_GNUC_PRINTF(6, 7);

/* Writes one line per finding: "FILE:LINE: error: PATH: TEXT". */
void findings_print(const struct findings *findings, FILE *out);

/* RETURN VALUE: the lines of findings_print() as a string; the caller frees it
 * with g_free(). */
char *findings_to_text(const struct findings *findings);

bool findings_has_errors(const struct findings *findings);

#endif
