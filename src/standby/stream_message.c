#include "standby/stream_message.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>
#include "base/string_copy.h"
#include "protocol/json_text.h"

/* The fastest of zstd's standard levels: the leader's processor time costs more than a few KB. */
#define COMPRESSION_LEVEL 1
/* Maximum size in bytes of a machine's entry in a decompressed snapshot: at most two texts, each
 * byte of which may take six bytes in JSON, and numbers. */
#define ENTRY_BYTES_MAX (2 * 6 * RP_TEXT_MAX + 64)

const char *rp_stream_fault_name(enum rp_stream_fault fault) {
    static const char *const names[RP_STREAM_FAULTS] = {
        "none", "not JSON", "other version", "bad field", "too large", "bad compression"};
    return names[fault];
}

void rp_stream_message_free(struct rp_stream_message *message) {
    free(message->changes);
    message->changes = NULL;
    message->n_changes = 0;
}

/* ---- requests ---- */

void rp_stream_request_encode(const struct rp_stream_request *request,
                              char target[RP_STREAM_TARGET_MAX]) {
    if (request)
        snprintf(target, RP_STREAM_TARGET_MAX, RP_PATH_STREAM "?term=%llu&index=%llu",
                 (unsigned long long)request->term, (unsigned long long)request->index);
    else
        rp_string_copy(target, RP_STREAM_TARGET_MAX, RP_PATH_STREAM);
}

struct rp_stream_request rp_stream_request_decode(const char *target) {
    const char *query = strchr(target, '?');
    unsigned long long term = 0;
    unsigned long long index = 0;
    /* Numbers out of range are refused by the change log. NOLINTNEXTLINE(cert-err34-c) */
    if (!query || sscanf(query, "?term=%llu&index=%llu", &term, &index) != 2)
        return (struct rp_stream_request){.term = 0, .index = 0};
    return (struct rp_stream_request){.term = term, .index = index};
}

/* ---- encoding ---- */

#define RETURNING "returning" /* on the wire, in place of an address */

/* An array of one to three elements: [machine] for a terminated machine, [machine, "returning"] for
 * one being released, [machine, addr, incarnation] for one that is up. */
static json_t *change_json(const struct rp_change *change) {
    switch (change->kind) {
    case RP_CHANGE_MACHINE_UP:
        return json_pack("[s,s,o]", change->machine, change->addr,
                         rp_json_from_count(change->incarnation));
    case RP_CHANGE_MACHINE_RELEASING:
        return json_pack("[s,s]", change->machine, RETURNING);
    default:
        return json_pack("[s]", change->machine);
    }
}

static json_t *changes_json(const struct rp_change *changes, size_t n) {
    json_t *list = json_array();
    for (size_t i = 0; i < n; i++)
        json_array_append_new(list, change_json(&changes[i]));
    return list;
}

static char *hex_encode(const unsigned char *bytes, size_t n) {
    static const char digits[] = "0123456789abcdef";
    char *text = malloc(2 * n + 1);
    if (!text)
        return NULL;
    for (size_t i = 0; i < n; i++) {
        text[2 * i] = digits[bytes[i] >> 4];
        text[2 * i + 1] = digits[bytes[i] & 15];
    }
    text[2 * n] = '\0';
    return text;
}

/* The list as JSON text, compressed, in hexadecimal digits; NULL if out of memory or if a library
 * fails. */
static json_t *compress_list(json_t *list) {
    char *text = rp_json_write(list);
    char *hex = NULL;
    json_t *compressed = NULL;
    size_t len = text ? strlen(text) : 0;
    size_t size_max = ZSTD_compressBound(len);
    unsigned char *bytes = text ? malloc(size_max) : NULL;
    if (!bytes)
        goto out;
    size_t n = ZSTD_compress(bytes, size_max, text, len, COMPRESSION_LEVEL);
    if (ZSTD_isError(n))
        goto out;
    hex = hex_encode(bytes, n);
    compressed = hex ? json_string(hex) : NULL;
out:
    free(hex);
    free(bytes);
    free(text);
    return compressed;
}

