#include "protocol/kv_codec.h"

#include <string.h>
#include "protocol/codec.h"
#include "protocol/json_text.h"

#define MS_PER_S 1000

static uint64_t read_number(const json_t *object, const char *name) {
    uint64_t number = 0;
    (void)rp_codec_read_count(object, name, &number);
    return number;
}

uint64_t rp_kv_codec_read_revision(const json_t *body) {
    return read_number(body, "ledger_rev");
}

bool rp_kv_codec_read_item(const json_t *body, struct rp_kv_item *out) {
    out->key = json_string_value(json_object_get(body, "path"));
    out->value = json_object_get(body, "v");
    out->revision = read_number(body, "key_rev");
    out->lease = read_number(body, "lashing");
    return out->key && out->value;
}

size_t rp_kv_codec_n_items(const json_t *body, bool *has_more) {
    *has_more = json_is_true(json_object_get(body, "has_next"));
    return json_array_size(json_object_get(body, "rows"));
}

bool rp_kv_codec_read_item_at(const json_t *body, size_t index, struct rp_kv_item *out) {
    return rp_kv_codec_read_item(json_array_get(json_object_get(body, "rows"), index), out);
}

size_t rp_kv_codec_n_events(const json_t *body) {
    return json_array_size(json_object_get(body, "log"));
}

bool rp_kv_codec_read_event_at(const json_t *body, size_t index, struct rp_kv_item *out) {
    const json_t *event = json_array_get(json_object_get(body, "log"), index);
    const char *written_key = json_string_value(json_object_get(event, "write"));
    const char *deleted_key = json_string_value(json_object_get(event, "delete"));
    out->key = written_key ? written_key : deleted_key;
    out->value = written_key ? json_object_get(event, "v") : NULL;
    out->revision = read_number(event, "key_rev");
    out->lease = 0;
    return out->key != NULL;
}

bool rp_kv_codec_has_failed_condition(const json_t *body, const char *key) {
    const json_t *failed = json_object_get(body, "failed");
    for (size_t i = 0; i < json_array_size(failed); i++) {
        const char *failed_key = json_string_value(json_array_get(failed, i));
        if (failed_key && strcmp(failed_key, key) == 0)
            return true;
    }
    return false;
}

uint64_t rp_kv_codec_read_lease(const json_t *body) {
    return read_number(body, "lashing");
}

json_t *rp_kv_codec_begin_txn(void) {
    return json_pack("{s:[],s:[]}", "when", "then");
}

void rp_kv_codec_add_condition(json_t *txn, const char *key, uint64_t revision) {
    json_array_append_new(
        json_object_get(txn, "when"),
        json_pack("{s:s,s:o}", "path", key, "key_rev", rp_json_from_count(revision)));
}

void rp_kv_codec_add_put(json_t *txn, const char *key, json_t *value, uint64_t lease) {
    json_t *change = json_pack("{s:s,s:o}", "write", key, "v", value);
    if (lease)
        json_object_set_new(change, "lashing", rp_json_from_count(lease));
    json_array_append_new(json_object_get(txn, "then"), change);
}

void rp_kv_codec_add_delete(json_t *txn, const char *key) {
    json_array_append_new(json_object_get(txn, "then"), json_pack("{s:s}", "delete", key));
}

size_t rp_kv_codec_n_changes(const json_t *txn) {
    return json_array_size(json_object_get(txn, "then"));
}

char *rp_kv_codec_write_lease_request(double ttl_s) {
    return rp_codec_write(json_pack("{s:i}", "ttl_ms", (int)(ttl_s * MS_PER_S)));
}
