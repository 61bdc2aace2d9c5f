#include "comfreydockd/upstream/answer.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define STATUS_MISDIRECTED 421
#define LOAD_FIGURES 4

static const char *const verdict_names[] = {
	[ANSWER_GOOD] = "good",
	[ANSWER_NOT_RUN] = "not-run",
	[ANSWER_OTHER_INSTANCE] = "other-instance",
	[ANSWER_STRANGE] = "strange",
	[ANSWER_UNCLEAR] = "unclear",
};

const char *answer_verdict_name(enum answer_verdict verdict)
{
	return verdict_names[verdict];
}

/* 408, 421, 429 and 503 tell a caller that the request was not run. */
static bool status_implies_not_run(unsigned int status)
{
	return status == 408 || status == STATUS_MISDIRECTED || status == 429 ||
	       status == 503;
}

static bool has_trace(const struct headers *headers, const char *trace,
		      const struct fields *fields)
{
	const char *given = fields_find(fields, headers->trace);

	return given && strcmp(given, trace) == 0;
}

static bool names_other_request(const struct headers *headers,
				const char *trace, const struct fields *fields)
{
	return fields_find(fields, headers->trace) &&
	       !has_trace(headers, trace, fields);
}

static bool has_content_coding(const struct fields *fields)
{
	const char *coding = fields_find(fields, "Content-Encoding");

	return coding && strcmp(coding, "identity") != 0;
}

enum answer_verdict answer_classify(const struct headers *headers,
				    const char *trace, unsigned int status,
				    const struct fields *fields)
{
	bool has_signature;

	if (names_other_request(headers, trace, fields))
		return ANSWER_STRANGE;
	if (!headers->signature)
		return ANSWER_GOOD;
	/* Health checks use the same connections and have no trace, so a late
	 * second answer to one that was refused has none either. */
	if (fields_find(fields, headers->not_run))
		return has_trace(headers, trace, fields) ? ANSWER_NOT_RUN :
							   ANSWER_STRANGE;
	if (status == STATUS_MISDIRECTED)
		return ANSWER_OTHER_INSTANCE;
	if (status_implies_not_run(status))
		return ANSWER_UNCLEAR;
	has_signature = fields_find(fields, headers->signature);
	if (!has_trace(headers, trace, fields) || has_content_coding(fields) ||
	    (!has_signature && status < 400))
		return ANSWER_STRANGE;
	return ANSWER_GOOD;
}

enum answer_verdict answer_classify_shed(const struct headers *headers,
					 const char *trace,
					 const struct fields *fields)
{
	if (names_other_request(headers, trace, fields) ||
	    (headers->signature && !has_trace(headers, trace, fields)))
		return ANSWER_STRANGE;
	return ANSWER_NOT_RUN;
}

bool answer_parse_load(const char *text, struct answer_load *load)
{
	uint32_t *const figures[LOAD_FIGURES] = {
		&load->running,
		&load->waiting,
		&load->slots,
		&load->percent,
	};
	char *end;

	memset(load, 0, sizeof(*load));
	for (size_t i = 0; i < LOAD_FIGURES; i++) {
		uint64_t figure = g_ascii_strtoull(text, &end, 10);

		if (end == text || figure > UINT32_MAX)
			return false;
		*figures[i] = (uint32_t)figure;
		if (*end != ',')
			return *end == '\0' && i >= 2;
		text = end + 1;
	}
	return true;
}

bool answer_read_load(const struct headers *headers,
		      const struct fields *fields, struct answer_load *load)
{
	const char *text =
		headers->load ? fields_find(fields, headers->load) : NULL;

	return text && answer_parse_load(text, load);
}

bool answer_parse_cold_ms(const char *text, uint32_t *cold_ms)
{
	char *end;
	uint64_t figure;

	if (!text)
		return false;
	figure = g_ascii_strtoull(text, &end, 10);
	if (end == text || *end != '\0' || figure > UINT32_MAX)
		return false;
	*cold_ms = (uint32_t)figure;
	return true;
}

bool answer_parse_limit(const char *text, double *per_s)
{
	char *end;
	double rate;

	if (!g_ascii_isdigit(*text) && *text != '.')
		return false;
	rate = g_ascii_strtod(text, &end);
	if (end == text || *end != '\0' || !isfinite(rate))
		return false;
	*per_s = rate;
	return true;
}

bool answer_says_leaving(const char *text)
{
	return text && strcmp(text, "1") == 0;
}
