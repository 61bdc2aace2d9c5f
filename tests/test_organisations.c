#include <glib.h>
#include <string.h>

#include "comfreydockd/config/check.h"
#include "comfreydockd/config/key_digest.h"
#include "comfreydockd/config/organisation_set.h"
#include "common/api_key.h"

#define A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define UPPER_A \
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
#define RULE(name, rest)                                  \
	"{\"name\":\"" name "\",\"path_prefix\":\"/" name \
	"\",\"deadline_ms\":500,\"to\":[{\"group\":\"g\"}]" rest "}"
/* The services stand in line 2, the organisations in line 3. */
#define FILE_OF(ns, host, organisations)                                      \
	"{\"namespace\":\"" ns "\",\"services\":{\"s\":\n{\"hosts\":[\"" host \
	"\"],\"rules\":[" RULE("r", "") "," RULE(                             \
		"p", ",\"public\":true") "]}}" organisations "}"
#define ORGANISATIONS(text) ",\n\"organisations\":{" text "}"
#define FILE_WITH(text) FILE_OF("n", "a.example", ORGANISATIONS(text))
#define TWO                                                               \
	"\"acme\":{\"key_digests\":[\"" UPPER_A "\"],\"class\":\"bulk\"," \
	"\"rate_per_s\":113,\"burst\":2.5},\"b.c_d-1\":{\"key_digests\":[]}"

static struct config_namespace *load(const char *text, char **found)
{
	struct config_namespace *ns;
	struct findings findings;

	findings_init(&findings);
	ns = config_namespace_load("f", text, &findings);
	*found = findings_to_text(&findings);
	findings_finish(&findings);
	return ns;
}

static struct config_namespace *load_accepted(const char *text)
{
	struct config_namespace *ns;
	struct findings findings;

	findings_init(&findings);
	ns = config_namespace_load_accepted(text, "", &findings);
	findings_finish(&findings);
	return ns;
}

#define NOBODY ""

/* holder: of the key A in a version that was accepted elsewhere; NULL: such a
 * version is refused. An invalid organisation costs its own callers alone. */
static void assert_accepted(const char *text, const char *holder, bool is_valid)
{
	struct config_namespace *ns = load_accepted(text);
	const struct config_organisation *organisation;
	const struct config_service *service;

	if (!holder) {
		g_assert_null(ns);
		return;
	}
	g_assert_cmpint(ns->invalid_entries == 0, ==, is_valid);
	service = ns->services->pdata[0];
	g_assert_true(service->needs_key);
	g_assert_cmpuint(service->rules->len, ==, 2);
	organisation = g_hash_table_lookup(ns->organisations->by_digest, A);
	g_assert_cmpstr(organisation ? organisation->name : NOBODY, ==, holder);
	if (organisation)
		g_assert_cmpfloat(organisation->burst, <=, 1e9);
	config_namespace_unref(ns);
}

static void assert_found(const char *text, const char *expected,
			 const char *holder)
{
	char *found;

	g_assert_null(load(text, &found));
	/* Names that are not empty are restricted only in files to be applied. */
	assert_accepted(text, holder,
			strstr(expected, "the name must") &&
				!strstr(text, "\"\":"));
	if (!strstr(found, expected))
		g_error("expected \"%s\" in: %s", expected, found);
	g_free(found);
}

/* Guards against a file that is put in force although one of its organisations
 * can't be used as its author intended, and against a finding without its
 * place. */
