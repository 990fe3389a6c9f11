#include "store/records.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/memory.h"
#include "base/string_copy.h"
#include "protocol/job_codec.h"
#include "protocol/json_text.h"

/* Bytes of a piece besides its text: the names and numbers around it, rounded up. */
#define PIECE_FRAME_BYTES 64

/* ---- formats ---- */

unsigned rp_record_format(const json_t *value) {
    json_int_t format = json_integer_value(json_object_get(value, "f"));
    return format > 0 ? (unsigned)format : 1;
}

json_t *rp_record_mark(json_t *value) {
    json_object_set_new(value, "f", json_integer(RP_FORMAT));
    return value;
}

size_t rp_record_size(const json_t *value) {
    return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

/* The length of the longest prefix of `text`, which is plain ASCII, that takes at most `max_bytes`
 * within a JSON string. */
static size_t fitting_length(const char *text, size_t max_bytes) {
    size_t len = 0;
    size_t n_bytes = 0;
    for (; text[len]; len++) {
        bool is_escaped = text[len] == '"' || text[len] == '\\';
        n_bytes += is_escaped ? 2 : 1;
        if (n_bytes > max_bytes)
            break;
    }
    return len;
}

size_t rp_record_split(const json_t *record, size_t max_bytes, json_t **pieces, size_t max_pieces) {
    char *text = json_dumps(record, JSON_COMPACT | JSON_ENSURE_ASCII);
    const char *rest = text;
    size_t n = 0;
    if (!text || max_bytes <= 2 * PIECE_FRAME_BYTES)
        goto out;
    for (; *rest && n < max_pieces && n < RP_PARTS_MAX; n++) {
        size_t len = fitting_length(rest, max_bytes - PIECE_FRAME_BYTES);
        pieces[n] = rp_record_mark(json_pack("{s:s%}", "text", rest, len));
        rest += len;
    }
    if (*rest) { /* more pieces are needed than allowed */
        while (n > 0)
            json_decref(pieces[--n]);
        goto out;
    }
    json_object_set_new(pieces[0], "parts", json_integer((json_int_t)n - 1));
out:
    free(text);
    return n;
}

size_t rp_record_n_parts(const json_t *value) {
    json_int_t n = json_integer_value(json_object_get(value, "parts"));
    return n > 0 && n < RP_PARTS_MAX ? (size_t)n : 0;
}

json_t *rp_record_join(json_t *const *pieces, size_t n) {
    char *text = NULL;
    size_t len = 0;
    json_t *value = NULL;
    for (size_t i = 0; i < n; i++) {
        const char *piece = json_string_value(json_object_get(pieces[i], "text"));
        if (!piece)
            goto out;
        size_t piece_len = strlen(piece);
        text = rp_realloc(text, len + piece_len + 1, 1);
        memcpy(text + len, piece, piece_len + 1);
        len += piece_len;
    }
    value = text ? json_loads(text, 0, NULL) : NULL;
out:
    free(text);
    return value;
}

/* ---- the format's activation ---- */

json_t *rp_record_announcement(const char *node) {
    return rp_record_mark(json_pack("{s:s,s:s}", "node", node, "version", RP_VERSION));
}

json_t *rp_record_activation(void) {
    return rp_record_mark(json_object());
}

/* ---- jobs ---- */

json_t *rp_record_open(const struct rp_job_spec *spec, struct timespec accepted_at) {
    return json_pack("{s:o,s:f}", "spec", rp_job_codec_write_spec(spec), "at",
                     rp_ts_s(accepted_at));
}

bool rp_record_open_read(json_t *value, struct rp_job_spec *spec, struct timespec *accepted_at) {
    struct rp_codec_error error; /* not reported: the record was checked before it was written */
    if (rp_record_format(value) > RP_FORMAT)
        return false;
    *accepted_at = rp_ts(json_number_value(json_object_get(value, "at")));
    return rp_job_codec_read_spec(json_object_get(value, "spec"), spec, &error);
}

json_t *rp_record_terminal(enum rp_job_phase phase) {
    return json_pack("{s:s}", "end", phase == RP_JOB_DONE ? "done" : "cancelled");
}

bool rp_record_terminal_read(json_t *value, enum rp_job_phase *phase) {
    const char *end = json_string_value(json_object_get(value, "end"));
    *phase = end && strcmp(end, "done") == 0 ? RP_JOB_DONE : RP_JOB_CANCELLED;
    return end && (*phase == RP_JOB_DONE || strcmp(end, "cancelled") == 0);
}

json_t *rp_record_progress(const uint8_t *bits, size_t n_bytes) {
    static const char digits[] = "0123456789abcdef";
    char hex[RP_CHUNK_BYTES * 2 + 1];
    size_t n = 0;
    while (n_bytes > 0 && bits[n_bytes - 1] == 0)
        n_bytes--;
    for (size_t i = 0; i < n_bytes && i < RP_CHUNK_BYTES; i++) {
        hex[n++] = digits[bits[i] >> 4];
        hex[n++] = digits[bits[i] & 15];
    }
    hex[n] = '\0';
    return json_pack("{s:s}", "done", hex);
}

/* The value of a lower-case hexadecimal digit, or -1. */
static int hex_digit_value(char digit) {
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

bool rp_record_progress_read(json_t *value, uint8_t *bits, size_t n_bytes) {
    const char *hex = json_string_value(json_object_get(value, "done"));
    size_t len = hex ? strlen(hex) : 1;
    if (rp_record_format(value) > RP_FORMAT || len % 2 || len / 2 > n_bytes)
        return false;
    for (size_t i = 0; i < len / 2; i++) {
        int high = hex_digit_value(hex[2 * i]);
        int low = hex_digit_value(hex[2 * i + 1]);
        if (high < 0 || low < 0)
            return false;
        bits[i] |= (uint8_t)(high << 4 | low);
    }
    return true;
}

/* ---- leadership ---- */

static void put_lease(json_t *value, const char *name, const struct rp_fenced_lease *lease) {
    if (lease->lease)
        json_object_set_new(
            value, name,
            json_pack("{s:o,s:f}", "lease", rp_json_from_count(lease->lease), "ttl", lease->ttl_s));
}

/* Reads a lease. One without a positive time to live counts as none: no node fails over from its
 * holder. */
static struct rp_fenced_lease read_lease(const json_t *value, const char *name) {
    const json_t *object = json_object_get(value, name);
    uint64_t id = 0;
    (void)rp_json_to_count(json_object_get(object, "lease"), &id);
    double ttl_s = json_number_value(json_object_get(object, "ttl"));
    if (id == 0 || !(ttl_s > 0))
        return (struct rp_fenced_lease){0};
    return (struct rp_fenced_lease){.lease = id, .ttl_s = ttl_s};
}

json_t *rp_record_leader(const struct rp_leader_record *record) {
    json_t *value = json_pack("{s:s}", "node", record->node);
    put_lease(value, "own", &record->own);
    put_lease(value, "deposed", &record->fenced);
    return value;
}

bool rp_record_leader_read(const json_t *value, struct rp_leader_record *out) {
    const char *node = json_string_value(json_object_get(value, "node"));
    memset(out, 0, sizeof *out);
    if (!node || !rp_string_try_copy(out->node, sizeof out->node, node))
        return false;
    out->own = read_lease(value, "own");
    out->fenced = read_lease(value, "deposed");
    return true;
}

/* Not marked with a format: it is written whichever format the other nodes support, and no node
 * reads its value. */
json_t *rp_record_fence(const char *node) {
    return json_pack("{s:s}", "node", node);
}

/* ---- provision requests ---- */

json_t *rp_record_provision(const struct rp_provision_record *record, const char *const *names,
                            const bool *is_up, size_t n) {
    json_t *value = json_pack("{s:s,s:s,s:b,s:i,s:f}", "type", record->type, "zone", record->zone,
                              "spot", record->spot, "count", (int)record->count, "asked",
                              rp_ts_s(record->requested_at));
    if (!record->answered)
        return value;
    json_t *machines = json_array();
    json_t *up_machines = json_array();
    for (size_t i = 0; i < n; i++) {
        json_array_append_new(machines, json_string(names[i]));
        if (is_up[i])
            json_array_append_new(up_machines, json_string(names[i]));
    }
    json_object_set_new(value, "machines", machines);
    json_object_set_new(value, "up", up_machines);
    return value;
}

bool rp_record_provision_is_up(json_t *value, const char *name) {
    json_t *up_machines = json_object_get(value, "up");
    for (size_t i = 0; i < json_array_size(up_machines); i++) {
        const char *up_name = json_string_value(json_array_get(up_machines, i));
        if (up_name && strcmp(up_name, name) == 0)
            return true;
    }
    return false;
}

bool rp_record_provision_read(json_t *value, struct rp_provision_record *out) {
    const char *type = json_string_value(json_object_get(value, "type"));
    const char *zone = json_string_value(json_object_get(value, "zone"));
    memset(out, 0, sizeof *out);
    if (rp_record_format(value) > RP_FORMAT)
        return false;
    if (!type || !zone)
        return false;
    if (!rp_string_try_copy(out->type, sizeof out->type, type) ||
        !rp_string_try_copy(out->zone, sizeof out->zone, zone))
        return false;
    out->spot = json_is_true(json_object_get(value, "spot"));
    out->count = (unsigned)json_integer_value(json_object_get(value, "count"));
    out->requested_at = rp_ts(json_number_value(json_object_get(value, "asked")));
    out->answered = json_is_array(json_object_get(value, "machines"));
    return true;
}

size_t rp_record_provision_n_names(json_t *value) {
    return json_array_size(json_object_get(value, "machines"));
}

const char *rp_record_provision_name(json_t *value, size_t index) {
    return json_string_value(json_array_get(json_object_get(value, "machines"), index));
}

/* ---- withheld answers ---- */

json_t *rp_record_withheld(void) {
    return json_pack("{s:{}}", "until");
}

/* The names of the machines with the same time are one text, separated by spaces. */
void rp_record_withheld_add(json_t *record, const char *machine, double lease_end_s) {
    json_t *groups = json_object_get(record, "until");
    char time[32];
    double rounded_s = ceil(lease_end_s / RP_WITHHELD_ROUNDING_S) * RP_WITHHELD_ROUNDING_S;
    snprintf(time, sizeof time, "%.0f", rounded_s);
    const char *names = json_string_value(json_object_get(groups, time));
    json_object_set_new(groups, time,
                        names ? json_sprintf("%s %s", names, machine) : json_string(machine));
}

bool rp_record_withheld_read(const json_t *value,
                             void (*fn)(void *arg, const char *machine, double lease_end_s),
                             void *arg) {
    json_t *groups = json_object_get(value, "until");
    const char *time;
    json_t *names;
    if (rp_record_format(value) > RP_FORMAT || !json_is_object(groups))
        return false;
    json_object_foreach(groups, time, names) {
        char name[RP_TEXT_MAX];
        const char *next = json_string_value(names);
        if (!next)
            return false;
        for (size_t len = strcspn(next, " "); len > 0; len = strcspn(next, " ")) {
            snprintf(name, sizeof name, "%.*s", (int)len, next);
            fn(arg, name, strtod(time, NULL));
            next += len + (next[len] == ' ');
        }
    }
    return true;
}