char *rp_stream_encode(const struct rp_stream_message *message) {
    json_t *value =
        json_pack("{s:i,s:o,s:o,s:s,s:f}", "v", RP_STREAM_VERSION, "term",
                  rp_json_from_count(message->term), "index", rp_json_from_count(message->index),
                  "leader", message->leader, "silent_s", message->silent_s);
    json_t *list = changes_json(message->changes, message->n_changes);
    int rc = message->is_snapshot ? json_object_set_new(value, "snapshot", compress_list(list))
                                  : json_object_set(value, "changes", list);
    char *text = rc != 0 ? NULL : rp_json_write(value);
    json_decref(list);
    json_decref(value);
    return text;
}

/* ---- decoding ---- */

static bool refuse(struct rp_stream_error *error, enum rp_stream_fault fault, const char *field) {
    *error = (struct rp_stream_error){.fault = fault, .field = field};
    return false;
}

static bool read_count(const json_t *object, const char *field, uint64_t *out,
                       struct rp_stream_error *error) {
    return rp_json_to_count(json_object_get(object, field), out) ||
           refuse(error, RP_STREAM_BAD_FIELD, field);
}

static bool read_text(const json_t *value, char *out, size_t size) {
    const char *text = json_string_value(value);
    return text && rp_string_try_copy(out, size, text);
}

static bool read_change(const json_t *object, struct rp_change *out,
                        struct rp_stream_error *error) {
    static const enum rp_change_kind kinds[] = {RP_CHANGE_MACHINE_TERMINATED,
                                                RP_CHANGE_MACHINE_RELEASING, RP_CHANGE_MACHINE_UP};
    size_t n = json_array_size(object);
    memset(out, 0, sizeof *out);
    if (n < 1 || n > sizeof kinds / sizeof kinds[0])
        return refuse(error, RP_STREAM_BAD_FIELD, "changes");
    out->kind = kinds[n - 1];
    if (!read_text(json_array_get(object, 0), out->machine, sizeof out->machine) || !*out->machine)
        return refuse(error, RP_STREAM_BAD_FIELD, "machine");
    if (out->kind == RP_CHANGE_MACHINE_TERMINATED)
        return true;
    if (out->kind == RP_CHANGE_MACHINE_RELEASING) {
        const char *marker = json_string_value(json_array_get(object, 1));
        return (marker && strcmp(marker, RETURNING) == 0) ||
               refuse(error, RP_STREAM_BAD_FIELD, "returning");
    }
    if (!read_text(json_array_get(object, 1), out->addr, sizeof out->addr) || !*out->addr)
        return refuse(error, RP_STREAM_BAD_FIELD, "addr");
    return (rp_json_to_count(json_array_get(object, 2), &out->incarnation) &&
            out->incarnation > 0) ||
           refuse(error, RP_STREAM_BAD_FIELD, "session");
}

static bool read_changes(const json_t *list, size_t n_max, struct rp_stream_message *out,
                         struct rp_stream_error *error) {
    if (!json_is_array(list))
        return refuse(error, RP_STREAM_BAD_FIELD, "changes");
    if (json_array_size(list) > n_max)
        return refuse(error, RP_STREAM_TOO_LARGE, "changes");
    out->changes = calloc(json_array_size(list) + 1, sizeof *out->changes);
    if (!out->changes)
        return refuse(error, RP_STREAM_TOO_LARGE, "changes");
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (!read_change(json_array_get(list, i), &out->changes[i], error)) {
            rp_stream_message_free(out);
            return false;
        }
        out->n_changes++;
    }
    return true;
}

#define NOT_A_DIGIT (-1)

static int hex_digit(char digit) {
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : NOT_A_DIGIT;
}

/* The n bytes given by 2 * n hexadecimal digits, which the caller frees; NULL if a character is not
 * a digit or out of memory. */
