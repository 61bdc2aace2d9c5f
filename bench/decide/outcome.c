#include "bench/decide/outcome.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/decide/replay.h"

/* A tail of few calls depends on luck: the median of these replays counts. */
#define OUTCOME_SEEDS 5
#define OUTCOME_ATTEMPTS 3

struct statement {
	char policy[32];
	char measure[16];
	char relation[3];
	double value;
};

static bool parse_policy(const char *text, struct replay_options *options)
{
	char **parts = g_strsplit(text, "+", -1);
	bool known = false;

	if (parts[0]) {
		options->policy = pick_policy_find(parts[0]);
		known = options->policy || strcmp(parts[0], "one-queue") == 0;
	}
	for (size_t i = 1; known && parts[i]; i++) {
		if (strcmp(parts[i], "busy") == 0)
			options->busy_refusal = true;
		else if (strcmp(parts[i], "health") == 0)
			options->health = &health_outlier;
		else
			known = false;
	}
	g_strfreev(parts);
	return known;
}

static bool get_measure(const struct replay_result *result, const char *name,
			double *value)
{
	const struct {
		const char *name;
		double value;
	} measures[] = {
		{"p50_us", (double)replay_percentile(result, 0.5)},
		{"p99_us", (double)replay_percentile(result, 0.99)},
		{"p999_us", (double)replay_percentile(result, 0.999)},
		{"errors", (double)result->errors},
		{"timeouts", (double)result->timeouts},
		{"late", (double)result->late},
		{"not_run", (double)result->not_run},
		{"refusals", (double)result->refusals},
		{"remote", (double)result->remote},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(measures); i++) {
		if (strcmp(measures[i].name, name) != 0)
			continue;
		*value = measures[i].value;
		return true;
	}
	return false;
}

static bool holds(const struct statement *statement, double measured)
{
	if (strcmp(statement->relation, "<=") == 0)
		return measured <= statement->value;
	return measured >= statement->value;
}

static bool parse(const char *text, struct statement *s,
		  struct replay_options *options)
{
	if (sscanf(text, "%31s %15s %2s %lf", s->policy, s->measure,
		   s->relation, &s->value) != 4)
		return false;
	if (strcmp(s->relation, "<=") != 0 && strcmp(s->relation, ">=") != 0)
		return false;
	return parse_policy(s->policy, options);
}

static int compare_values(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* RETURN VALUE: false if the measure is unknown. */
static bool measure(const struct trace *trace, struct replay_options *options,
		    const char *name, double *value)
{
	double values[OUTCOME_SEEDS];
	bool known = true;

	for (size_t i = 0; i < OUTCOME_SEEDS && known; i++) {
		struct replay_result result;

		options->seed = i + 1;
		replay_run(trace, options, &result);
		known = get_measure(&result, name, &values[i]);
		replay_result_finish(&result);
	}
	if (!known)
		return false;
	qsort(values, OUTCOME_SEEDS, sizeof(*values), compare_values);
	*value = values[OUTCOME_SEEDS / 2];
	return true;
}

static void check_line(const struct trace *trace, const char *path, int line,
		       const char *text, struct findings *findings)
{
	struct replay_options options = {
		.max_attempts = OUTCOME_ATTEMPTS,
	};
	struct statement statement;
	double measured;

	if (!parse(text, &statement, &options))
		findings_add(findings, FINDING_ERROR, path, line, NULL,
			     "not a statement");
	else if (!measure(trace, &options, statement.measure, &measured))
		findings_add(findings, FINDING_ERROR, path, line, NULL,
			     "unknown measure");
	else if (!holds(&statement, measured))
		findings_add(findings, FINDING_ERROR, path, line,
			     statement.policy, "%s is %g, not %s %g",
			     statement.measure, measured, statement.relation,
			     statement.value);
}

static void check_file(const struct trace *trace, const char *path,
		       struct findings *findings)
{
	FILE *in = fopen(path, "re");
	char text[256];
	int line = 0;

	if (!in) {
		findings_add(findings, FINDING_ERROR, path, 0, NULL,
			     "no outcome is stated");
		return;
	}
	while (fgets(text, sizeof(text), in)) {
		line++;
		if (text[0] != '#' && text[0] != '\n')
			check_line(trace, path, line, text, findings);
	}
	fclose(in);
}

static char *outcome_path(const char *trace_path)
{
	const char *dot = strrchr(trace_path, '.');
	size_t length = dot ? (size_t)(dot - trace_path) : strlen(trace_path);

	return g_strdup_printf("%.*s.outcome", (int)length, trace_path);
}

void outcome_check(const char *trace_path, struct findings *findings)
{
	struct trace trace;
	char *path = outcome_path(trace_path);
	int line;

	trace_init(&trace);
	if (trace_load(&trace, trace_path, &line) == TRACE_OK)
		check_file(&trace, path, findings);
	else
		findings_add(findings, FINDING_ERROR, trace_path, line, NULL,
			     "can't be read as a trace");
	trace_finish(&trace);
	g_free(path);
}