static void test_findings_have_their_place(void)
{
	char *long_name = g_strnfill(65, 'n');
	char *text = g_strdup_printf(
		FILE_OF("n", "a.example",
			ORGANISATIONS("\"%s\":{\"key_digests\":[]}")),
		long_name);

#define ACME(rest) FILE_WITH("\"acme\":{\"key_digests\":[\"" A "\"]," rest "}")
	assert_found(ACME("\"rate_per_s\":-1"),
		     "f:3: error: organisations.acme.rate_per_s: must be "
		     "between 0 and 1e+09",
		     NOBODY);
	assert_found(ACME("\"burst\":1000000001"),
		     "organisations.acme.burst: must be between 0 and 1e+09",
		     "acme");
	assert_found(ACME("\"burst\":\"many\""),
		     "organisations.acme.burst: expected a number", NOBODY);
	assert_found(ACME("\"rate_per_s\":NaN"),
		     "organisations.acme.rate_per_s: must be between", NOBODY);
	assert_found(ACME("\"class\":\"urgent\""),
		     "organisations.acme.class: must be one of: interactive",
		     "acme");
	assert_found(ACME("\"rate\":1"), "organisations.acme.rate: unknown key",
		     "acme");
	assert_found(FILE_WITH("\"acme\":{}"),
		     "organisations.acme.key_digests: is missing", NOBODY);
	assert_found(FILE_WITH("\"acme\":{\"key_digests\":[\"" A "\",\"12\"]}"),
		     "f:3: error: organisations.acme.key_digests: item 1: 64 "
		     "hexadecimal digits are expected",
		     "acme");
	assert_found(
		FILE_WITH("\"acme\":{\"key_digests\":[\"" A "\\u0000x\"]}"),
		"key_digests: item 0: 64 hexadecimal", NOBODY);
	assert_found(FILE_WITH("\"acme\":{\"key_digests\":[\"" A
			       "\"]},\"b\":{\"key_digests\":[\"" UPPER_A
			       "\"]}"),
		     "organisations.b.key_digests: item 0: organisation "
		     "\"acme\" holds this key already",
		     "acme");
	assert_found(FILE_WITH("\"a b\":{\"key_digests\":[]}"),
		     "organisations.a b: the name must be 1 to 64 letters",
		     NOBODY);
	assert_found(FILE_WITH("\"\":{\"key_digests\":[]}"),
		     "the name must be 1 to 64 letters", NOBODY);
	assert_found(text, "the name must be 1 to 64 letters", NOBODY);
	assert_found(FILE_WITH("\"acme\":7"),
		     "organisations.acme: expected an object", NOBODY);
	assert_found(FILE_OF("n", "a.example", ",\"organisations\":null"),
		     "organisations: expected an object", NULL);
	assert_found(FILE_OF("n", "a.example", ",\"organisations\":[]"),
		     "organisations: expected an object", NULL);
	g_free(text);
	g_free(long_name);
}

/* Guards against an example that operators copy and that is refused. */
static void test_sample_passes(void)
{
	char *path = g_build_filename(g_getenv("COMFREYDOCK_SOURCE"), "docs",
				      "operators", "organisations.sample.json",
				      NULL);
	struct config_namespace *ns;
	char *found;
	char *text;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	ns = load(text, &found);
	g_assert_cmpstr(found, ==, "");
	g_assert_cmpuint(ns->organisations->all->len, ==, 2);
	config_namespace_unref(ns);
	g_free(found);
	g_free(text);
	g_free(path);
}

/* Guards against the second of two organisations of one name replacing the
 * first without a message. */
static void test_duplicate_name_is_found(void)
{
	char *found;

	g_assert_null(load(FILE_WITH("\"a\":{\"key_digests\":[]},\n"
				     "\"a\":{\"key_digests\":[]}"),
			   &found));
	g_assert_nonnull(
		strstr(found, "f:4: error: organisations.a: duplicate"));
	g_free(found);
}

/* Guards against a finding that shows a key which was put in the place of its
 * digest. */
static void test_finding_shows_no_key(void)
{
	char *found;

	g_assert_null(load(FILE_WITH("\"a\":{\"key_digests\":[\"secret-1\"]}"),
			   &found));
	g_assert_null(strstr(found, "secret-1"));
	g_free(found);
}

