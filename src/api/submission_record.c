#include "api/submission_record.h"

#include <string.h>

static bool is_in_catalog(const struct rp_catalog *catalog, const char *type) {
    for (size_t i = 0; i < catalog->n_types; i++)
        if (strcmp(catalog->types[i].name, type) == 0)
            return true;
    return false;
}

static bool is_among_first(const struct rp_job_spec *spec, size_t n, const char *type) {
    for (size_t i = 0; i < n; i++)
        if (strcmp(spec->types[i], type) == 0)
            return true;
    return false;
}

/* Removes repeated machine types and those that are not in the catalog: the job means the same
 * without them, and its record is much shorter if its user listed a thousand. */
static void remove_redundant_types(const struct rp_catalog *catalog, struct rp_job_spec *spec) {
    size_t n_kept = 0;
    for (size_t i = 0; i < spec->n_types; i++) {
        const char *type = spec->types[i];
        if (!is_in_catalog(catalog, type) || is_among_first(spec, n_kept, type))
            continue;
        if (n_kept != i)
            memcpy(spec->types[n_kept], type, sizeof spec->types[i]);
        n_kept++;
    }
    spec->n_types = n_kept;
}

static json_t *marked_record(const struct rp_upgrade *upgrade, const struct rp_job_spec *spec,
                             struct timespec accepted_at) {
    return rp_upgrade_mark_record(upgrade, rp_record_open(spec, accepted_at));
}

static size_t n_pieces_max(const struct rp_upgrade *upgrade) {
    size_t txn_ops = upgrade->settings->kv_limits_lowest.txn_ops;
    return txn_ops < RP_PARTS_MAX ? txn_ops : RP_PARTS_MAX;
}

void rp_submission_record(const struct rp_upgrade *upgrade, const struct rp_catalog *catalog,
                          struct rp_job_spec *spec, size_t value_max_bytes,
                          struct rp_submission_pieces *out) {
    struct timespec accepted_at; /* wall-clock time */
    clock_gettime(CLOCK_REALTIME, &accepted_at);
    json_t *record = marked_record(upgrade, spec, accepted_at);
    if (rp_record_size(record) > value_max_bytes) {
        json_decref(record);
        remove_redundant_types(catalog, spec);
        record = marked_record(upgrade, spec, accepted_at);
    }
    *out = (struct rp_submission_pieces){.n = 0};
    if (rp_record_size(record) <= value_max_bytes) {
        out->values[out->n++] = record;
        return;
    }
    if (rp_upgrade_is_active(upgrade))
        out->n = rp_record_split(record, value_max_bytes, out->values, n_pieces_max(upgrade));
    json_decref(record);
}

size_t rp_submission_value_max_bytes(const struct rp_upgrade *upgrade) {
    const struct rp_settings *settings = upgrade->settings;
    bool is_active = rp_upgrade_is_active(upgrade);
    return (
        size_t)((is_active ? settings->kv_limits_lowest : settings->kv_limits_current).value_kb *
                1024);
}
