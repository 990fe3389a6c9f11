#include "jobs/stored_records.h"

typedef void (*key_fn)(char out[RP_KEY_MAX], const char *job_id, unsigned number);

struct rp_stored_records rp_stored_records_of_parts(size_t n_parts) {
    return (struct rp_stored_records){.parts = ((UINT64_C(1) << n_parts) - 1) << 1};
}

bool rp_stored_records_is_empty(const struct rp_stored_records *records) {
    return !records->chunks && !records->units && !records->parts;
}

void rp_stored_records_add(struct rp_stored_records *records,
                           const struct rp_stored_records *added) {
    records->chunks |= added->chunks;
    records->units |= added->units;
    records->parts |= added->parts;
}

void rp_stored_records_remove(struct rp_stored_records *records,
                              const struct rp_stored_records *removed) {
    records->chunks &= ~removed->chunks;
    records->units &= ~removed->units;
    records->parts &= ~removed->parts;
}

static void delete_set(struct rp_kv_txn *txn, const char *job_id, uint64_t *set, key_fn make_key,
                       size_t max_changes) {
    char key[RP_KEY_MAX];
    for (unsigned i = 0; i < 64 && rp_kv_txn_n_ops(txn) < max_changes; i++) {
        if (!(*set >> i & 1))
            continue;
        make_key(key, job_id, i);
        rp_kv_txn_delete(txn, key);
        *set &= ~(UINT64_C(1) << i);
    }
}

void rp_stored_records_delete(struct rp_kv_txn *txn, const char *job_id,
                              struct rp_stored_records *records, size_t max_changes) {
    delete_set(txn, job_id, &records->chunks, rp_key_progress, max_changes);
    delete_set(txn, job_id, &records->units, rp_key_unit, max_changes);
    delete_set(txn, job_id, &records->parts, rp_key_part, max_changes);
}