static struct config_snapshot *snapshot_of(struct config_namespace *ns)
{
	struct config_snapshot *empty = config_snapshot_create();
	struct config_snapshot *snapshot;

	g_assert_nonnull(ns);
	snapshot = config_snapshot_with(empty, ns);
	config_snapshot_unref(empty);
	config_namespace_unref(ns);
	return snapshot;
}

static void assert_two(const struct config_snapshot *snapshot)
{
	const struct config_organisation *acme =
		config_snapshot_organisation(snapshot, "acme");
	const struct config_organisation *other =
		config_snapshot_organisation(snapshot, "b.c_d-1");

	g_assert_true(acme->has_class);
	g_assert_cmpint(acme->class, ==, CONFIG_CLASS_BULK);
	g_assert_cmpfloat(acme->rate_per_s, ==, 113);
	g_assert_cmpfloat(acme->burst, ==, 2.5);
	g_assert_cmpstr(acme->digests->pdata[0], ==, A);
	g_assert_false(other->has_class);
	g_assert_cmpfloat(other->rate_per_s, ==, 0);
	g_assert_null(config_snapshot_organisation(snapshot, "Acme"));
	g_assert_true(config_snapshot_organisation_by_digest(snapshot, A) == acme);
	g_assert_null(config_snapshot_organisation_by_digest(snapshot, B));
}

/* Guards against an organisation that is read differently by the daemon that
 * checks a file and by those that adopt it. */
static void test_organisations_are_found(void)
{
	struct config_snapshot *snapshot;
	char *found;

	snapshot = snapshot_of(load(FILE_WITH(TWO), &found));
	g_assert_cmpstr(found, ==, "");
	assert_two(snapshot);
	config_snapshot_unref(snapshot);
	snapshot = snapshot_of(load_accepted(FILE_WITH(TWO)));
	assert_two(snapshot);
	config_snapshot_unref(snapshot);
	g_free(found);
}

static void assert_needs_key(const char *text, bool expected)
{
	struct config_snapshot *snapshot = snapshot_of(load_accepted(text));
	const struct config_service *service;
	const struct config_rule *rule;

	g_assert_true(config_snapshot_match(snapshot, "a.example", "GET", "/r",
					    &service, &rule));
	g_assert_cmpint(service->needs_key, ==, expected);
	g_assert_false(rule->is_public);
	config_snapshot_match(snapshot, "a.example", "GET", "/p", &service,
			      &rule);
	g_assert_true(rule->is_public);
	config_snapshot_unref(snapshot);
}

/* Guards against a namespace that is open to everybody as its last organisation
 * was removed, and against one that asks for keys that nobody has. */
static void test_empty_organisations_need_a_key(void)
{
	assert_needs_key(FILE_WITH(""), true);
	assert_needs_key(FILE_WITH(TWO), true);
	assert_needs_key(FILE_OF("n", "a.example", ""), false);
}

/* Guards against a pause of many milliseconds for every request when only a
 * route changes and a daemon parses 10,000 organisations again, and against an
 * old set in force after a change of one digit. */
static void test_unchanged_organisations_are_shared(void)
{
	struct config_namespace *first = load_accepted(FILE_WITH(TWO));
	struct config_namespace *same =
		load_accepted(FILE_OF("n", "b.example", ORGANISATIONS(TWO)));
	struct config_namespace *changed = load_accepted(
		FILE_WITH("\"acme\":{\"key_digests\":[\"" B "\"]}"));

	g_assert_true(first->organisations == same->organisations);
	g_assert_true(first->organisations != changed->organisations);
	config_namespace_unref(first);
	g_assert_cmpuint(same->organisations->all->len, ==, 2);
	config_namespace_unref(same);
	config_namespace_unref(changed);
	first = load_accepted(FILE_WITH(TWO));
	g_assert_cmpuint(first->organisations->all->len, ==, 2);
	config_namespace_unref(first);
}

