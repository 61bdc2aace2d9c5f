#include <glib.h>
#include <stdarg.h>

#include "comfreydockd/upstream/answer.h"
#include "platform/headers.h"

#define TRACE "9c41d07be2a35f68"
#define ID "X-Comfreydock-Request-Id"
#define SIGNED "X-Comfreydock-Response-Signature"
#define NOT_RUN "X-Comfreydock-Not-Executed"

/* The arguments after status are field names and values, ended by NULL. */
static enum answer_verdict classify(unsigned int status, ...)
{
	enum answer_verdict verdict;
	struct fields fields;
	const char *name;
	va_list args;

	fields_init(&fields);
	va_start(args, status);
	while ((name = va_arg(args, const char *)))
		fields_add(&fields, name, va_arg(args, const char *));
	va_end(args);
	verdict = answer_classify(&platform_headers, TRACE, status, &fields);
	fields_finish(&fields);
	return verdict;
}

static void test_answers_to_this_request_pass(void)
{
	g_assert_cmpint(classify(200, ID, TRACE, SIGNED, "3e1b", NULL), ==,
			ANSWER_GOOD);
	/* A failure that the upstream reports is a valid answer, too. */
	g_assert_cmpint(classify(500, ID, TRACE, SIGNED, "3e1b", NULL), ==,
			ANSWER_GOOD);
	g_assert_cmpint(classify(504, ID, TRACE, NULL), ==, ANSWER_GOOD);
	g_assert_cmpint(classify(404, ID, TRACE, NULL), ==, ANSWER_GOOD);
}

/*
 * An upstream sends an answer twice, or late, on a keep-alive connection. It
 * would be read as the answer to the next request, whose caller would get
 * somebody else's listing.
 */
static void test_answers_to_other_requests_are_rejected(void)
{
	g_assert_cmpint(classify(200, ID, "another", SIGNED, "3e1b", NULL), ==,
			ANSWER_STRANGE);
	g_assert_cmpint(classify(503, ID, "another", NOT_RUN, "1", NULL), ==,
			ANSWER_STRANGE);
	g_assert_cmpint(classify(200, SIGNED, "3e1b", NULL), ==, ANSWER_STRANGE);
	g_assert_cmpint(classify(200, ID, TRACE, NULL), ==, ANSWER_STRANGE);
	g_assert_cmpint(classify(200, NULL), ==, ANSWER_STRANGE);
	g_assert_cmpint(classify(200, ID, TRACE, SIGNED, "3e1b",
				 "Content-Encoding", "gzip", NULL),
			==, ANSWER_STRANGE);
}

/* The upstream itself states that it did not run the request. */
static void test_upstream_says_not_run(void)
{
	g_assert_cmpint(classify(503, ID, TRACE, NOT_RUN, "1", NULL), ==,
			ANSWER_NOT_RUN);
	g_assert_cmpint(classify(400, ID, TRACE, NOT_RUN, "1", NULL), ==,
			ANSWER_NOT_RUN);
	g_assert_cmpint(classify(421, "X-Comfreydock-Instance-Id", "i-02", NULL),
			==, ANSWER_OTHER_INSTANCE);
}

/* Guards against a booking that runs twice: the late second answer to a health
 * check that was refused would tell that it had not run. */
static void test_refusals_without_a_trace_are_of_other_requests(void)
{
	g_assert_cmpint(classify(503, NOT_RUN, "1", NULL), ==, ANSWER_STRANGE);
	g_assert_cmpint(classify(400, NOT_RUN, "1", NULL), ==, ANSWER_STRANGE);
}

/*
 * A proxy before the upstream, or a fault in it, answers 503 to a booking that
 * was made. If the status were forwarded, the caller would take it for "not
 * run" and book again.
 */
static void test_not_run_statuses_without_the_header_are_unclear(void)
{
	static const unsigned int statuses[] = {408, 429, 503};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		g_assert_cmpint(
			classify(statuses[i], ID, TRACE, SIGNED, "3e1b", NULL),
			==, ANSWER_UNCLEAR);
}

static enum answer_verdict classify_shed(const struct headers *headers,
					 const char *id)
{
	enum answer_verdict verdict;
	struct fields fields;

	fields_init(&fields);
	if (id)
		fields_add(&fields, headers->trace, id);
	verdict = answer_classify_shed(headers, TRACE, &fields);
	fields_finish(&fields);
	return verdict;
}

/* Guards against a booking that runs twice: a late second answer to another request
 * has a status that the configuration names as "not run". */