static unsigned char *hex_decode(const char *hex, size_t n) {
    unsigned char *bytes = malloc(n + 1);
    for (size_t i = 0; bytes && i < n; i++) {
        int high = hex_digit(hex[2 * i]);
        int low = hex_digit(hex[2 * i + 1]);
        if (high == NOT_A_DIGIT || low == NOT_A_DIGIT) {
            free(bytes);
            return NULL;
        }
        bytes[i] = (unsigned char)(high << 4 | low);
    }
    return bytes;
}

/* The length of the text before compression; 0 if it is not stated or exceeds that of the largest
 * snapshot. */
static size_t text_len(const unsigned char *bytes, size_t n) {
    const unsigned long long len_max = (unsigned long long)RP_STREAM_MACHINES_MAX * ENTRY_BYTES_MAX;
    unsigned long long len = ZSTD_getFrameContentSize(bytes, n);
    bool is_known = len != ZSTD_CONTENTSIZE_ERROR && len != ZSTD_CONTENTSIZE_UNKNOWN;
    return is_known && len <= len_max ? (size_t)len : 0;
}

/* The list in a snapshot, or NULL. The bound on its length is checked before memory for it is
 * allocated. */
static json_t *decompress_list(const json_t *compressed) {
    const char *hex = json_string_value(compressed);
    size_t n = hex ? strlen(hex) / 2 : 0;
    unsigned char *bytes = n > 0 ? hex_decode(hex, n) : NULL;
    char *text = NULL;
    json_t *list = NULL;
    if (!bytes)
        return NULL;
    size_t len = text_len(bytes, n);
    text = len > 0 ? malloc(len) : NULL;
    if (!text || ZSTD_decompress(text, len, bytes, n) != len)
        goto out;
    list = rp_json_parse(text, len);
out:
    free(text);
    free(bytes);
    return list;
}

static bool read_snapshot(const json_t *compressed, struct rp_stream_message *out,
                          struct rp_stream_error *error) {
    json_t *list = decompress_list(compressed);
    if (!list)
        return refuse(error, RP_STREAM_BAD_COMPRESSION, "snapshot");
    out->is_snapshot = true;
    bool is_read = read_changes(list, RP_STREAM_MACHINES_MAX, out, error);
    json_decref(list);
    return is_read;
}

static bool read_message(const json_t *value, struct rp_stream_message *out,
                         struct rp_stream_error *error) {
    const json_t *silent = json_object_get(value, "silent_s");
    uint64_t version;
    if (!json_is_object(value))
        return refuse(error, RP_STREAM_NOT_JSON, "");
    if (!read_count(value, "v", &version, error))
        return false;
    if (version != RP_STREAM_VERSION)
        return refuse(error, RP_STREAM_OTHER_VERSION, "v");
    if (!read_count(value, "term", &out->term, error) ||
        !read_count(value, "index", &out->index, error))
        return false;
    if (!read_text(json_object_get(value, "leader"), out->leader, sizeof out->leader))
        return refuse(error, RP_STREAM_BAD_FIELD, "leader");
    out->silent_s = json_number_value(silent);
    if (!json_is_number(silent) || !(out->silent_s >= 0))
        return refuse(error, RP_STREAM_BAD_FIELD, "silent_s");
    const json_t *snapshot = json_object_get(value, "snapshot");
    if (snapshot)
        return read_snapshot(snapshot, out, error);
    if (!read_changes(json_object_get(value, "changes"), RP_STREAM_CHANGES_MAX, out, error))
        return false;
    if (out->n_changes <= out->index)
        return true;
    rp_stream_message_free(out);
    return refuse(error, RP_STREAM_BAD_FIELD, "index");
}

bool rp_stream_decode(const char *text, size_t len, struct rp_stream_message *out,
                      struct rp_stream_error *error) {
    json_t *value = rp_json_parse(text, len);
    memset(out, 0, sizeof *out);
    *error = (struct rp_stream_error){.fault = RP_STREAM_NO_FAULT, .field = ""};
    bool is_read = read_message(value, out, error);
    json_decref(value);
    return is_read;
}
