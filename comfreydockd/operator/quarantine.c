#include "comfreydockd/decide/quarantine.h"

#include "comfreydockd/daemon.h"
#include "comfreydockd/operator/handler.h"
#include "common/clock.h"
#include "common/jsonc.h"
#include "common/key_text.h"
#include "common/log.h"

static const char *state_name(const struct quarantine_record *record)
{
	if (record->is_cleared)
		return "cleared";
	return quarantine_record_is_held(record) ? "held" : "marked";
}

static void add_record(const struct quarantine_record *record, void *data)
{
	json_object *list = data;
	json_object *item = json_object_new_object();
	char key[KEY_TEXT_SIZE];
	int64_t age_us = clock_mono_us() - record->changed_us;

	jsonc_add_text(item, "content", key_text(record->key, key));
	jsonc_add_text(item, "state", state_name(record));
	jsonc_add_uint(item, "crashes", record->crash_count);
	jsonc_add_uint(item, "failed_trials", record->failed_trials);
	jsonc_add_uint(item, "age_ms", (uint64_t)(MAX(age_us, 0) / US_PER_MS));
	json_object_array_add(list, item);
}

void operator_get_quarantine(struct operator_api *api,
			     struct http_request *request)
{
	json_object *root = json_object_new_object();
	json_object *list = json_object_new_array();

	quarantine_foreach(api->daemon->quarantine, add_record, list);
	json_object_object_add(root, "requests", list);
	operator_reply(request, 200, root);
}

void operator_clear_quarantine(struct operator_api *api,
			       struct http_request *request)
{
	const char *text = http_request_argument(request, "content");
	json_object *root;
	uint64_t key;

	if (!text || !key_text_parse(text, &key)) {
		operator_reply_error(
			request, 400,
			"content: 16 hexadecimal digits are required");
		return;
	}
	if (!quarantine_clear(api->daemon->quarantine, key, clock_mono_us())) {
		operator_reply_error(request, 404,
				     "no request with this content is marked");
		return;
	}
	log_event(EV_OPERATOR_CLEARED, LOG_STR("content", text));
	root = json_object_new_object();
	jsonc_add_text(root, "content", text);
	jsonc_add_text(root, "state", "cleared");
	operator_reply(request, 200, root);
}