static void test_shed_statuses_of_other_requests_are_rejected(void)
{
	g_assert_cmpint(classify_shed(&platform_headers, TRACE), ==,
			ANSWER_NOT_RUN);
	g_assert_cmpint(classify_shed(&platform_headers, "another"), ==,
			ANSWER_STRANGE);
	g_assert_cmpint(classify_shed(&platform_headers, NULL), ==,
			ANSWER_STRANGE);
	g_assert_cmpint(classify_shed(&headers_own, "another"), ==,
			ANSWER_STRANGE);
	/* Upstreams that sign no answers needn't echo the id either. */
	g_assert_cmpint(classify_shed(&headers_own, NULL), ==, ANSWER_NOT_RUN);
}

/* comfreydock's own headers table names no signature field, so every answer is
 * accepted. */
static void test_without_signature_header_all_answers_pass(void)
{
	struct fields fields;

	fields_init(&fields);
	g_assert_cmpint(answer_classify(&headers_own, TRACE, 503, &fields), ==,
			ANSWER_GOOD);
	fields_finish(&fields);
}

static void test_load_is_parsed_or_rejected(void)
{
	static const char *const bad[] = {
		"",	     "3",     "3,0",
		"3,0,",	     "a,b,c", "3,0,8,",
		"-1,0,8",    "3;0;8", "3,0,99999999999",
		"3,0,8,700x"};
	struct answer_load load;

	g_assert_true(answer_parse_load("3,1,8,700", &load));
	g_assert_cmpuint(load.running, ==, 3);
	g_assert_cmpuint(load.waiting, ==, 1);
	g_assert_cmpuint(load.slots, ==, 8);
	g_assert_cmpuint(load.percent, ==, 700);
	g_assert_true(answer_parse_load("3,1,8", &load));
	g_assert_cmpuint(load.percent, ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		if (answer_parse_load(bad[i], &load))
			g_error("parsed an invalid load: \"%s\"", bad[i]);
	}
}

/* A figure that can't be read says nothing: taken for 0, it would end the limit of
 * a cold upstream. */
static void test_cold_time_is_parsed(void)
{
	static const char *const bad[] = {"", "x", "12x", "1.5", "99999999999"};
	uint32_t cold_ms = 7;

	g_assert_true(answer_parse_cold_ms("2984", &cold_ms));
	g_assert_cmpuint(cold_ms, ==, 2984);
	g_assert_false(answer_parse_cold_ms(NULL, &cold_ms));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(answer_parse_cold_ms(bad[i], &cold_ms));
	g_assert_cmpuint(cold_ms, ==, 2984);
}

static void assert_limit(const char *text, double expected)
{
	double per_s = -1;

	g_assert_true(answer_parse_limit(text, &per_s));
	g_assert_cmpfloat(per_s, ==, expected);
}

/* Guards against a limit that is misread, so that the upstream gets nothing or
 * everything. */
static void test_limit_is_a_decimal_number(void)
{
	static const char *const malformed[] = {"",	"x",   "-1",  "2,5",
						"2.5x", "inf", "nan", "1e999",
						" 1",	"+1"};
	double per_s;

	assert_limit("2.5", 2.5);
	assert_limit("0", 0);
	assert_limit(".5", 0.5);
	assert_limit("1200", 1200);
	for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++)
		g_assert_false(answer_parse_limit(malformed[i], &per_s));
}

/* Guards against an upstream that is drained by a field that says the opposite. */
static void test_leaving_is_said_by_one(void)
{
	g_assert_true(answer_says_leaving("1"));
	g_assert_false(answer_says_leaving("0"));
	g_assert_false(answer_says_leaving(""));
	g_assert_false(answer_says_leaving(NULL));
}

/* Guards against another request's answer where upstreams give no signature but
 * name the trace. */
static void test_another_trace_without_signatures(void)
{
	struct fields fields;

	fields_init(&fields);
	fields_add(&fields, headers_own.trace, "another");
	g_assert_cmpint(answer_classify(&headers_own, TRACE, 200, &fields), ==,
			ANSWER_STRANGE);
	fields_finish(&fields);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/answer/shed",
			test_shed_statuses_of_other_requests_are_rejected);
	g_test_add_func("/answer/this-request",
			test_answers_to_this_request_pass);
	g_test_add_func("/answer/other-request",
			test_answers_to_other_requests_are_rejected);
	g_test_add_func("/answer/cold", test_cold_time_is_parsed);
	g_test_add_func("/answer/not-run", test_upstream_says_not_run);
	g_test_add_func("/answer/refusal-without-trace",
			test_refusals_without_a_trace_are_of_other_requests);
	g_test_add_func("/answer/unconfirmed-not-run",
			test_not_run_statuses_without_the_header_are_unclear);
	g_test_add_func("/answer/no-signature-header",
			test_without_signature_header_all_answers_pass);
	g_test_add_func("/answer/load", test_load_is_parsed_or_rejected);
	g_test_add_func("/answer/limit", test_limit_is_a_decimal_number);
	g_test_add_func("/answer/leaving", test_leaving_is_said_by_one);
	g_test_add_func("/answer/another-trace-unsigned",
			test_another_trace_without_signatures);
	return g_test_run();
}
