#include "common/clock.h"
#include "common/counters.h"
#include "common/jsonc.h"
#include "common/key_text.h"
#include "common/log.h"
#include "rows_internal.h"

/* The held records that name a crash on one host. */
struct host_records {
	uint32_t host; /* its member_host_hash() */
	GPtrArray *records; /* of const struct quarantine_record */
};

static void list_record(const struct quarantine_record *record, void *data)
{
	struct host_records *host_records = data;

	if (quarantine_record_is_held(record) &&
	    quarantine_record_names(record, host_records->host))
		g_ptr_array_add(host_records->records, (gpointer)record);
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const struct quarantine_record *const *one = a;
	const struct quarantine_record *const *other = b;

	return ((*one)->key > (*other)->key) - ((*one)->key < (*other)->key);
}

static json_object *record_to_json(const struct quarantine_record *record)
{
	json_object *object = json_object_new_object();
	json_object *crashes = json_object_new_array();
	char text[KEY_TEXT_SIZE];

	jsonc_add_text(object, "content", key_text(record->key, text));
	jsonc_add_uint(object, "round", record->round);
	jsonc_add_uint(object, "failed_trials", record->failed_trials);
	for (uint32_t i = 0; i < record->crash_count; i++)
		json_object_array_add(
			crashes, json_object_new_string(
					 key_text(record->crashes[i], text)));
	json_object_object_add(object, "crashes", crashes);
	return object;
}

/* Sorts the records by key. A row that lists the same records in another order
 * would differ and be written again. */
static GPtrArray *records_for_host(const struct quarantine *quarantine,
				   const char *host)
{
	struct host_records host_records = {
		.host = member_host_hash(host),
		.records = g_ptr_array_new(),
	};

	quarantine_foreach(quarantine, list_record, &host_records);
	g_ptr_array_sort(host_records.records, compare_keys);
	return host_records.records;
}

static json_object *records_to_json(const GPtrArray *records)
{
	json_object *list = json_object_new_array();

	for (guint i = 0; i < MIN(records->len, ROWS_QUARANTINED_MAX); i++)
		json_object_array_add(list, record_to_json(records->pdata[i]));
	return list;
}

void rows_quarantine_add(struct json_object *row,
			 const struct quarantine *quarantine, const char *host)
{
	GPtrArray *records = records_for_host(quarantine, host);

	if (records->len > 0)
		json_object_object_add(row, "quarantine",
				       records_to_json(records));
	g_ptr_array_unref(records);
}

static bool crashes_from_json(json_object *list, struct quarantine_record *record)
{
	if (!json_object_is_type(list, json_type_array) ||
	    json_object_array_length(list) != QUARANTINE_CRASHES)
		return false;
	record->crash_count = QUARANTINE_CRASHES;
	for (uint32_t i = 0; i < QUARANTINE_CRASHES; i++) {
		json_object *item = json_object_array_get_idx(list, i);

		if (!json_object_is_type(item, json_type_string) ||
		    !key_text_parse(json_object_get_string(item),
				    &record->crashes[i]))
			return false;
	}
	return true;
}

static bool record_from_json(json_object *object, struct quarantine_record *record)
{
	return json_object_is_type(object, json_type_object) &&
	       key_text_parse(jsonc_get_text(object, "content"), &record->key) &&
	       crashes_from_json(json_object_object_get(object, "crashes"),
				 record) &&
	       quarantine_record_is_valid(record);
}

static unsigned int merge_records(json_object *list,
				  struct quarantine *quarantine, int64_t now_us)
{
	size_t length = MIN(json_object_array_length(list), ROWS_QUARANTINED_MAX);
	unsigned int count = 0;

	for (size_t i = 0; i < length; i++) {
		json_object *item = json_object_array_get_idx(list, i);
		struct quarantine_record record = {.changed_us = now_us,
						   .asked_us = now_us};

		if (!record_from_json(item, &record)) {
			counters.rows_malformed++;
			continue;
		}
		record.round = (uint32_t)jsonc_get_uint(item, "round");
		record.failed_trials =
			(uint32_t)jsonc_get_uint(item, "failed_trials");
		quarantine_merge(quarantine, &record, now_us);
		count++;
	}
	return count;
}

unsigned int rows_decode_quarantine(const char *value, size_t size,
				    struct quarantine *quarantine, int64_t now_us)
{
	json_tokener *tokener = json_tokener_new();
	json_object *row = json_tokener_parse_ex(tokener, value, (int)size);
	json_object *list = NULL;
	unsigned int count = 0;

	if (json_object_is_type(row, json_type_object) &&
	    json_object_object_get_ex(row, "quarantine", &list) &&
	    json_object_is_type(list, json_type_array))
		count = merge_records(list, quarantine, now_us);
	json_object_put(row);
	json_tokener_free(tokener);
	return count;
}

void rows_quarantine_merge(struct rows *rows, const struct rows_row *row)
{
	struct quarantine *quarantine = rows->options.quarantine;
	unsigned int before;

	if (!quarantine)
		return;
	before = quarantine_held_count(quarantine);
	rows_decode_quarantine(row->value, row->size, quarantine,
			       clock_mono_us());
	if (quarantine_held_count(quarantine) > before)
		log_event(EV_ROW_QUARANTINE, LOG_STR("key", row->key),
			  LOG_INT("records",
				  quarantine_held_count(quarantine) - before),
			  LOG_INT("row_version", (int64_t)row->version));
}
