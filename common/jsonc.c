#include "common/jsonc.h"

#include <string.h>

#include "common/slice.h"

#define FEED_STEP_BYTES ((size_t)(16 * 1024)) /* about 0.3 ms of work */

struct scanner {
	const char *at;
	int line;
	struct jsonc_doc *doc;
	struct findings *findings;
};

static void scan_value(struct scanner *scanner, const char *path);

char *jsonc_path_key(const char *path, const char *key)
{
	return *path ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);
}

char *jsonc_path_item(const char *path, size_t index)
{
	return g_strdup_printf("%s[%zu]", path, index);
}

static void scanner_error(struct scanner *scanner, const char *path,
			  const char *text)
{
	findings_add(scanner->findings, FINDING_ERROR, scanner->doc->file,
		     scanner->line, *path ? path : NULL, "%s", text);
}

static void scan_newline(struct scanner *scanner)
{
	if (*scanner->at == '\n')
		scanner->line++;
	scanner->at++;
}

/* Reads at[1] only after a slash, as a text may end with a single slash. */
static bool is_comment(const char *at)
{
	return at[0] == '/' && (at[1] == '/' || at[1] == '*');
}

static void skip_comment(struct scanner *scanner)
{
	bool block = scanner->at[1] == '*';

	scanner->at += 2;
	while (*scanner->at) {
		if (!block && *scanner->at == '\n')
			return;
		if (block && strncmp(scanner->at, "*/", 2) == 0) {
			scanner->at += 2;
			return;
		}
		scan_newline(scanner);
	}
}

static void skip_blank(struct scanner *scanner)
{
	while (*scanner->at) {
		if (strchr(" \t\r\n", *scanner->at))
			scan_newline(scanner);
		else if (is_comment(scanner->at))
			skip_comment(scanner);
		else
			return;
	}
}

/* RETURN VALUE: the text between the quotes, with escapes not decoded. */
static char *scan_string(struct scanner *scanner, const char *path)
{
	char quote = *scanner->at++;
	const char *start = scanner->at;
	char *text;

	if (quote != '"')
		scanner_error(scanner, path, "strings must be in double quotes");
	while (*scanner->at && *scanner->at != quote) {
		if (*scanner->at == '\\' && scanner->at[1])
			scanner->at++;
		scan_newline(scanner);
	}
	text = g_strndup(start, (gsize)(scanner->at - start));
	if (*scanner->at)
		scanner->at++;
	return text;
}

/* json-c has already accepted the text, so a key is followed by its value. */
static void scan_member(struct scanner *scanner, const char *path,
			GHashTable *keys)
{
	int line = scanner->line;
	char *key = scan_string(scanner, path);
	char *inner = jsonc_path_key(path, key);
	int first = GPOINTER_TO_INT(g_hash_table_lookup(keys, key));

	/* With escapes, two spellings of a key would not count as duplicates. */
	if (strchr(key, '\\'))
		scanner_error(scanner, inner, "keys must not contain escapes");
	if (first)
		findings_add(scanner->findings, FINDING_ERROR,
			     scanner->doc->file, line, inner,
			     "duplicate key, first used in line %d", first);
	g_hash_table_insert(keys, key, GINT_TO_POINTER(line));
	skip_blank(scanner);
	if (*scanner->at == ':')
		scanner->at++;
	skip_blank(scanner);
	scan_value(scanner, inner);
	g_hash_table_insert(scanner->doc->lines, inner, GINT_TO_POINTER(line));
}

/* Skips a comma. RETURN VALUE: false at the closing bracket. */
static bool scan_next(struct scanner *scanner, const char *path, char close)
{
	skip_blank(scanner);
	if (*scanner->at == ',') {
		scanner->at++;
		skip_blank(scanner);
		if (*scanner->at != close)
			return true;
		scanner_error(scanner, path, "trailing comma");
	}
	if (*scanner->at == close)
		scanner->at++;
	return false;
}

static void scan_object(struct scanner *scanner, const char *path)
{
	GHashTable *keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	scanner->at++;
	skip_blank(scanner);
	if (*scanner->at == '}') {
		scanner->at++;
	} else {
		do {
			scan_member(scanner, path, keys);
		} while (scan_next(scanner, path, '}'));
	}
	g_hash_table_destroy(keys);
}

static void scan_array(struct scanner *scanner, const char *path)
{
	size_t index = 0;

	scanner->at++;
	skip_blank(scanner);
	if (*scanner->at == ']') {
		scanner->at++;
		return;
	}
	do {
		char *inner = jsonc_path_item(path, index++);
		int line = scanner->line;

		scan_value(scanner, inner);
		g_hash_table_insert(scanner->doc->lines, inner,
				    GINT_TO_POINTER(line));
	} while (scan_next(scanner, path, ']'));
}

static void scan_value(struct scanner *scanner, const char *path)
{
	if (*scanner->at == '{') {
		scan_object(scanner, path);
	} else if (*scanner->at == '[') {
		scan_array(scanner, path);
	} else if (*scanner->at == '"' || *scanner->at == '\'') {
		g_free(scan_string(scanner, path));
	} else {
		scanner->at += strcspn(scanner->at, ",]} \t\r\n/");
	}
}