/* Guards against a key or a name with two holders: the quota and the header
 * would be those of the namespace that sorts first. */
static void test_other_namespace_is_compared(void)
{
	struct config_snapshot *snapshot =
		snapshot_of(load_accepted(FILE_WITH(TWO)));
	struct config_namespace *ns = load_accepted(FILE_OF(
		"other", "b.example",
		ORGANISATIONS("\"x\":{\"key_digests\":[\"" B "\",\"" A
			      "\"]},\"b.c_d-1\":{\"key_digests\":[]}")));
	struct findings findings;
	char *found;

	findings_init(&findings);
	config_check_against(snapshot, ns, "f", &findings);
	found = findings_to_text(&findings);
	g_assert_cmpuint(findings.errors, ==, 2);
	g_assert_nonnull(strstr(found, "organisations.x: key_digests: "
				       "organisation \"acme\" of namespace "
				       "\"n\" holds key 1 already"));
	g_assert_nonnull(strstr(found, "organisations.b.c_d-1: namespace \"n\" "
				       "has an organisation of this name"));
	findings_finish(&findings);
	config_namespace_unref(ns);
	config_snapshot_unref(snapshot);
	g_free(found);
}

/* Guards against a digest that changes with a release or with the host: all keys
 * would be unknown. The values were computed with Python's hmac. */
static void test_digest_is_fixed(void)
{
	struct settings settings = {.peer_key = (uint8_t *)"peer-key-1",
				    .peer_key_size = 10};
	char hex[KEY_DIGEST_SIZE];

	key_digest_of(&settings, "key-of-acme", hex);
	g_assert_cmpstr(
		hex, ==
		, "0728c40e4849e1489f7827e5b0f713f502ba78a24e1260067fdc988d389637f7");
	settings.peer_key_size = 9;
	key_digest_of(&settings, "key-of-acme", hex);
	g_assert_cmpstr(
		hex, ==
		, "7f58af88f73406cf5a312c5c2fde828a30e01e617af23ebf296da21d005b31ab");
	g_assert_false(key_digest_parse(A "a", hex));
	g_assert_false(key_digest_parse("", hex));
	g_assert_true(key_digest_parse(UPPER_A, hex));
	g_assert_cmpstr(hex, ==, A);
}

/* Guards against a key that no request could carry, or only a request that
 * other programs read differently. */
static void test_form_of_keys(void)
{
	char *longest = g_strnfill(API_KEY_MAX_BYTES + 1, 'k');

	g_assert_null(api_key_find_fault("k\xc3\xa9y", 4));
	g_assert_null(api_key_find_fault(longest, API_KEY_MAX_BYTES));
	g_assert_nonnull(api_key_find_fault(longest, API_KEY_MAX_BYTES + 1));
	g_assert_nonnull(api_key_find_fault("", 0));
	g_assert_nonnull(api_key_find_fault("a b", 3));
	g_assert_nonnull(api_key_find_fault("a\tb", 3));
	g_assert_nonnull(api_key_find_fault("a\x7f", 2));
	g_assert_nonnull(api_key_find_fault("a\0b", 3));
	g_free(longest);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/organisations/places", test_findings_have_their_place);
	g_test_add_func("/organisations/sample", test_sample_passes);
	g_test_add_func("/organisations/duplicate", test_duplicate_name_is_found);
	g_test_add_func("/organisations/no-key", test_finding_shows_no_key);
	g_test_add_func("/organisations/found", test_organisations_are_found);
	g_test_add_func("/organisations/empty",
			test_empty_organisations_need_a_key);
	g_test_add_func("/organisations/shared",
			test_unchanged_organisations_are_shared);
	g_test_add_func("/organisations/other-namespace",
			test_other_namespace_is_compared);
	g_test_add_func("/organisations/digest", test_digest_is_fixed);
	g_test_add_func("/organisations/keys", test_form_of_keys);
	return g_test_run();
}
