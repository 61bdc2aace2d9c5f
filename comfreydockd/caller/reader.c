#include "comfreydockd/caller/reader.h"

#include <string.h>
#include <strings.h>

#define STATUS_BAD_REQUEST 400
#define STATUS_HEAD_TOO_LARGE 431
#define VERSION_1_0 " HTTP/1.0"
#define VERSION_1_1 " HTTP/1.1"
#define CONTINUE "100-continue"

static struct reader *reader_of(http_parser *parser)
{
	return parser->data;
}

/* The parser gets a whole head at once, so each callback gets its whole part at
 * once. */

static int handle_url(http_parser *parser, const char *bytes, size_t size)
{
	char *target = g_strndup(bytes, size);

	head_finish(&reader_of(parser)->head);
	head_init(&reader_of(parser)->head, target);
	g_free(target);
	return 0;
}

static int handle_name(http_parser *parser, const char *bytes, size_t size)
{
	struct reader *reader = reader_of(parser);

	g_free(reader->name);
	reader->name = g_strndup(bytes, size);
	return 0;
}

static int handle_value(http_parser *parser, const char *bytes, size_t size)
{
	struct reader *reader = reader_of(parser);
	char *value;

	if (reader->head_complete)
		return 0; /* a trailer field, which is not forwarded */
	while (size > 0 && (bytes[size - 1] == ' ' || bytes[size - 1] == '\t'))
		size--;
	value = g_strndup(bytes, size);
	head_add_field(&reader->head, reader->name, value);
	g_free(value);
	return 0;
}

static int handle_head_end(http_parser *parser)
{
	reader_of(parser)->head_complete = true;
	return 0;
}

static int handle_body(http_parser *parser, const char *bytes, size_t size)
{
	g_byte_array_append(reader_of(parser)->body, (const guint8 *)bytes,
			    (guint)size);
	return 0;
}

/* Pauses the parser: the bytes that follow belong to the next request. */
static int handle_message_end(http_parser *parser)
{
	reader_of(parser)->is_complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = handle_url,
	.on_header_field = handle_name,
	.on_header_value = handle_value,
	.on_headers_complete = handle_head_end,
	.on_body = handle_body,
	.on_message_complete = handle_message_end,
};

/* Prepares for the next request. */
static void reader_reset(struct reader *reader)
{
	http_parser_init(&reader->parser, HTTP_REQUEST);
	reader->parser.data = reader;
	reader->line = (struct reader_line){.is_first = true};
	reader->in_body = false;
	reader->is_complete = false;
	reader->head_complete = false;
	head_finish(&reader->head);
	head_init(&reader->head, "");
}

void reader_init(struct reader *reader, size_t max_head_bytes)
{
	memset(reader, 0, sizeof(*reader));
	reader->max_head_bytes = max_head_bytes;
	reader->body = g_byte_array_new();
	reader_reset(reader);
}

void reader_finish(struct reader *reader)
{
	head_finish(&reader->head);
	g_byte_array_unref(reader->body);
	g_free(reader->name);
}

static enum reader_event reader_fail(struct reader *reader, unsigned int status,
				     const char *fault)
{
	reader->fault_status = status;
	reader->fault = fault;
	return READER_FAULT;
}

static bool ends_with(const uint8_t *bytes, size_t size, const char *end)
{
	size_t length = strlen(end);

	return size >= length && memcmp(bytes + size - length, end, length) == 0;
}

static void reader_end_line(struct reader *reader, const uint8_t *bytes)
{
	struct reader_line *line = &reader->line;
	const uint8_t *text = bytes + line->begin;
	size_t size = line->at - line->begin - strlen("\r");

	if (line->is_first)
		reader->is_http = ends_with(text, size, VERSION_1_0) ||
				  ends_with(text, size, VERSION_1_1);
	line->is_first = false;
	line->begin = line->at + 1;
}

static const char *line_byte_fault(const struct reader_line *line, uint8_t byte)
{
	/* The HTTP library refuses a NUL byte in the request line. */
	if (byte == '\0' && !line->is_first)
		return "the head holds a NUL byte";
	if ((byte == '\n') != line->after_cr)
		return "a line doesn't end with CR and LF";
	if (line->at == line->begin && (byte == ' ' || byte == '\t'))
		return "a line is folded";
	return NULL;
}

/*
 * Scans the lines of a head, from where the last call stopped.
 *
 * RETURN VALUE: the head's size; 0 if its end has not arrived, or on a fault,
 * which is then in reader->fault.
 */
