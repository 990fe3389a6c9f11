#include "store/kv_result.h"
#include "protocol/kv_codec.h"

const char *rp_kv_outcome_name(enum rp_kv_outcome outcome) {
    static const char *const names[] = {
        [RP_KV_OK] = "ok",
        [RP_KV_NOT_FOUND] = "not-found",
        [RP_KV_CONDITION_FAILED] = "condition-failed",
        [RP_KV_COMPACTED] = "compacted",
        [RP_KV_BAD_REQUEST] = "bad-request",
        [RP_KV_REFUSED] = "refused",
        [RP_KV_UNKNOWN] = "unknown",
    };
    return names[outcome];
}

bool rp_kv_result_item(const struct rp_kv_result *result, struct rp_kv_item *out) {
    return result->outcome == RP_KV_OK && rp_kv_codec_read_item(result->body, out);
}

size_t rp_kv_result_n_items(const struct rp_kv_result *result) {
    bool more;
    return rp_kv_codec_n_items(result->body, &more);
}

bool rp_kv_result_item_at(const struct rp_kv_result *result, size_t index, struct rp_kv_item *out) {
    return rp_kv_codec_read_item_at(result->body, index, out);
}

bool rp_kv_result_has_more(const struct rp_kv_result *result) {
    bool more;
    (void)rp_kv_codec_n_items(result->body, &more);
    return more;
}

size_t rp_kv_result_n_events(const struct rp_kv_result *result) {
    return rp_kv_codec_n_events(result->body);
}

bool rp_kv_result_event_at(const struct rp_kv_result *result, size_t index,
                           struct rp_kv_item *out) {
    return rp_kv_codec_read_event_at(result->body, index, out);
}

uint64_t rp_kv_result_revision(const struct rp_kv_result *result) {
    return rp_kv_codec_read_revision(result->body);
}

uint64_t rp_kv_result_lease(const struct rp_kv_result *result) {
    return rp_kv_codec_read_lease(result->body);
}

bool rp_kv_result_has_failed_condition(const struct rp_kv_result *result, const char *key) {
    return rp_kv_codec_has_failed_condition(result->body, key);
}
