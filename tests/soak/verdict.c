#include "verdict.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call_log.h"
#include "runs.h"
#include "schedule.h"

/* The daemons run under sanitizers, on a machine that others use. */
#define MARGIN_US ((int64_t)1000 * 1000)
/* A begun answer may stand still for so long past the deadline. */
#define STANDSTILL_US ((int64_t)2000 * 1000)
#define DEADLINE_US ((int64_t)FLEET_DEADLINE_MS * 1000)
#define REST_US ((int64_t)SCHEDULE_REST_MS * 1000)
/* A daemon that was started again has its configuration and peers by then. */
#define START_US ((int64_t)3000 * 1000)

static const char *const texts[POINTS] = {
	[POINT_OWN] = "an answer is the caller's own, whole, and was run",
	[POINT_NOT_RUN] = "told \"not run\": did not run",
	[POINT_ONCE] = "not repeatable: at most once",
	[POINT_ENDS] = "an end by the deadline",
	[POINT_KEPT] = "no connection cut where its daemon went on",
	[POINT_CALM] = "no harm done: served",
	[POINT_LEAVES] = "draining: no new work after two seconds",
	[POINT_CONFIG] = "a configuration in force everywhere stays",
	[POINT_LIVES] = "programs end when told, and well",
	[POINT_RECOVERS] = "after the last fault: served",
};

struct call {
	unsigned int entry;
	const char *id;
	bool is_post;
	int status;
	const char *outcome;
	int64_t begin_us;
	int64_t end_us;
	bool is_stream;
	bool is_wrong;
	unsigned int runs;
};

void verdict_note(struct verdict *verdict, enum point point, bool held,
		  const char *format, ...)
{
	va_list arguments;

	verdict->tried[point]++;
	if (held)
		return;
	verdict->violated[point]++;
	printf("VIOLATED %s: ", texts[point]);
	va_start(arguments, format);
	vprintf(format, arguments);
	va_end(arguments);
	printf("\n");
	fflush(stdout);
}

static bool call_was(const struct call *call, const char *outcome)
{
	return strcmp(call->outcome, outcome) == 0;
}

static bool call_is_cut(const struct call *call)
{
	return call_was(call, "broken") || call_was(call, "unconnected") ||
	       call_was(call, "timed-out");
}

static bool was_harmed(const struct spans *spans, const struct call *call,
		       unsigned int host, enum fault_harm least, int64_t after_us)
{
	struct span_question question = {
		.host = host,
		.least = least,
		.from_us = call->begin_us,
		.to_us = call->end_us,
		.after_us = after_us,
	};

	return spans_touch(spans, &question);
}

static bool entry_was_stopped(const struct spans *spans, const struct call *call)
{
	struct span_question question = {
		.host = call->entry,
		.planned_stop = true,
		.from_us = call->begin_us,
		.to_us = call->end_us,
		.after_us = START_US,
	};

	return spans_touch(spans, &question);
}

/* A caller whose daemon is gone or stands still gets nothing from it; one of a
 * daemon that was just started again, late answers at first. */
static bool may_be_cut(const struct spans *spans, const struct call *call)
{
	if (was_harmed(spans, call, call->entry, HARM_CALLERS, START_US))
		return true;
	/* An answer that can't be ended whole breaks its connection. */
	if (call->is_stream && call_was(call, "broken") &&
	    was_harmed(spans, call, SPAN_ANY_HOST, HARM_WORK, REST_US))
		return true;
	/* The port of a daemon that stops is closed before its end. */
	return call_was(call, "unconnected") && entry_was_stopped(spans, call);
}

static bool may_be_late(const struct spans *spans, const struct call *call)
{
	return was_harmed(spans, call, call->entry, HARM_CALLERS, START_US);
}

static int64_t most_us(const struct call *call)
{
	return DEADLINE_US + MARGIN_US + (call->is_stream ? STANDSTILL_US : 0);
}

static bool is_served(const struct call *call)
{
	return call_was(call, "run") && call->status / 100 == 2;
}

#define CALL_FORMAT "%s at d%u: %d %s after %" G_GINT64_FORMAT " ms, %u runs%s"
#define CALL_VALUES(call)                                                 \
	(call)->id, (call)->entry, (call)->status, (call)->outcome,       \
		((call)->end_us - (call)->begin_us) / 1000, (call)->runs, \
		(call)->is_wrong ? ", wrong answer" : ""

