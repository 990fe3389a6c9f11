#include "store/kv_txn.h"

#include <stdlib.h>
#include "base/memory.h"
#include "protocol/json_text.h"
#include "protocol/kv_codec.h"

struct rp_kv_txn {
    json_t *body; /* body of the request, as protocol/ builds it */
};

struct rp_kv_txn *rp_kv_txn_begin(void) {
    struct rp_kv_txn *txn = rp_alloc(1, sizeof *txn);
    txn->body = rp_kv_codec_begin_txn();
    return txn;
}

void rp_kv_txn_if(struct rp_kv_txn *txn, const char *key, uint64_t revision) {
    rp_kv_codec_add_condition(txn->body, key, revision);
}

void rp_kv_txn_put(struct rp_kv_txn *txn, const char *key, json_t *value, uint64_t lease) {
    rp_kv_codec_add_put(txn->body, key, value, lease);
}

void rp_kv_txn_delete(struct rp_kv_txn *txn, const char *key) {
    rp_kv_codec_add_delete(txn->body, key);
}

size_t rp_kv_txn_n_ops(const struct rp_kv_txn *txn) {
    return rp_kv_codec_n_changes(txn->body);
}

char *rp_kv_txn_encode(const struct rp_kv_txn *txn) {
    return rp_json_write(txn->body);
}

void rp_kv_txn_discard(struct rp_kv_txn *txn) {
    json_decref(txn->body);
    free(txn);
}
