/** @file
 * Functions shared by the codecs of this directory: parsing of JSON objects, typed errors of
 * fields, tables that map enum names on the wire to enum values, and the body of an error response.
 * Only the codecs contain the protocol's field and enum names. All other modules use the model's
 * structs. */
#ifndef RP_PROTOCOL_CODEC_H
#define RP_PROTOCOL_CODEC_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Reason for which a message was rejected. */
enum rp_codec_reason {
    RP_CODEC_OK,
    RP_CODEC_NOT_JSON, /**< the body is not a JSON object */
    RP_CODEC_NOT_AN_OBJECT,
    RP_CODEC_STRING_NEEDED,
    RP_CODEC_TOO_LONG,
    RP_CODEC_AMOUNT_NEEDED,
    RP_CODEC_BOOLEAN_NEEDED,
    RP_CODEC_UNKNOWN_ENUM_NAME,
    RP_CODEC_TYPES_NEEDED,
    RP_CODEC_N_TASKS_NEEDED,
    RP_CODEC_ZONE_NEEDED,
    RP_CODEC_NOT_A_JOB_ID
};

/** The first error that was found in a message. */
struct rp_codec_error {
    enum rp_codec_reason reason;
    const char *field; /**< static name on the wire; NULL: the error concerns the whole message */
};

/** Bytes of an error's text, with its NUL. */
#define RP_CODEC_ERROR_MAX 128

/** Writes the text of an error for the sender of the message, such as "lifts: a whole number from 1
 * to 100000 is needed". */
void rp_codec_error_text(const struct rp_codec_error *error, char out[RP_CODEC_ERROR_MAX]);

/** Parses a body. Returns an object that the caller must json_decref, or NULL when the body is not
 * a JSON object. */
json_t *rp_codec_parse_object(const char *body, size_t len);

/** Serializes a value without whitespace and releases the value. Returns a text that the caller
 * frees, or NULL when `value` is NULL. */
char *rp_codec_write(json_t *value);

/** Writes the body of a response that rejects a request. The caller frees the text. */
char *rp_codec_write_error(const char *text);

/** Copies a received text. Returns false and leaves `out` unchanged when `text` is NULL or does not
 * fit. */
bool rp_codec_copy_text(char *out, size_t size, const char *text);

/** Copies a string field of an object. Returns false and leaves `out` unchanged when the field is
 * not a string or does not fit. */
bool rp_codec_copy_string(const json_t *object, const char *name, char *out, size_t size);

/** Reads an integer field from 0 to 2^64 - 1. Returns false when the field is absent or has any
 * other value. */
bool rp_codec_read_count(const json_t *object, const char *name, uint64_t *out);

/** The names on the wire of the values of an enum. A name's index is its enum value. */
struct rp_codec_enum_names {
    const char *const *names;
    size_t n;
};

/** Initializes a struct rp_codec_enum_names from an array of names. */
#define RP_CODEC_ENUM_NAMES(array)                                                                 \
    { .names = (array), .n = sizeof(array) / sizeof((array)[0]) }

/** Returned by rp_codec_find_enum_value for a name that is not in the table. */
#define RP_CODEC_NO_ENUM_VALUE (-1)

/** Returns the enum value of the name that a field contains, or RP_CODEC_NO_ENUM_VALUE. */
int rp_codec_find_enum_value(const json_t *object, const char *name,
                             struct rp_codec_enum_names names);

/** A reader of an object's fields that records the first error. The rp_codec_reader functions
 * leave a previous error unchanged. */
struct rp_codec_reader {
    const json_t *object;
    struct rp_codec_error error;
};

/** Records an error, unless one has been recorded before. */
void rp_codec_reader_fail(struct rp_codec_reader *reader, const char *name,
                          enum rp_codec_reason reason);

/** Whether no error has been recorded. */
bool rp_codec_reader_is_ok(const struct rp_codec_reader *reader);

/** Returns the value of an optional field, or NULL when the field is null or absent. */
json_t *rp_codec_reader_optional(const struct rp_codec_reader *reader, const char *name);

/** Reads a required string that is not empty. */
void rp_codec_reader_text(struct rp_codec_reader *reader, const char *name, char *out, size_t size);

/** Reads a required number from 0 to 1e12. */
void rp_codec_reader_amount(struct rp_codec_reader *reader, const char *name, double *out);

/** Reads a required boolean. */
void rp_codec_reader_flag(struct rp_codec_reader *reader, const char *name, bool *out);

/** Reads a required enum name. Returns its value, or 0 on an error. */
int rp_codec_reader_enum_value(struct rp_codec_reader *reader, const char *name,
                               struct rp_codec_enum_names names);

#endif
