#include <json-c/json.h>
#include <string.h>

#include "common/address.h"
#include "rows_internal.h"

static void add_string(struct json_object *object, const char *key,
		       const char *value)
{
	json_object_object_add(object, key, json_object_new_string(value));
}

static void add_number(struct json_object *object, const char *key, uint64_t value)
{
	json_object_object_add(object, key, json_object_new_uint64(value));
}

char *rows_encode(const struct member *member, uint64_t incarnation,
		  const struct quarantine *quarantine)
{
	struct json_object *object = json_object_new_object();
	char *text;

	add_string(object, "host", member->host);
	add_number(object, "incarnation", incarnation);
	add_string(object, "address", member->address);
	add_number(object, "peer_port", member->peer_port);
	add_number(object, "admin_port", member->admin_port);
	add_string(object, "domain", member->domain);
	add_string(object, "region", member->region);
	if (quarantine)
		rows_quarantine_add(object, quarantine, member->host);
	text = g_strdup(
		json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	json_object_put(object);
	return text;
}

static bool read_string(struct json_object *object, const char *key, char *to,
			size_t size)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return false;
	return g_strlcpy(to, json_object_get_string(value), size) < size &&
	       to[0] != '\0';
}

static bool read_uint(struct json_object *object, const char *key, uint64_t max,
		      uint64_t *to)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_int) ||
	    json_object_get_int64(value) < 0)
		return false;
	*to = json_object_get_uint64(value);
	return *to <= max;
}

bool rows_decode(const char *value, size_t size, struct member *member)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *object =
		json_tokener_parse_ex(tokener, value, (int)size);
	uint64_t port = 0;
	bool is_valid;

	memset(member, 0, sizeof(*member));
	is_valid =
		json_object_is_type(object, json_type_object) &&
		read_string(object, "host", member->host, sizeof(member->host)) &&
		read_string(object, "address", member->address,
			    sizeof(member->address)) &&
		address_is_ip(member->address) &&
		read_uint(object, "incarnation", UINT64_MAX - 1,
			  &member->incarnation) &&
		read_uint(object, "peer_port", UINT16_MAX, &port) && port > 0;
	member->peer_port = (uint16_t)port;
	json_object_put(object);
	json_tokener_free(tokener);
	return is_valid;
}
