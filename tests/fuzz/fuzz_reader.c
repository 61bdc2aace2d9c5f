/* Heads and bodies of callers: read as a whole and byte by byte, the same must
 * come out. */
#include <glib.h>

#include "comfreydockd/caller/reader.h"
#include "fuzz.h"

#define MAX_HEAD 4096

/* What was read, summed up; pieces of bodies join. */
struct sum {
	GString *heads;
	GByteArray *body;
};

static void sum_head(struct sum *sum, const struct reader *reader)
{
	struct reader_head head;

	reader_get_head(reader, &head);
	g_string_append_printf(sum->heads, "%s %s %d%d%d", head.method,
			       head.head->target, head.is_1_0, head.keeps_alive,
			       head.ends);
	for (size_t i = 0; i < head.head->fields.count; i++)
		g_string_append_printf(sum->heads, " %s=%s",
				       head.head->fields.items[i]->name,
				       head.head->fields.items[i]->value);
}

static void sum_body(struct sum *sum, const struct reader *reader)
{
	struct reader_body body;

	reader_get_body(reader, &body);
	g_byte_array_append(sum->body, body.bytes, (guint)body.size);
	if (body.ends)
		g_string_append_printf(sum->heads, " ends at %u\n",
				       sum->body->len);
}

static void read_all(struct sum *sum, const uint8_t *bytes, size_t size,
		     size_t step)
{
	enum reader_event event = READER_NEEDS_BYTES;
	struct reader reader;
	size_t known = 0;
	size_t at = 0;
	size_t used;

	reader_init(&reader, MAX_HEAD);
	while (event != READER_FAULT) {
		event = reader_read(&reader, bytes + at, known - at, &used);
		g_assert(used <= known - at);
		at += used;
		if (event == READER_HEAD)
			sum_head(sum, &reader);
		else if (event == READER_BODY)
			sum_body(sum, &reader);
		else if (event == READER_NEEDS_BYTES && known == size)
			break;
		else if (event == READER_NEEDS_BYTES)
			known = MIN(known + step, size);
	}
	reader_finish(&reader);
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	struct sum whole = {g_string_new(NULL), g_byte_array_new()};
	struct sum single = {g_string_new(NULL), g_byte_array_new()};

	read_all(&whole, bytes, size, MAX(size, 1));
	read_all(&single, bytes, size, 1);
	g_assert(g_string_equal(whole.heads, single.heads));
	g_string_free(whole.heads, TRUE);
	g_string_free(single.heads, TRUE);
	g_byte_array_unref(whole.body);
	g_byte_array_unref(single.body);
	return 0;
}
