#include <curl/curl.h>
#include <string.h>

#include "rig.h"

#define OK_TIMEOUT_MS 10000

static size_t handle_body(char *data, size_t size, size_t count, void *user)
{
	struct rig_answer *answer = user;

	g_string_append_len(answer->body, data, (gssize)(size * count));
	return size * count;
}

static size_t handle_header(char *data, size_t size, size_t count, void *user)
{
	struct rig_answer *answer = user;
	char *line = g_strndup(data, size * count);
	char *colon = strchr(line, ':');

	if (colon) {
		*colon = '\0';
		g_hash_table_replace(answer->headers, g_ascii_strdown(line, -1),
				     g_strdup(g_strstrip(colon + 1)));
	}
	g_free(line);
	return size * count;
}

static struct curl_slist *header_list(const char *const *headers)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	for (; headers && headers[0]; headers += 2) {
		char *line = g_strdup_printf("%s: %s", headers[0], headers[1]);

		list = curl_slist_append(list, line);
		g_free(line);
	}
	return list;
}

struct rig_answer *rig_http(const char *method, const char *url,
			    const char *const *headers, const char *body,
			    int timeout_ms)
{
	struct rig_answer *answer = g_new0(struct rig_answer, 1);
	struct curl_slist *list = header_list(headers);
	CURL *easy = curl_easy_init();

	answer->body = g_string_new(NULL);
	answer->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	if (body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	}
	if (strcmp(method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, answer);
	answer->arrived = curl_easy_perform(easy) == CURLE_OK;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(list);
	return answer;
}

void rig_answer_free(struct rig_answer *answer)
{
	g_string_free(answer->body, TRUE);
	g_hash_table_destroy(answer->headers);
	g_free(answer);
}

char *rig_http_ok(const char *method, uint16_t port, const char *path,
		  const char *body)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
	struct rig_answer *answer =
		rig_http(method, url, NULL, body, OK_TIMEOUT_MS);
	char *text;

	g_assert_true(answer->arrived);
	g_assert_cmpint(answer->status, ==, 200);
	text = g_strdup(answer->body->str);
	rig_answer_free(answer);
	g_free(url);
	return text;
}

int64_t rig_metric(uint16_t port, const char *name)
{
	char *text = rig_http_ok("GET", port, "/metrics", NULL);
	char *key = g_strdup_printf("\n%s ", name);
	const char *found = strstr(text, key);
	int64_t value =
		found ? g_ascii_strtoll(found + strlen(key), NULL, 10) : -1;

	g_free(key);
	g_free(text);
	return value;
}
