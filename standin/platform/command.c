#include "command.h"

#include "standin.h"

/* Discards the change history, so that older watches get 410, but keeps the
 * rows. */
void command_compact(struct platform *platform, struct http_request *request)
{
	platform->table.compacted_version = platform->table.version;
	platform_reply_status(platform, request, 200);
}

void command_forget_watches(struct platform *platform,
			    struct http_request *request)
{
	platform_forget_watches(platform);
	platform_reply_status(platform, request, 200);
}

/* Also closes all watches, since a store is unavailable during a restore. */
void command_restore(struct platform *platform, struct http_request *request)
{
	struct json_object *command =
		standin_parse_body(http_request_body(request));
	int64_t transactions = 0;

	if (!command) {
		platform_reply_status(platform, request, 400);
		return;
	}
	standin_read_int(command, "transactions", &transactions);
	json_object_put(command);
	platform_abort_delayed(platform);
	table_restore(&platform->table, (uint64_t)MAX(transactions, 0));
	platform->era++;
	platform_reply_status(platform, request, 200);
}

void command_set_faults(struct platform *platform, struct http_request *request)
{
	struct json_object *command =
		standin_parse_body(http_request_body(request));
	struct faults *faults = &platform->faults;
	int64_t seed = -1;

	if (!command) {
		platform_reply_status(platform, request, 400);
		return;
	}
	standin_read_bool(command, "down", &faults->down);
	standin_read_bool(command, "silent", &faults->silent);
	standin_read_int(command, "status", &faults->status);
	standin_read_int(command, "late_ms", &faults->late_ms);
	standin_read_int(command, "slow_ms", &faults->slow_ms);
	standin_read_double(command, "lose_answer_share",
			    &faults->lose_answer_share);
	standin_read_int(command, "lose_next", &faults->lose_next);
	standin_read_int(command, "seed", &seed);
	if (seed >= 0)
		g_rand_set_seed(platform->random, (guint32)seed);
	json_object_put(command);
	platform_reply_status(platform, request, 200);
}

void command_show_history(struct platform *platform, struct http_request *request)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "history",
			       json_object_get(platform->table.history));
	platform_reply_json(platform, request, 200, object);
}

void command_show_stats(struct platform *platform, struct http_request *request)
{
	struct json_object *object = json_object_new_object();

	json_object_object_add(object, "reads",
			       json_object_new_uint64(platform->reads));
	json_object_object_add(object, "writes",
			       json_object_new_uint64(platform->writes));
	json_object_object_add(object, "lost_answers",
			       json_object_new_uint64(platform->lost_answers));
	platform_reply_json(platform, request, 200, object);
}
