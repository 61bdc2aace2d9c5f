#include <glib.h>
#include <string.h>

#include "call_fixture.h"

/* Answers of owners: what they send is not always one whole answer. */

/* What an owner says of an answer that can't be passed on as it stands. */
struct head_case {
	const char *path;
	uint32_t status;
	int64_t length;
	const char *name;
	const char *value;
};

static const struct head_case bad_heads[] = {
	{"/call/bad-head/status-0", 0, 4, NULL, NULL},
	{"/call/bad-head/status-100", 100, 4, NULL, NULL},
	{"/call/bad-head/status-199", 199, 4, NULL, NULL},
	{"/call/bad-head/status-1000", 1000, 4, NULL, NULL},
	{"/call/bad-head/length", 200, -2, NULL, NULL},
	{"/call/bad-head/no-name", 200, 4, "", "v"},
	{"/call/bad-head/space-in-name", 200, 4, "a b", "v"},
	{"/call/bad-head/colon-in-name", 200, 4, "a:", "v"},
	{"/call/bad-head/line-in-name", 200, 4, "a\r\nb", "v"},
	{"/call/bad-head/line-in-value", 200, 4, "a", "v\r\n\r\nHTTP/1.1 200 OK"},
	{"/call/bad-head/line-feed", 200, 4, "a", "v\nb: c"},
	{"/call/bad-head/control", 200, 4, "a", "v\001"},
};

/* Guards against a head of an owner of another version that is passed on, and
 * that its caller reads as two answers, or as none. */
static void test_bad_head(struct fixture *f, gconstpointer data)
{
	const struct head_case *head = data;

	cf_send_requests(f, "/silent", 1);
	cf_send_head_as(f, head->status, head->length, head->name, head->value);
	cf_send_part(f, 4, true);
	cf_run_due(f);
	g_assert_cmpuint(cf_count_answers(f, ""), ==, 1);
	g_assert_cmpuint(cf_count_answers(f, "502"), ==, 1);
	g_assert_cmpuint(f->cancels, ==, 1);
	g_assert_false(f->is_closed);
}

/*
 * Frames of one answer:
 *	h, H, u	a head with a length of 400 or 90,000, or of unknown length
 *	p, P, Q	a part of 100, 45,000 or 45,100 bytes
 *	e, x	the end; an end that is both complete and aborted
 *	n	a refusal
 */
struct order_case {
	const char *path;
	const char *frames;
	bool is_withheld; /* nothing of it was written */
};

static const struct order_case bad_orders[] = {
	{"/call/bad-body/no-bytes", "he", true},
	{"/call/bad-body/too-short", "hppe", true},
	{"/call/bad-body/too-long", "hpppppe", true},
	{"/call/bad-body/long-too-short", "HPe", false},
	{"/call/bad-body/long-too-long", "HPQe", false},
	{"/call/bad-body/part-before-head", "puppe", true},
	{"/call/bad-body/end-before-head", "eupe", true},
	{"/call/bad-body/two-heads", "upupe", false},
	{"/call/bad-body/two-withheld-heads", "hphppppe", true},
	{"/call/bad-body/ended-and-aborted", "upx", false},
	{"/call/bad-body/refused", "upn", false},
};

static void send_not_run(const struct fixture *f)
{
	Cfd__NotRun not_run = CFD__NOT_RUN__INIT;
	Cfd__Frame frame = CFD__FRAME__INIT;

	not_run.seq = f->seq;
	not_run.reason = CFD__REASON__REASON_BUSY;
	frame.kind_case = CFD__FRAME__KIND_NOT_RUN;
	frame.not_run = &not_run;
	peer_send(f->peer, &frame);
}

static void send_frame(const struct fixture *f, char kind)
{
	switch (kind) {
	case 'h':
		cf_send_head(f, SHORT_BYTES);
		break;
	case 'H':
		cf_send_head(f, LONG_BYTES);
		break;
	case 'u':
		cf_send_head(f, -1);
		break;
	case 'p':
		cf_send_part(f, PART_BYTES, false);
		break;
	case 'P':
		cf_send_part(f, LONG_BYTES / 2, false);
		break;
	case 'Q':
		cf_send_part(f, LONG_BYTES / 2 + PART_BYTES, false);
		break;
	case 'e':
		cf_send_part(f, 0, true);
		break;
	case 'x':
		cf_send_last_part(f, 0, true, true);
		break;
	default:
		send_not_run(f);
	}
}

/* Guards against an answer that is not whole, or of two, and looks complete to its
 * caller, as its owner's frames contradict each other. */
static void test_bad_body(struct fixture *f, gconstpointer data)
{
	const struct order_case *order = data;

	cf_send_requests(f, "/silent", 1);
	for (const char *kind = order->frames; *kind; kind++) {
		send_frame(f, *kind);
		cf_run_due(f);
	}
	cf_run_due(f);
	g_assert_cmpuint(cf_count_answers(f, "502"), ==, order->is_withheld);
	g_assert_cmpuint(cf_count_answers(f, "200"), ==, !order->is_withheld);
	g_assert_null(strstr(f->answers->str, "\r\n0\r\n\r\n"));
	g_assert_cmpuint(f->answers->len, <, LONG_BYTES);
	g_assert_true(f->is_closed != order->is_withheld);
	g_assert_cmpuint(f->cancels, ==, 1);
}

static const struct head_case bodyless[] = {
	{"/call/without-body/204", 204, SHORT_BYTES, NULL, NULL},
	{"/call/without-body/304", 304, SHORT_BYTES, NULL, NULL},
	{"/call/without-body/head", 200, SHORT_BYTES, "HEAD", NULL},
};

/* Guards against the loss of an answer that states a length and has no body. */
static void test_without_body(struct fixture *f, gconstpointer data)
{
	const struct head_case *head = data;
	const char *method = head->name ? head->name : "GET";
	char *text = g_strdup_printf("%s /silent HTTP/1.1\r\nHost: h\r\n\r\n",
				     method);
	char *status = g_strdup_printf("%u", head->status);

	cf_send_text(f, text);
	cf_send_head_as(f, head->status, head->length, NULL, NULL);
	cf_send_part(f, 0, true);
	cf_run_due(f);
	g_assert_cmpuint(cf_count_answers(f, status), ==, 1);
	g_assert_true(g_str_has_suffix(f->answers->str, "\r\n\r\n"));
	g_assert_false(f->is_closed);
	g_free(status);
	g_free(text);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_heads); i++)
		ADD(bad_heads[i].path, &bad_heads[i], test_bad_head);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_orders); i++)
		ADD(bad_orders[i].path, &bad_orders[i], test_bad_body);
	for (size_t i = 0; i < G_N_ELEMENTS(bodyless); i++)
		ADD(bodyless[i].path, &bodyless[i], test_without_body);
	return g_test_run();
}
