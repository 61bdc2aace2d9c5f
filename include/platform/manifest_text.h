/*
 * NAME
 *	manifest_text - reads parts of a row, writes parts of a namespace file
 *
 * DESCRIPTION
 *	What is absent or of another type reads as empty: NULL, "" or 0.
 */
#ifndef PLATFORM_MANIFEST_TEXT_H
#define PLATFORM_MANIFEST_TEXT_H

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
#include <stdint.h>

json_object *manifest_get_member(json_object *object, const char *name,
				 json_type type);
const char *manifest_get_text(json_object *object, const char *name);

/* Numbers are converted: a fraction is cut, a text is read as a number. */
int64_t manifest_get_number(json_object *object, const char *name);
double manifest_get_decimal(json_object *object, const char *name);

/* list may be NULL. */
size_t manifest_array_length(json_object *list);

/* RETURN VALUE: the class for a priority. A lower priority is more urgent. */
const char *manifest_class_name(int64_t priority);

/* Appends a JSON string. */
void manifest_write_text(GString *out, const char *text);

/* ,"key":"text" */
void manifest_write_text_member(GString *out, const char *key, const char *text);

/* ,"key":12 */
void manifest_write_number_member(GString *out, const char *key, int64_t number);

/* ,"key":12.5 */
void manifest_write_decimal_member(GString *out, const char *key, double number);

#endif
