#include <glib.h>
#include <string.h>

#include "comfreydockd/config/apply.h"
#include "comfreydockd/config/check.h"
#include "common/clock.h"
#include "config_platform_fake.h"
#include "paused_clock.h"

/* One operator's file and the outcome reported to the operator. */
struct operator
{
	char who[16];
	char *body;
	unsigned int told;
	enum config_apply_result result;
	uint64_t version;
	char winner[16];
	bool was_in_force;
	char *findings;
};

static void handle_outcome(const struct config_apply_outcome *outcome, void *data)
{
	struct operator* op = data;

	op->told++;
	op->result = outcome->result;
	op->version = outcome->version;
	op->was_in_force = outcome->was_in_force;
	g_strlcpy(op->winner, outcome->winner ? outcome->winner : "",
		  sizeof(op->winner));
	g_free(op->findings);
	op->findings = findings_to_text(outcome->findings);
}

static void start_with(struct fake_platform *p, struct operator* op,
		       const char *name, int id,
		       struct config_apply_request request)
{
	g_snprintf(op->who, sizeof(op->who), "op-%d", id);
	op->told = 0;
	g_free(op->body);
	op->body = g_strdup_printf(
		"{\"namespace\": \"%s\", \"services\": {\"s-%d\": {\"hosts\": "
		"[\"h\"], \"group\": \"g\", \"rules\": [{\"name\": \"r\", "
		"\"deadline_ms\": 5}]}}}",
		name, id);
	request.body = op->body;
	request.who = op->who;
	request.file = "f";
	config_apply_start(&fake_platform_ops, p, &request, handle_outcome, op);
}

static void start(struct fake_platform *p, struct operator* op,
		  const char *name, int id, uint64_t base)
{
	struct config_apply_request request = {.base = base};

	start_with(p, op, name, id, request);
}

static void operator_finish(struct operator* op)
{
	g_free(op->body);
	g_free(op->findings);
}

static void read_history(struct fake_platform *p, const char *name,
			 struct config_history *history)
{
	char *key = config_namespace_key(name);
	struct fake_row *row = g_hash_table_lookup(p->rows, key);

	config_history_init(history);
	g_assert_true(config_history_parse(history, row ? row->value : NULL));
	g_free(key);
}

static void read_head(struct fake_platform *p, struct config_head *head)
{
	struct fake_row *row = g_hash_table_lookup(p->rows, CONFIG_HEAD_KEY);

	config_head_init(head);
	g_assert_true(config_head_parse(head, row ? row->value : NULL));
}

static void test_consecutive_versions(void)
{
	struct operator op = {0};
	struct fake_platform p;

	fake_platform_init(&p);
	for (uint64_t base = 0; base < 20; base++) {
		start(&p, &op, "a", (int)base, base);
		fake_platform_run(&p);
		g_assert_cmpint(op.result, ==, CONFIG_APPLY_IN_FORCE);
		g_assert_cmpuint(op.version, ==, base + 1);
	}
	g_assert_cmpuint(g_hash_table_size(p.objects), ==, 20);
	start(&p, &op, "a", 99, 3);
	fake_platform_run(&p);
	g_assert_cmpint(op.result, ==, CONFIG_APPLY_CONFLICT);
	g_assert_cmpuint(op.version, ==, 20);
	g_assert_cmpstr(op.winner, ==, "op-19");
	operator_finish(&op);
	fake_platform_finish(&p);
}

static struct fake_row *copy_row(struct fake_platform *p, const char *key)
{
	const struct fake_row *row = g_hash_table_lookup(p->rows, key);
	struct fake_row *copy = g_new0(struct fake_row, 1);

	copy->version = row->version;
	copy->value = g_strdup(row->value);
	return copy;
}

/* RETURN VALUE: the snapshot of a daemon that has adopted the operator's
 * file. */
static struct config_snapshot *holding(const struct operator* op, uint64_t version)
{
	struct config_snapshot *none = config_snapshot_create();
	struct config_snapshot *snapshot;
	struct config_namespace *ns;
	struct findings findings;