static void judge_always(struct verdict *verdict, const struct spans *spans,
			 const struct call *call)
{
	if (call_was(call, "run") && call->status / 100 == 2)
		verdict_note(verdict, POINT_OWN,
			     !call->is_wrong && call->runs > 0, CALL_FORMAT,
			     CALL_VALUES(call));
	else if (call_was(call, "unsaid"))
		verdict_note(verdict, POINT_OWN, false, CALL_FORMAT,
			     CALL_VALUES(call));
	if (call_was(call, "not-run"))
		verdict_note(verdict, POINT_NOT_RUN, call->runs == 0,
			     CALL_FORMAT, CALL_VALUES(call));
	if (call->is_post)
		verdict_note(verdict, POINT_ONCE, call->runs <= 1, CALL_FORMAT,
			     CALL_VALUES(call));
	if (!may_be_late(spans, call))
		verdict_note(verdict, POINT_ENDS,
			     call->end_us - call->begin_us <= most_us(call),
			     CALL_FORMAT, CALL_VALUES(call));
	if (!may_be_cut(spans, call))
		verdict_note(verdict, POINT_KEPT, !call_is_cut(call),
			     CALL_FORMAT, CALL_VALUES(call));
}

static void judge_calm(struct verdict *verdict, const struct spans *spans,
		       const struct call *call)
{
	if (was_harmed(spans, call, SPAN_ANY_HOST, HARM_WORK, REST_US))
		return;
	if (entry_was_stopped(spans, call) &&
	    (call_was(call, "not-run") || call_was(call, "unconnected"))) {
		verdict->refused_in_calm++;
		return;
	}
	verdict_note(verdict, POINT_CALM, is_served(call), CALL_FORMAT,
		     CALL_VALUES(call));
}

static GHashTable *read_runs(const struct fleet *fleet)
{
	GHashTable *runs = runs_create();

	for (unsigned int i = 0; i < fleet->options.count; i++)
		runs_add(runs, fleet->hosts[i].runs_file);
	return runs;
}

static void judge(struct verdict *verdict, const struct spans *spans,
		  const struct call *call, bool is_last)
{
	verdict->outcomes_lost += call_was(call, "unknown");
	judge_always(verdict, spans, call);
	if (is_last && !was_harmed(spans, call, SPAN_ANY_HOST, HARM_WORK, 0))
		verdict_note(verdict, POINT_RECOVERS, is_served(call),
			     CALL_FORMAT, CALL_VALUES(call));
	else if (!is_last)
		judge_calm(verdict, spans, call);
}

struct judged {
	struct verdict *verdict;
	const struct spans *spans;
	GHashTable *runs;
	unsigned int entry;
	bool is_last;
};

static void handle_line(const struct call_line *line, void *data)
{
	const struct judged *judged = data;
	struct call call = {
		.entry = judged->entry,
		.id = line->id,
		.is_post = strcmp(line->method, "POST") == 0,
		.status = line->status,
		.outcome = line->outcome,
		.begin_us = line->begin_us,
		.end_us = line->begin_us + line->took_us,
		.is_stream = g_str_has_prefix(line->path, "/bytes/"),
		.is_wrong = line->is_wrong,
		.runs = runs_of(judged->runs, line->id),
	};

	judge(judged->verdict, judged->spans, &call, judged->is_last);
}

void verdict_take_calls(struct verdict *verdict, const struct fleet *fleet,
			const struct spans *spans, unsigned int entry,
			const char *calls_file, bool is_last)
{
	struct judged judged = {
		.verdict = verdict,
		.spans = spans,
		.runs = read_runs(fleet),
		.entry = entry,
		.is_last = is_last,
	};

	call_log_read(calls_file, handle_line, &judged);
	g_hash_table_unref(judged.runs);
}

uint64_t verdict_print(const struct verdict *verdict)
{
	uint64_t violated = 0;

	for (size_t i = 0; i < POINTS; i++) {
		printf("%-52s tried %6" G_GUINT64_FORMAT
		       ", violated %" G_GUINT64_FORMAT "\n",
		       texts[i], verdict->tried[i], verdict->violated[i]);
		violated += verdict->violated[i];
	}
	printf("unknown outcomes %" G_GUINT64_FORMAT
	       ", refused by a daemon that was stopping or new "
	       "%" G_GUINT64_FORMAT "\n",
	       verdict->outcomes_lost, verdict->refused_in_calm);
	return violated;
}
