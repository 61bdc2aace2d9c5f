#include "common/timeline.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"

void timeline_init(struct timeline *timeline, size_t capacity)
{
	memset(timeline, 0, sizeof(*timeline));
	timeline->entries = g_new0(struct timeline_entry, capacity);
	timeline->capacity = capacity;
}

void timeline_finish(struct timeline *timeline)
{
	g_free(timeline->entries);
	memset(timeline, 0, sizeof(*timeline));
}

uint64_t timeline_now(struct timeline *timeline)
{
	uint64_t wall = (uint64_t)clock_wall_us();

	timeline->last_time = MAX(timeline->last_time + 1, wall);
	return timeline->last_time;
}

void timeline_observe(struct timeline *timeline, uint64_t time)
{
	timeline->last_time = MAX(timeline->last_time, time);
}

void timeline_add(struct timeline *timeline, const char *trace, enum event id,
		  const char *format, ...)
{
	struct timeline_entry *entry;
	va_list args;

	if (!trace || !*trace || !timeline->capacity)
		return;
	entry = &timeline->entries[timeline->written++ % timeline->capacity];
	entry->time = timeline_now(timeline);
	entry->event = id;
	trace_label(trace, entry->trace);
	va_start(args, format);
	vsnprintf(entry->note, sizeof(entry->note), format, args);
	va_end(args);
}

void timeline_log_fields(struct timeline *timeline, const char *trace,
			 enum event id, const struct log_field *fields)
{
	char note[TIMELINE_NOTE_MAX] = "";
	size_t used = 0;

	for (const struct log_field *field = fields + 1;
	     field->key && used < sizeof(note); field++) {
		const char *gap = used ? " " : "";

		if (field->text)
			used += (size_t)g_snprintf(
				note + used, sizeof(note) - used, "%s%s=%s",
				gap, field->key, field->text);
		else
			used += (size_t)g_snprintf(note + used,
						   sizeof(note) - used,
						   "%s%s=%" G_GINT64_FORMAT, gap,
						   field->key, field->number);
	}
	timeline_add(timeline, trace, id, "%s", note);
	log_event_fields(id, fields);
}

static json_object *entry_to_json(const struct timeline_entry *entry,
				  const char *process)
{
	json_object *object = json_object_new_object();

	json_object_object_add(object, "time",
			       json_object_new_uint64(entry->time));
	json_object_object_add(object, "event",
			       json_object_new_int((int)entry->event));
	json_object_object_add(
		object, "name",
		json_object_new_string(log_event_name(entry->event)));
	json_object_object_add(object, "trace",
			       json_object_new_string(entry->trace));
	json_object_object_add(object, "note",
			       json_object_new_string(entry->note));
	json_object_object_add(object, "process",
			       json_object_new_string(process));
	return object;
}

void timeline_append_json(const struct timeline *timeline, const char *trace,
			  const char *process, GString *out)
{
	json_object *array = json_object_new_array();
	char label[TRACE_LABEL_SIZE];
	uint64_t first = timeline->written > timeline->capacity ?
				 timeline->written - timeline->capacity :
				 0;

	if (trace)
		trace_label(trace, label);
	for (uint64_t i = first; i < timeline->written; i++) {
		const struct timeline_entry *entry =
			&timeline->entries[i % timeline->capacity];

		if (!trace || strcmp(label, entry->trace) == 0)
			json_object_array_add(array,
					      entry_to_json(entry, process));
	}
	g_string_append(out, json_object_to_json_string(array));
	json_object_put(array);
}
