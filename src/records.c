#include "records.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wire.h"

void rp_key(char out[RP_KEY_MAX], const char *prefix, const char *name) {
    snprintf(out, RP_KEY_MAX, "%s%s", prefix, name);
}

void rp_key_progress(char out[RP_KEY_MAX], const char *job, unsigned chunk) {
    snprintf(out, RP_KEY_MAX, "%s%s/%02u", RP_KEY_PROGRESS, job, chunk);
}

bool rp_key_progress_read(const char *key, char job[RP_ID_MAX], unsigned *chunk) {
    size_t prefix = strlen(RP_KEY_PROGRESS);
    const char *slash = strrchr(key, '/');
    if (strncmp(key, RP_KEY_PROGRESS, prefix) != 0 || !slash || slash < key + prefix ||
        (size_t)(slash - key) - prefix >= RP_ID_MAX || !isdigit((unsigned char)slash[1]))
        return false;
    memcpy(job, key + prefix, (size_t)(slash - key) - prefix);
    job[(size_t)(slash - key) - prefix] = '\0';
    *chunk = (unsigned)strtoul(slash + 1, NULL, 10);
    return *chunk < (RP_TASKS_MAX + RP_CHUNK_TASKS - 1) / RP_CHUNK_TASKS;
}

json_t *rp_record_open(const struct rp_job_spec *spec, struct timespec accepted) {
    return json_pack("{s:o,s:f}", "spec", rp_wire_spec_json(spec), "at", rp_ts_s(accepted));
}

bool rp_record_open_read(json_t *v, struct rp_job_spec *spec, struct timespec *accepted) {
    char why[128];
    *accepted = rp_ts(json_number_value(json_object_get(v, "at")));
    return rp_wire_spec_read(json_object_get(v, "spec"), spec, why);
}

json_t *rp_record_over(enum rp_job_word word) {
    return json_pack("{s:s}", "end", word == RP_JOB_DONE ? "done" : "cancelled");
}

bool rp_record_over_read(json_t *v, enum rp_job_word *word) {
    const char *end = json_string_value(json_object_get(v, "end"));
    if (!end)
        return false;
    *word = strcmp(end, "done") == 0 ? RP_JOB_DONE : RP_JOB_CANCELLED;
    return true;
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

bool rp_record_progress_read(json_t *v, uint8_t *bits, size_t n_bytes) {
    const char *hex = json_string_value(json_object_get(v, "done"));
    size_t len = hex ? strlen(hex) : 1;
    if (len % 2 || len / 2 > n_bytes)
        return false;
    for (size_t i = 0; i < len / 2; i++) {
        int high = hex_digit(hex[2 * i]), low = hex_digit(hex[2 * i + 1]);
        if (high < 0 || low < 0)
            return false;
        bits[i] |= (uint8_t)(high << 4 | low);
    }
    return true;
}

json_t *rp_record_leader(const char *node) {
    return json_pack("{s:s}", "node", node);
}

const char *rp_record_leader_read(json_t *v) {
    return json_string_value(json_object_get(v, "node"));
}

json_t *rp_record_rental(const struct rp_rental_record *r, const char *const *names, const bool *up,
                         size_t n) {
    json_t *v = json_pack("{s:s,s:s,s:b,s:i,s:f}", "type", r->type, "zone", r->zone, "spot",
                          r->spot, "count", (int)r->count, "asked", rp_ts_s(r->asked));
    if (!r->answered)
        return v;
    json_t *list = json_array(), *ups = json_array();
    for (size_t i = 0; i < n; i++) {
        json_array_append_new(list, json_string(names[i]));
        if (up[i])
            json_array_append_new(ups, json_string(names[i]));
    }
    json_object_set_new(v, "machines", list);
    json_object_set_new(v, "up", ups);
    return v;
}

bool rp_record_rental_up(json_t *v, const char *name) {
    json_t *ups = json_object_get(v, "up");
    for (size_t i = 0; i < json_array_size(ups); i++) {
        const char *up = json_string_value(json_array_get(ups, i));
        if (up && strcmp(up, name) == 0)
            return true;
    }
    return false;
}

bool rp_record_rental_read(json_t *v, struct rp_rental_record *out) {
    const char *type = json_string_value(json_object_get(v, "type"));
    const char *zone = json_string_value(json_object_get(v, "zone"));
    memset(out, 0, sizeof *out);
    if (!type || strlen(type) >= RP_TEXT_MAX || !zone || strlen(zone) >= RP_TEXT_MAX)
        return false;
    strcpy(out->type, type);
    strcpy(out->zone, zone);
    out->spot = json_is_true(json_object_get(v, "spot"));
    out->count = (unsigned)json_integer_value(json_object_get(v, "count"));
    out->asked = rp_ts(json_number_value(json_object_get(v, "asked")));
    out->answered = json_is_array(json_object_get(v, "machines"));
    return true;
}

size_t rp_record_rental_names(json_t *v) {
    return json_array_size(json_object_get(v, "machines"));
}

const char *rp_record_rental_name(json_t *v, size_t i) {
    return json_string_value(json_array_get(json_object_get(v, "machines"), i));
}
