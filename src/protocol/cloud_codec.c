#include "protocol/cloud_codec.h"

#include <string.h>
#include "base/memory.h"

/* Returned by zone_index for a zone that the catalog cannot hold. */
#define NO_ZONE (-1)

static const char *const listed_state_names[] = {
    [RP_LISTED_BOOTING] = "booting",
    [RP_LISTED_RUNNING] = "running",
    [RP_LISTED_FAILED] = "failed",
};
static const struct rp_codec_enum_names listed_states = RP_CODEC_ENUM_NAMES(listed_state_names);

/* Returns the index of a zone in the catalog, to which a new zone is added. Returns NO_ZONE, and
 * counts the zone as left out, when the catalog is full or the name is too long. */
static int zone_index(struct rp_catalog *catalog, const char *zone) {
    for (size_t i = 0; i < catalog->n_zones; i++)
        if (strcmp(catalog->zones[i], zone) == 0)
            return (int)i;
    if (catalog->n_zones == RP_ZONES_MAX ||
        !rp_codec_copy_text(catalog->zones[catalog->n_zones], RP_TEXT_MAX, zone)) {
        catalog->n_left_out++;
        return NO_ZONE;
    }
    return (int)catalog->n_zones++;
}

static bool read_type(const json_t *object, struct rp_catalog *catalog,
                      struct rp_machine_type *out) {
    struct rp_codec_reader reader = {.object = object};
    const json_t *zones = json_object_get(object, "yards");
    rp_codec_reader_text(&reader, "name", out->name, sizeof out->name);
    rp_codec_reader_amount(&reader, "vcpus", &out->capacity.cpus);
    if (json_object_get(object, "cards"))
        rp_codec_reader_amount(&reader, "cards", &out->capacity.gpus);
    rp_codec_reader_amount(&reader, "memory_gb", &out->capacity.memory_gb);
    out->capacity.task_slots = RP_MACHINE_TASK_SLOTS;
    rp_codec_reader_amount(&reader, "cache_gb", &out->cache_gb);
    rp_codec_reader_amount(&reader, "fetch_gb_per_s", &out->fetch_gb_per_s);
    rp_codec_reader_amount(&reader, "price", &out->price);
    rp_codec_reader_amount(&reader, "market_price", &out->spot_price);
    rp_codec_reader_amount(&reader, "boot_s", &out->boot_s);
    for (size_t i = 0; i < json_array_size(zones); i++) {
        const char *zone = json_string_value(json_array_get(zones, i));
        int index = zone ? zone_index(catalog, zone) : NO_ZONE;
        if (index != NO_ZONE)
            out->zones |= 1U << index;
    }
    return rp_codec_reader_is_ok(&reader);
}

bool rp_cloud_codec_read_catalog(const json_t *value, struct rp_catalog *out) {
    const json_t *types = json_object_get(value, "frames");
    bool is_ok = json_is_array(types);
    memset(out, 0, sizeof *out);
    size_t n = json_array_size(types);
    if (n > RP_TYPES_MAX)
        out->n_left_out += n - RP_TYPES_MAX;
    for (size_t i = 0; is_ok && i < n && out->n_types < RP_TYPES_MAX; i++)
        is_ok = read_type(json_array_get(types, i), out, &out->types[out->n_types++]);
    return is_ok && out->n_types > 0;
}

bool rp_cloud_codec_parse_catalog(const char *body, size_t len, struct rp_catalog *out) {
    json_t *value = rp_codec_parse_object(body, len);
    bool is_ok = rp_cloud_codec_read_catalog(value, out);
    json_decref(value);
    return is_ok;
}

char *rp_cloud_codec_write_provision_request(const char *request, const char *type,
                                             const char *zone, bool spot, unsigned count) {
    return rp_codec_write(json_pack("{s:s,s:s,s:s,s:b,s:i}", "hire", request, "frame", type, "yard",
                                    zone, "loaners", spot, "count", (int)count));
}

char (*rp_cloud_codec_parse_provisioned(const char *body, size_t len, size_t *n))[RP_TEXT_MAX] {
    json_t *value = rp_codec_parse_object(body, len);
    const json_t *names = json_object_get(value, "sheaves");
    char(*out)[RP_TEXT_MAX] = NULL;
    *n = 0;
    if (json_is_array(names))
        out = rp_alloc(json_array_size(names) + 1, sizeof *out);
    for (size_t i = 0; out && i < json_array_size(names); i++)
        if (rp_codec_copy_text(out[*n], RP_TEXT_MAX, json_string_value(json_array_get(names, i))))
            (*n)++;
    json_decref(value);
    return out;
}

bool rp_cloud_codec_is_no_capacity(const char *body, size_t len) {
    json_t *value = rp_codec_parse_object(body, len);
    const char *error = json_string_value(json_object_get(value, "error"));
    bool is_no_capacity = error && strcmp(error, "no capacity") == 0;
    json_decref(value);
    return is_no_capacity;
}

char *rp_cloud_codec_write_release(const char *const *machines, size_t n) {
    json_t *list = json_array();
    for (size_t i = 0; i < n; i++)
        json_array_append_new(list, json_string(machines[i]));
    return rp_codec_write(json_pack("{s:o}", "sheaves", list));
}

/* Returns false when the machine's name, type or zone is missing or too long. An unknown state is
 * read as running. */
static bool read_listed_machine(const json_t *object, struct rp_listed_machine *out) {
    int state = rp_codec_find_enum_value(object, "tension", listed_states);
    const char *addr = json_string_value(json_object_get(object, "address"));
    out->state = state == RP_CODEC_NO_ENUM_VALUE ? RP_LISTED_RUNNING : (enum rp_listed_state)state;
    out->spot = json_is_true(json_object_get(object, "loaners"));
    out->age_s = json_number_value(json_object_get(object, "age_s"));
    /* The cloud's list may not contain the machine's address yet. It is then left empty. */
    (void)rp_codec_copy_text(out->addr, RP_TEXT_MAX, addr ? addr : "");
    return rp_codec_copy_string(object, "ref", out->machine, RP_TEXT_MAX) &&
           rp_codec_copy_string(object, "frame", out->type, RP_TEXT_MAX) &&
           rp_codec_copy_string(object, "yard", out->zone, RP_TEXT_MAX);
}

struct rp_listed_machine *rp_cloud_codec_parse_machine_list(const char *body, size_t len, size_t *n,
                                                            bool *has_more) {
    json_t *value = rp_codec_parse_object(body, len);
    const json_t *list = json_object_get(value, "sheaves");
    struct rp_listed_machine *out = NULL;
    *n = 0;
    *has_more = json_is_true(json_object_get(value, "has_next"));
    if (json_is_array(list))
        out = rp_alloc(json_array_size(list) + 1, sizeof *out);
    for (size_t i = 0; out && i < json_array_size(list); i++)
        if (read_listed_machine(json_array_get(list, i), &out[*n]))
            (*n)++;
    json_decref(value);
    return out;
}
