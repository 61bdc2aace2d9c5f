/*
 * NAME
 *	wire - names in the messages of the platform
 *
 * DESCRIPTION
 *	Only platform/ and the stand-in of the platform include this header. A
 *	comment explains each name that does not explain itself.
 */
#ifndef PLATFORM_WIRE_H
#define PLATFORM_WIRE_H

/* The store. */
#define WIRE_ROWS_TX "/comfreydock/rows-tx"
#define WIRE_ROWS_GET "/comfreydock/rows-get"
#define WIRE_ROWS_FEED "/comfreydock/rows-feed"
#define WIRE_BLOB_PUT "/comfreydock/blob-put/"
#define WIRE_BLOB_GET "/comfreydock/blob-get/"

#define WIRE_TABLE "table"
#define WIRE_PART "part" /* of a table; comfreydock uses only the part "" */
#define WIRE_KEY "key"
#define WIRE_VALUE "value" /* base64 */
#define WIRE_VER "ver" /* version of a row, or the latest of the store */
#define WIRE_ROWS "rows"
#define WIRE_EXPECT "expect" /* conditions of a transaction */
#define WIRE_SET_KEYS "setKeys" /* writes of a transaction */
#define WIRE_REMOVE "remove" /* deletes of a transaction; flag of a row */
#define WIRE_TOMBSTONE "tombstone" /* the row was deleted */
#define WIRE_FROM "from" /* first key of a range */
#define WIRE_TO "target" /* first key after a range */
#define WIRE_LIMIT "limit"
#define WIRE_AFTER "after" /* last known version, in a feed request */
#define WIRE_WAIT_MS "waitMs"
#define WIRE_HAS_MORE "hasMore"
#define WIRE_NOW_MS "nowMs"

/* Header of all answers; increases each time the store is restored. */
#define WIRE_ERA "Store-Era"

#endif
