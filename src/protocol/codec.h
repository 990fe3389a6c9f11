/** @file
 * What the codecs of this directory share: parsing of JSON objects, typed errors of fields, tables
 * that map the words of the wire to enums, and the body of an error response. The codecs alone know
 * the protocol's words; all other modules use the model's structs. */
#ifndef RP_PROTOCOL_CODEC_H
#define RP_PROTOCOL_CODEC_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Why a message was refused. */
enum rp_codec_reason {
    RP_CODEC_OK,
    RP_CODEC_NOT_JSON, /**< the body isn't a JSON object */
    RP_CODEC_NOT_AN_OBJECT,
    RP_CODEC_STRING_NEEDED,
    RP_CODEC_TOO_LONG,
    RP_CODEC_AMOUNT_NEEDED,
    RP_CODEC_BOOLEAN_NEEDED,
    RP_CODEC_UNKNOWN_WORD,
    RP_CODEC_TYPES_NEEDED,
    RP_CODEC_N_TASKS_NEEDED,
    RP_CODEC_ZONE_NEEDED,
    RP_CODEC_NOT_A_JOB_ID
};

/** The first mistake that was found in a message. */
struct rp_codec_error {
    enum rp_codec_reason reason;
    const char *field; /**< its name on the wire, a constant; NULL: the message as a whole */
};

/** Bytes of an error's text, with its NUL. */
#define RP_CODEC_ERROR_MAX 128

/** Writes an error as its sender is told it, such as "lifts: a whole number from 1 to 100000 is
 * needed". */
void rp_codec_error_text(const struct rp_codec_error *error, char out[RP_CODEC_ERROR_MAX]);

/** Parses a body. Returns NULL when it isn't a JSON object; the caller must json_decref what is
 * returned. */
json_t *rp_codec_parse_object(const char *body, size_t len);

/** Writes a value without blanks and releases it. The caller frees the text; NULL when `value` is.
 */
char *rp_codec_write(json_t *value);

/** The body of a response that refuses a request. The caller frees it. */
char *rp_codec_write_error(const char *text);

/** Copies a text of the wire. Returns false, and leaves `out` as it is, when there is none or it
 * doesn't fit. */
bool rp_codec_copy_text(char *out, size_t size, const char *text);

/** Copies a string of an object; false as in rp_codec_copy_text. */
bool rp_codec_copy_string(const json_t *object, const char *name, char *out, size_t size);

/** Reads a whole number from 0 on. Returns false when the field is absent or anything else. */
bool rp_codec_read_count(const json_t *object, const char *name, uint64_t *out);

/** The words of the wire for the values of an enum that counts from 0. */
struct rp_codec_words {
    const char *const *words;
    size_t n;
};

/** Makes the table of an array of words. */
#define RP_CODEC_WORDS(array)                                                                      \
    { .words = (array), .n = sizeof(array) / sizeof((array)[0]) }

/** What rp_codec_find_word returns for a word that is not in the table. */
#define RP_CODEC_NO_WORD (-1)

/** The enum's value for the word in a field, or RP_CODEC_NO_WORD. */
int rp_codec_find_word(const json_t *object, const char *name, struct rp_codec_words words);

/** Reads fields that must be there, and remembers the first mistake. */
struct rp_codec_reader {
    const json_t *object;
    struct rp_codec_error error;
};

/** Remembers a mistake, unless there was one before. */
void rp_codec_reader_fail(struct rp_codec_reader *reader, const char *name,
                          enum rp_codec_reason reason);

/** Whether no mistake has been found. */
bool rp_codec_reader_is_ok(const struct rp_codec_reader *reader);

/** A field that may be null or absent: NULL for both. */
json_t *rp_codec_reader_optional(const struct rp_codec_reader *reader, const char *name);

/** Reads a string that is not empty. */
void rp_codec_reader_text(struct rp_codec_reader *reader, const char *name, char *out, size_t size);

/** Reads a number from 0 to 1e12. */
void rp_codec_reader_amount(struct rp_codec_reader *reader, const char *name, double *out);

/** Reads true or false. */
void rp_codec_reader_flag(struct rp_codec_reader *reader, const char *name, bool *out);

/** Reads a word of a table; 0 when it is none of them. */
int rp_codec_reader_word(struct rp_codec_reader *reader, const char *name,
                         struct rp_codec_words words);

#endif