static size_t reader_find_end(struct reader *reader, const uint8_t *bytes,
			      size_t size)
{
	struct reader_line *line = &reader->line;

	for (; line->at < size; line->at++) {
		uint8_t byte = bytes[line->at];
		bool is_empty = line->at == line->begin + strlen("\r");

		reader->fault = line_byte_fault(line, byte);
		if (reader->fault)
			return 0;
		line->after_cr = byte == '\r';
		if (byte != '\n')
			continue;
		if (is_empty)
			return line->at + 1;
		reader_end_line(reader, bytes);
	}
	return 0;
}

/* RFC 9112, section 2.2: empty lines before a request are to be ignored. */
static size_t count_empty_lines(const uint8_t *bytes, size_t size)
{
	size_t count = 0;

	while (size - count >= 2 && memcmp(bytes + count, "\r\n", 2) == 0)
		count += 2;
	return count;
}

static enum reader_event reader_check_head(struct reader *reader)
{
	struct reader_head head;
	const char *fault;

	reader_get_head(reader, &head);
	fault = head_fault(&reader->head, head.method, head.is_http_1_0);
	if (fault)
		return reader_fail(reader, STATUS_BAD_REQUEST, fault);
	return READER_HEAD;
}

static enum reader_event reader_read_head(struct reader *reader,
					  const uint8_t *bytes, size_t size,
					  size_t *used)
{
	size_t length = reader_find_end(reader, bytes, size);
	size_t parsed;

	if (reader->fault)
		return reader_fail(reader, STATUS_BAD_REQUEST, reader->fault);
	if (MAX(length, reader->line.at) > reader->max_head_bytes)
		return reader_fail(reader, STATUS_HEAD_TOO_LARGE,
				   "the head is too large");
	if (length == 0)
		return READER_NEEDS_BYTES;
	if (!reader->is_http)
		return reader_fail(reader, STATUS_BAD_REQUEST,
				   "this is no HTTP/1.1 request");
	parsed = http_parser_execute(&reader->parser, &callbacks,
				     (const char *)bytes, length);
	if (parsed != length || !reader->head_complete)
		return reader_fail(reader, STATUS_BAD_REQUEST,
				   http_errno_description(
					   HTTP_PARSER_ERRNO(&reader->parser)));
	*used += length;
	reader->in_body = true;
	return reader_check_head(reader);
}

static enum reader_event reader_read_body(struct reader *reader,
					  const uint8_t *bytes, size_t size,
					  size_t *used)
{
	size_t parsed;

	g_byte_array_set_size(reader->body, 0);
	parsed = http_parser_execute(&reader->parser, &callbacks,
				     (const char *)bytes, size);
	*used = parsed;
	if (parsed != size && !reader->is_complete)
		return reader_fail(reader, STATUS_BAD_REQUEST,
				   http_errno_description(
					   HTTP_PARSER_ERRNO(&reader->parser)));
	if (reader->body->len || reader->is_complete)
		return READER_BODY;
	return READER_NEEDS_BYTES;
}

enum reader_event reader_read(struct reader *reader, const uint8_t *bytes,
			      size_t size, size_t *used)
{
	*used = 0;
	if (reader->fault)
		return READER_FAULT;
	if (reader->is_complete)
		reader_reset(reader);
	if (reader->in_body)
		return size ? reader_read_body(reader, bytes, size, used) :
			      READER_NEEDS_BYTES;
	if (reader->line.at == 0)
		*used = count_empty_lines(bytes, size);
	if (size - *used == 1 && bytes[*used] == '\r')
		return READER_NEEDS_BYTES;
	return reader_read_head(reader, bytes + *used, size - *used, used);
}

void reader_get_head(const struct reader *reader, struct reader_head *head)
{
	const char *expects = fields_find(&reader->head.fields, "Expect");
	bool is_http_1_0 = reader->parser.http_minor == 0;

	*head = (struct reader_head){
		.head = &reader->head,
		.method = http_method_str((enum http_method)reader->parser.method),
		.is_http_1_0 = is_http_1_0,
		.keeps_alive = http_should_keep_alive(&reader->parser) != 0,
		/* HTTP/1.0 knows no interim answers. */
		.awaits_continue = !is_http_1_0 && expects &&
				   strcasecmp(expects, CONTINUE) == 0,
		.ends = reader->is_complete,
	};
}

void reader_get_body(const struct reader *reader, struct reader_body *body)
{
	*body = (struct reader_body){
		.bytes = reader->body->data,
		.size = reader->body->len,
		.ends = reader->is_complete,
	};
}

const char *reader_fault(const struct reader *reader, unsigned int *status)
{
	*status = reader->fault_status;
	return reader->fault;
}

bool reader_is_http(const struct reader *reader)
{
	return reader->is_http;
}
