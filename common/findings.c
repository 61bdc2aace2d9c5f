#include "common/findings.h"

#include <string.h>

void findings_init(struct findings *findings)
{
	memset(findings, 0, sizeof(*findings));
	TAILQ_INIT(&findings->list);
}

static void finding_destroy(struct finding *finding)
{
	g_free(finding->file);
	g_free(finding->path);
	g_free(finding->text);
	g_free(finding);
}

void findings_finish(struct findings *findings)
{
	struct finding *finding;

	while ((finding = TAILQ_FIRST(&findings->list))) {
		TAILQ_REMOVE(&findings->list, finding, link);
		finding_destroy(finding);
	}
	findings->errors = 0;
	findings->warnings = 0;
}

static bool finding_is_before(const struct finding *a, const struct finding *b)
{
	int order = g_strcmp0(a->file, b->file);

	return order ? order < 0 : a->line < b->line;
}

static void findings_insert(struct findings *findings, struct finding *finding)
{
	struct finding *other;

	TAILQ_FOREACH (other, &findings->list, link) {
		if (finding_is_before(finding, other)) {
			TAILQ_INSERT_BEFORE(other, finding, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&findings->list, finding, link);
}

void findings_add(struct findings *findings, enum finding_severity severity,
		  const char *file, int line, const char *path,
		  const char *format, ...)
{
	struct finding *finding = g_new0(struct finding, 1);
	va_list args;

	va_start(args, format);
	finding->text = g_strdup_vprintf(format, args);
	va_end(args);
	finding->severity = severity;
	finding->file = g_strdup(file);
	finding->line = line;
	finding->path = g_strdup(path);
	findings_insert(findings, finding);
	if (severity == FINDING_ERROR)
		findings->errors++;
	else
		findings->warnings++;
}

static void finding_append_text(const struct finding *finding, GString *text)
{
	if (finding->file)
		g_string_append_printf(text, "%s:", finding->file);
	if (finding->line)
		g_string_append_printf(text, "%d:", finding->line);
	if (text->len && text->str[text->len - 1] == ':')
		g_string_append_c(text, ' ');
	g_string_append(text, finding->severity == FINDING_ERROR ? "error: " :
								   "warning: ");
	if (finding->path && *finding->path)
		g_string_append_printf(text, "%s: ", finding->path);
	g_string_append_printf(text, "%s\n", finding->text);
}

char *findings_to_text(const struct findings *findings)
{
	GString *text = g_string_new(NULL);
	const struct finding *finding;

	TAILQ_FOREACH (finding, &findings->list, link)
		finding_append_text(finding, text);
	return g_string_free(text, FALSE);
}

void findings_print(const struct findings *findings, FILE *out)
{
	char *text = findings_to_text(findings);

	fputs(text, out);
	g_free(text);
}

bool findings_has_errors(const struct findings *findings)
{
	return findings->errors > 0;
}