static int line_at(const char *text, size_t offset)
{
	int line = 1;

	for (size_t i = 0; i < offset && text[i]; i++)
		line += text[i] == '\n';
	return line;
}

json_object *jsonc_feed(json_tokener *tokener, const char *text, size_t size,
			size_t *end)
{
	json_object *root = NULL;
	size_t fed = 0;

	*end = 0;
	while (fed < size) {
		size_t step = MIN(size - fed, FEED_STEP_BYTES);

		root = json_tokener_parse_ex(tokener, text + fed, (int)step);
		*end = fed + json_tokener_get_parse_end(tokener);
		if (json_tokener_get_error(tokener) != json_tokener_continue)
			break;
		fed += step;
		slice_yield();
	}
	return root;
}

static json_object *parse_json(const char *file, const char *text,
			       struct findings *findings)
{
	struct json_tokener *tokener = json_tokener_new();
	json_object *root;
	size_t end;

	/* The terminating NUL is passed too, as it ends a number or a comment. */
	root = jsonc_feed(tokener, text, strlen(text) + 1, &end);
	if (json_tokener_get_error(tokener) != json_tokener_success) {
		findings_add(findings, FINDING_ERROR, file, line_at(text, end),
			     NULL, "%s",
			     json_tokener_error_desc(
				     json_tokener_get_error(tokener)));
		json_object_put(root);
		root = NULL;
	} else if (!json_object_is_type(root, json_type_object)) {
		findings_add(findings, FINDING_ERROR, file, 1, NULL,
			     "expected an object");
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tokener);
	return root;
}

struct jsonc_doc *jsonc_parse_accepted(const char *file, const char *text,
				       struct findings *findings)
{
	json_object *root = parse_json(file, text, findings);
	struct jsonc_doc *doc;

	if (!root)
		return NULL;
	doc = g_new0(struct jsonc_doc, 1);
	doc->file = g_strdup(file);
	doc->root = root;
	doc->is_accepted = true;
	return doc;
}

struct jsonc_doc *jsonc_parse_without_items(const char *file, const char *text,
					    const char *nesting,
					    const char *member,
					    struct findings *findings)
{
	GArray *spans = g_array_new(FALSE, FALSE, sizeof(struct json_span));
	size_t size = strlen(text);
	struct jsonc_doc *doc;
	GString *rest;

	if (!json_spans_find(text, size, nesting, member, spans)) {
		g_array_unref(spans);
		return jsonc_parse_accepted(file, text, findings);
	}
	rest = json_spans_replace(text, size, spans);
	doc = jsonc_parse_accepted(file, rest->str, findings);
	g_string_free(rest, TRUE);
	if (doc)
		doc->omitted = spans;
	else
		g_array_unref(spans);
	return doc;
}

const struct json_span *jsonc_omitted_item(const struct jsonc_doc *doc,
					   json_object *item)
{
	int64_t number;

	if (!doc->omitted || !json_object_is_type(item, json_type_int))
		return NULL;
	/* json_spans_find() refuses texts that hold negative numbers, so a
	 * negative number is always a placeholder. */
	number = json_object_get_int64(item);
	if (number >= 0 || -(number + 1) >= (int64_t)doc->omitted->len)
		return NULL;
	return &g_array_index(doc->omitted, struct json_span, -(number + 1));
}

struct jsonc_doc *jsonc_parse(const char *file, const char *text,
			      struct findings *findings)
{
	struct scanner scanner = {.at = text, .line = 1, .findings = findings};
	unsigned int errors = findings->errors;

	scanner.doc = jsonc_parse_accepted(file, text, findings);
	if (!scanner.doc)
		return NULL;
	scanner.doc->is_accepted = false;
	scanner.doc->lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	skip_blank(&scanner);
	scan_value(&scanner, "");
	skip_blank(&scanner);
	if (*scanner.at)
		scanner_error(&scanner, "", "text after the end of the object");
	if (findings->errors == errors)
		return scanner.doc;
	jsonc_doc_destroy(scanner.doc);
	return NULL;
}

void jsonc_doc_destroy(struct jsonc_doc *doc)
{
	if (!doc)
		return;
	json_object_put(doc->root);
	g_clear_pointer(&doc->lines, g_hash_table_destroy);
	g_clear_pointer(&doc->omitted, g_array_unref);
	g_free(doc->file);
	g_free(doc);
}

int jsonc_line(const struct jsonc_doc *doc, const char *path)
{
	char *part;
	int line = 0;

	if (!doc->lines)
		return 1;
	part = g_strdup(path);
	while (*part && !line) {
		size_t end = strlen(part);

		line = GPOINTER_TO_INT(g_hash_table_lookup(doc->lines, part));
		while (end > 0 && part[end - 1] != '.' && part[end - 1] != '[')
			end--;
		part[end ? end - 1 : 0] = '\0';
	}
	g_free(part);
	return line ? line : 1;
}
