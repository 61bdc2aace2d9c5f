/*
 * Frames between daemons: a frame that can be unpacked can be packed and
 * unpacked again. The target skips frames that have unknown fields, in
 * themselves or in a submessage: the codec accepts the field number 0 if it is
 * encoded in two bytes, keeps the field, and packs the number in one byte,
 * which it then refuses. A daemon ignores unknown fields and never packs a
 * frame that it has unpacked.
 */
#include <glib.h>
#include <stdbool.h>

#include "fuzz.h"
#include "proto/peer.pb-c.h"

static bool has_unknown_fields(const ProtobufCMessage *message);

static const void *member_of(const ProtobufCMessage *message, unsigned int offset)
{
	return (const char *)message + offset;
}

static bool list_has_unknown_fields(const ProtobufCMessage *message,
				    const ProtobufCFieldDescriptor *field)
{
	ProtobufCMessage *const *const *parts = member_of(message, field->offset);
	const size_t *count = member_of(message, field->quantifier_offset);

	for (size_t i = 0; i < *count; i++) {
		if (has_unknown_fields((*parts)[i]))
			return true;
	}
	return false;
}

static bool submessage_has_unknown_fields(const ProtobufCMessage *message,
					  const ProtobufCFieldDescriptor *field)
{
	ProtobufCMessage *const *part = member_of(message, field->offset);

	if (field->type != PROTOBUF_C_TYPE_MESSAGE)
		return false;
	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		return list_has_unknown_fields(message, field);
	return *part && has_unknown_fields(*part);
}

/* A member of a oneof is present only if the case field names it. */
static bool is_present(const ProtobufCMessage *message,
		       const ProtobufCFieldDescriptor *field)
{
	const uint32_t *which = member_of(message, field->quantifier_offset);

	return !(field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) ||
	       *which == field->id;
}

static bool has_unknown_fields(const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;

	if (message->n_unknown_fields)
		return true;
	for (unsigned int i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

		if (is_present(message, field) &&
		    submessage_has_unknown_fields(message, field))
			return true;
	}
	return false;
}

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t size)
{
	Cfd__Frame *frame = cfd__frame__unpack(NULL, size, bytes);
	uint8_t *packed;
	size_t length;

	if (!frame)
		return 0;
	if (has_unknown_fields(&frame->base)) {
		cfd__frame__free_unpacked(frame, NULL);
		return 0;
	}
	packed = g_malloc(cfd__frame__get_packed_size(frame) + 1);
	length = cfd__frame__pack(frame, packed);
	cfd__frame__free_unpacked(frame, NULL);
	frame = cfd__frame__unpack(NULL, length, packed);
	g_assert(frame);
	cfd__frame__free_unpacked(frame, NULL);
	g_free(packed);
	return 0;
}
