#include "store/records.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/string_copy.h"
#include "protocol/job_codec.h"

void rp_key(char out[RP_KEY_MAX], const char *prefix, const char *name) {
    snprintf(out, RP_KEY_MAX, "%s%s", prefix, name);
}

void rp_key_progress(char out[RP_KEY_MAX], const char *job, unsigned chunk) {
    snprintf(out, RP_KEY_MAX, "%s%s/%02u", RP_KEY_PROGRESS, job, chunk);
}

void rp_key_unit(char out[RP_KEY_MAX], const char *job, unsigned unit) {
    snprintf(out, RP_KEY_MAX, "%s%s/u%02u", RP_KEY_PROGRESS, job, unit);
}

void rp_key_part(char out[RP_KEY_MAX], const char *job, unsigned part) {
    snprintf(out, RP_KEY_MAX, "%s%s/%02u", RP_KEY_PART, job, part);
}

/* "<prefix><job>/<rest>": the rest, or NULL. */
static const char *split_key(const char *key, const char *prefix, char job[RP_ID_MAX]) {
    size_t len = strlen(prefix);
    const char *slash = strrchr(key, '/');
    if (strncmp(key, prefix, len) != 0 || !slash || slash < key + len ||
        (size_t)(slash - key) - len >= RP_ID_MAX)
        return NULL;
    memcpy(job, key + len, (size_t)(slash - key) - len);
    job[(size_t)(slash - key) - len] = '\0';
    return slash + 1;
}

static bool read_number(const char *text, unsigned below, unsigned *out) {
    char *end;
    if (!isdigit((unsigned char)*text))
        return false;
    unsigned long n = strtoul(text, &end, 10);
    *out = (unsigned)n;
    return !*end && n < below;
}

bool rp_key_progress_read(const char *key, char job[RP_ID_MAX], unsigned *piece, bool *unit) {
    const char *rest = split_key(key, RP_KEY_PROGRESS, job);
    if (!rest)
        return false;
    *unit = *rest == 'u';
    return *unit ? read_number(rest + 1, RP_UNITS_MAX, piece)
                 : read_number(rest, (RP_TASKS_MAX + RP_CHUNK_TASKS - 1) / RP_CHUNK_TASKS, piece);
}

bool rp_key_part_read(const char *key, char job[RP_ID_MAX], unsigned *part) {
    const char *rest = split_key(key, RP_KEY_PART, job);
    return rest && read_number(rest, RP_PARTS_MAX, part);
}

/* ---- formats ---- */

unsigned rp_record_format(const json_t *value) {
    json_int_t f = json_integer_value(json_object_get(value, "f"));
    return f > 0 ? (unsigned)f : 1;
}

json_t *rp_record_mark(json_t *value) {
    json_object_set_new(value, "f", json_integer(RP_FORMAT));
    return value;
}

