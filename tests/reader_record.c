#include "reader_record.h"

#include <stdbool.h>

#include "comfreydockd/caller/reader.h"

/* The events as text. The pieces of a body are joined, as they depend on the
 * reads. */
struct record {
	GString *text;
	GString *body;
};

static void record_head(struct record *record, const struct reader *reader)
{
	struct reader_head head;

	reader_get_head(reader, &head);
	g_string_append_printf(
		record->text, "%s %s %s%s%s", head.method, head.head->target,
		head.is_http_1_0 ? "1.0" : "1.1",
		head.keeps_alive ? " keeps" : "", head.ends ? " ends" : "");
	for (size_t i = 0; i < head.head->fields.count; i++)
		g_string_append_printf(record->text, " %s=%s",
				       head.head->fields.items[i]->name,
				       head.head->fields.items[i]->value);
	g_string_append_c(record->text, '\n');
}

static void record_body(struct record *record, const struct reader *reader)
{
	struct reader_body body;

	reader_get_body(reader, &body);
	g_string_append_len(record->body, (const char *)body.bytes,
			    (gssize)body.size);
	if (!body.ends)
		return;
	g_string_append_c(record->text, '<');
	g_string_append_len(record->text, record->body->str,
			    (gssize)record->body->len);
	g_string_append(record->text, ">\n");
	g_string_truncate(record->body, 0);
}

/* RETURN VALUE: whether the reader may have another event. */
static bool record_event(struct record *record, const struct reader *reader,
			 enum reader_event event)
{
	if (event == READER_HEAD)
		record_head(record, reader);
	else if (event == READER_BODY)
		record_body(record, reader);
	else if (event == READER_FAULT)
		g_string_append(record->text, "fault\n");
	return event == READER_HEAD || event == READER_BODY;
}

GString *reader_record(const char *bytes, size_t size, size_t step,
		       size_t max_head_bytes)
{
	struct record record = {g_string_new(NULL), g_string_new(NULL)};
	enum reader_event event = READER_NEEDS_BYTES;
	struct reader reader;
	size_t known = 0;
	size_t at = 0;
	size_t used;

	reader_init(&reader, max_head_bytes);
	while (event != READER_FAULT) {
		event = reader_read(&reader, (const uint8_t *)bytes + at,
				    known - at, &used);
		g_assert_cmpuint(used, <=, known - at);
		at += used;
		if (record_event(&record, &reader, event) || event == READER_FAULT)
			continue;
		if (known == size)
			break;
		known = MIN(known + step, size);
	}
	reader_finish(&reader);
	g_string_free(record.body, TRUE);
	return record.text;
}