	findings_init(&findings);
	ns = config_namespace_load("f", op->body, &findings);
	findings_finish(&findings);
	ns->version = version;
	snapshot = config_snapshot_with(none, ns);
	config_namespace_unref(ns);
	config_snapshot_unref(none);
	return snapshot;
}

/* Guards against an apply that is acknowledged but adopted by no daemon. After
 * the platform's store is restored to an older state, a new version could get a
 * number that daemons already hold with other content. */
static void test_numbers_continue_after_store_rollback(void)
{
	char *key = config_namespace_key("a");
	struct config_apply_request request = {.base = 3, .known_head = 3};
	struct config_snapshot *held;
	struct operator op = {0};
	struct config_head head;
	struct fake_row *row;
	struct fake_row *head_row;
	struct fake_platform p;

	fake_platform_init(&p);
	start(&p, &op, "a", 1, 0);
	fake_platform_run(&p);
	row = copy_row(&p, key);
	head_row = copy_row(&p, CONFIG_HEAD_KEY);
	for (uint64_t base = 1; base < 3; base++) {
		start(&p, &op, "a", (int)base + 1, base);
		fake_platform_run(&p);
	}
	g_hash_table_replace(p.rows, g_strdup(key), row);
	g_hash_table_replace(p.rows, g_strdup(CONFIG_HEAD_KEY), head_row);
	held = holding(&op, 3);
	request.current = held;
	start_with(&p, &op, "a", 4, request);
	fake_platform_run(&p);
	g_assert_cmpint(op.result, ==, CONFIG_APPLY_IN_FORCE);
	g_assert_cmpuint(op.version, ==, 4);
	read_head(&p, &head);
	g_assert_cmpuint(head.head, ==, 4);
	config_head_finish(&head);
	config_snapshot_unref(held);
	operator_finish(&op);
	fake_platform_finish(&p);
	g_free(key);
}

/* Guards against an unclear outcome while the platform is down for long: the
 * operator must be told that nothing was changed. */
static void test_platform_down(void)
{
	struct operator op = {0};
	struct fake_platform p;

	fake_platform_init(&p);
	p.faults.unavailable = 100;
	start(&p, &op, "a", 1, 0);
	fake_platform_run(&p);
	g_assert_cmpuint(op.told, ==, 1);
	g_assert_cmpint(op.result, ==, CONFIG_APPLY_REFUSED);
	g_assert_nonnull(strstr(op.findings, "nothing was changed"));
	operator_finish(&op);
	fake_platform_finish(&p);
}

/*
 * Guards against the report of a failure for a write that took effect and whose
 * answer was lost. The operator would apply again on top of it or believe that
 * the old rules are in force.
 */
static void test_lost_answer_is_resolved(void)
{
	struct operator op = {0};
	unsigned int unknown = 0;

	for (int i = 0; i < 200; i++) {
		struct config_history history;
		struct fake_platform p;
		bool is_there;

		fake_platform_init(&p);
		p.faults = (struct fake_faults){.lost = 60};
		start(&p, &op, "a", 1, 0);
		fake_platform_run(&p);
		read_history(&p, "a", &history);
		is_there = config_history_newest_version(&history) == 1;
		g_assert_cmpuint(p.transactions, <=, 1);
		unknown += op.result == CONFIG_APPLY_UNKNOWN;
		if (op.result == CONFIG_APPLY_IN_FORCE)
			g_assert_true(is_there);
		else if (op.result == CONFIG_APPLY_REFUSED)
			g_assert_false(is_there);
		/* Once the platform works, applying again gives the outcome. */
		p.faults.lost = 0;
		start(&p, &op, "a", 1, 0);
		fake_platform_run(&p);
		g_assert_cmpint(op.result, ==, CONFIG_APPLY_IN_FORCE);
		g_assert_cmpuint(op.version, ==, 1);
		config_history_finish(&history);
		fake_platform_finish(&p);
	}
	g_assert_cmpuint(unknown, <, 100);
	operator_finish(&op);
}