size_t rp_record_size(const json_t *value) {
    return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

/* How much of the text, which is plain ASCII, fits into a JSON string of so many bytes. */
static size_t fitting(const char *text, size_t most) {
    size_t n = 0, bytes = 0;
    for (; text[n]; n++) {
        bytes += text[n] == '"' || text[n] == '\\' ? 2 : 1;
        if (bytes > most)
            break;
    }
    return n;
}

size_t rp_record_cut(const json_t *record, size_t most, json_t **pieces, size_t max) {
    static const size_t frame = 64; /* the names and numbers around the text */
    char *text = json_dumps(record, JSON_COMPACT | JSON_ENSURE_ASCII);
    const char *at = text;
    size_t n = 0;
    if (!text || most <= 2 * frame)
        goto out;
    for (; *at && n < max && n < RP_PARTS_MAX; n++) {
        size_t len = fitting(at, most - frame);
        pieces[n] = rp_record_mark(json_pack("{s:s%}", "text", at, len));
        at += len;
    }
    if (*at) {
        while (n > 0)
            json_decref(pieces[--n]);
        goto out;
    }
    json_object_set_new(pieces[0], "parts", json_integer((json_int_t)n - 1));
out:
    free(text);
    return n;
}

size_t rp_record_parts(const json_t *value) {
    json_int_t n = json_integer_value(json_object_get(value, "parts"));
    return n > 0 && n < RP_PARTS_MAX ? (size_t)n : 0;
}

json_t *rp_record_join(json_t *const *pieces, size_t n) {
    char *text = NULL;
    size_t len = 0;
    json_t *value = NULL;
    for (size_t i = 0; i < n; i++) {
        const char *piece = json_string_value(json_object_get(pieces[i], "text"));
        char *longer = piece ? realloc(text, len + strlen(piece) + 1) : NULL;
        if (!longer)
            goto out;
        text = longer;
        strcpy(text + len, piece);
        len += strlen(piece);
    }
    value = text ? json_loads(text, 0, NULL) : NULL;
out:
    free(text);
    return value;
}

json_t *rp_record_version(const char *node) {
    return rp_record_mark(json_pack("{s:s,s:s}", "node", node, "version", RP_VERSION));
}

json_t *rp_record_activation(void) {
    return rp_record_mark(json_object());
}

/* ---- jobs ---- */

json_t *rp_record_open(const struct rp_job_spec *spec, struct timespec accepted) {
    return json_pack("{s:o,s:f}", "spec", rp_job_codec_write_spec(spec), "at", rp_ts_s(accepted));
}

bool rp_record_open_read(json_t *value, struct rp_job_spec *spec, struct timespec *accepted) {
    struct rp_codec_error error;
    if (rp_record_format(value) > RP_FORMAT)
        return false;
    *accepted = rp_ts(json_number_value(json_object_get(value, "at")));
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

static int hex_digit(char c) {
    if (c >= '0' && c <= '9')
        return c - '0';
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

bool rp_record_progress_read(json_t *value, uint8_t *bits, size_t n_bytes) {
    const char *hex = json_string_value(json_object_get(value, "done"));
    size_t len = hex ? strlen(hex) : 1;
    if (rp_record_format(value) > RP_FORMAT || len % 2 || len / 2 > n_bytes)
        return false;
    for (size_t i = 0; i < len / 2; i++) {
        int high = hex_digit(hex[2 * i]), low = hex_digit(hex[2 * i + 1]);
        if (high < 0 || low < 0)
            return false;
        bits[i] |= (uint8_t)(high << 4 | low);
    }
    return true;
}

static void put_lease(json_t *value, const char *name, const struct rp_fenced_lease *lease) {
    if (lease->lease)
        json_object_set_new(
            value, name,
            json_pack("{s:I,s:f}", "lease", (json_int_t)lease->lease, "ttl", lease->ttl_s));
}

/* A lease without a sensible length is none: nobody takes over from its holder. */
static struct rp_fenced_lease read_lease(const json_t *value, const char *name) {
    const json_t *object = json_object_get(value, name);
    json_int_t id = json_integer_value(json_object_get(object, "lease"));
    double ttl_s = json_number_value(json_object_get(object, "ttl"));
    if (id <= 0 || !(ttl_s > 0))
        return (struct rp_fenced_lease){0};
    return (struct rp_fenced_lease){.lease = (uint64_t)id, .ttl_s = ttl_s};
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
    if (!node || strlen(node) >= sizeof out->node)
        return false;
    rp_string_copy(out->node, sizeof out->node, node);
    out->own = read_lease(value, "own");
    out->fenced = read_lease(value, "deposed");
    return true;
}

/* Not marked with a format: it is written whatever the other nodes know, and read by nobody. */
json_t *rp_record_fence(const char *node) {
    return json_pack("{s:s}", "node", node);
}

json_t *rp_record_provision(const struct rp_provision_record *record, const char *const *names,
                            const bool *up, size_t n) {
    json_t *value = json_pack("{s:s,s:s,s:b,s:i,s:f}", "type", record->type, "zone", record->zone,
                              "spot", record->spot, "count", (int)record->count, "asked",
                              rp_ts_s(record->requested_at));
    if (!record->answered)
        return value;
    json_t *list = json_array(), *ups = json_array();
    for (size_t i = 0; i < n; i++) {
        json_array_append_new(list, json_string(names[i]));
        if (up[i])
            json_array_append_new(ups, json_string(names[i]));
    }
    json_object_set_new(value, "machines", list);
    json_object_set_new(value, "up", ups);
    return value;
}

bool rp_record_provision_is_up(json_t *value, const char *name) {
    json_t *ups = json_object_get(value, "up");
    for (size_t i = 0; i < json_array_size(ups); i++) {
        const char *up = json_string_value(json_array_get(ups, i));
        if (up && strcmp(up, name) == 0)
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
    if (!type || strlen(type) >= RP_TEXT_MAX || !zone || strlen(zone) >= RP_TEXT_MAX)
        return false;
    rp_string_copy(out->type, sizeof out->type, type);
    rp_string_copy(out->zone, sizeof out->zone, zone);
    out->spot = json_is_true(json_object_get(value, "spot"));
    out->count = (unsigned)json_integer_value(json_object_get(value, "count"));
    out->requested_at = rp_ts(json_number_value(json_object_get(value, "asked")));
    out->answered = json_is_array(json_object_get(value, "machines"));
    return true;
}

size_t rp_record_provision_n_names(json_t *value) {
    return json_array_size(json_object_get(value, "machines"));
}

const char *rp_record_provision_name(json_t *value, size_t i) {
    return json_string_value(json_array_get(json_object_get(value, "machines"), i));
}