/* Checks that the outcome reported to one operator agrees with the rows. */
static void check_outcome(const struct operator* op,
			  const struct config_history *history)
{
	bool is_there = false;
	char hash[65];

	config_body_sha256(op->body, strlen(op->body), hash);
	for (guint i = 0; i < history->commits->len; i++)
		is_there |= strcmp(g_array_index(history->commits,
						 struct config_commit, i)
					   .sha256,
				   hash) == 0;
	g_assert_cmpuint(op->told, ==, 1);
	switch (op->result) {
	case CONFIG_APPLY_IN_FORCE:
		g_assert_cmpstr(config_history_find(history, op->version)->sha256,
				==, hash);
		break;
	case CONFIG_APPLY_CONFLICT:
		g_assert_true(is_there == op->was_in_force);
		g_assert_cmpstr(config_history_find(history, op->version)->who,
				==, op->winner);
		break;
	case CONFIG_APPLY_REFUSED:
		g_assert_false(is_there);
		break;
	case CONFIG_APPLY_UNKNOWN:
		break;
	}
}

static void check_rows(struct fake_platform *p, struct operator* operators,
		       int count)
{
	static const char *const names[] = {"a", "b"};
	struct config_head head;
	uint64_t sum = 0;

	read_head(p, &head);
	for (int n = 0; n < 2; n++) {
		struct config_history history;

		read_history(p, names[n], &history);
		sum += config_history_newest_version(&history);
		for (guint i = 0; i + 1 < history.commits->len; i++)
			g_assert_cmpuint(g_array_index(history.commits,
						       struct config_commit, i)
						 .version,
					 ==,
					 g_array_index(history.commits,
						       struct config_commit, i + 1)
							 .version +
						 1);
		for (int i = n; i < count; i += 2)
			check_outcome(&operators[i], &history);
		config_history_finish(&history);
	}
	g_assert_cmpuint(head.head, ==, sum);
	config_head_finish(&head);
}

/*
 * Guards against outcomes that the rows contradict. Five operators of two teams
 * apply at once in several rounds while the platform is slow, loses answers and
 * applies writes seconds after it reported them as unknown.
 */
static void test_concurrent_operators(void)
{
	unsigned int told[4] = {0};

	for (int seed = 0; seed < 300; seed++) {
		struct operator operators[5] = {0};
		struct fake_platform p;

		fake_platform_init(&p);
		p.faults = (struct fake_faults){
			.unavailable = g_test_rand_int_range(0, 30),
			.lost = g_test_rand_int_range(0, 30),
			.late = g_test_rand_int_range(0, 30),
			.slow_ms = g_test_rand_int_range(0, 400),
		};
		for (int round = 0; round < 3; round++) {
			for (int i = 0; i < 5; i++) {
				struct config_history history;
				const char *name = i % 2 ? "b" : "a";

				read_history(&p, name, &history);
				start(&p, &operators[i], name, round * 5 + i,
				      config_history_newest_version(&history));
				config_history_finish(&history);
			}
			fake_platform_run(&p);
			check_rows(&p, operators, 5);
			for (int i = 0; i < 5; i++)
				told[operators[i].result]++;
		}
		for (int i = 0; i < 5; i++)
			operator_finish(&operators[i]);
		fake_platform_finish(&p);
	}
	g_test_message("in force %u, refused %u, conflict %u, unknown %u",
		       told[0], told[1], told[2], told[3]);
	g_assert_cmpuint(told[CONFIG_APPLY_IN_FORCE], >, 1000);
	g_assert_cmpuint(told[CONFIG_APPLY_CONFLICT], >, 1000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/apply/versions", test_consecutive_versions);
	g_test_add_func("/apply/store-rollback",
			test_numbers_continue_after_store_rollback);
	g_test_add_func("/apply/down", test_platform_down);
	g_test_add_func("/apply/lost-answer", test_lost_answer_is_resolved);
	g_test_add_func("/apply/race", test_concurrent_operators);
	return g_test_run();
}
