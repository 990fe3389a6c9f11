/** @file
 * Compare-and-swap: a transaction that changes keys of the key-value store only if other keys have
 * given revisions. This module collects its conditions and changes; rp_kv_txn_submit
 * (store/kv_client.h) sends it. Either all its changes are made, at one revision, or none.
 *
 * Every write of a node is made in such a transaction. A leader's writes carry the condition that
 * the leader's key is still its own (rp_election_guard), so that late copies of a former leader's
 * writes fail. */
#ifndef RP_STORE_KV_TXN_H
#define RP_STORE_KV_TXN_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** The revision of a key that does not exist, for use in conditions. */
#define RP_KV_ABSENT UINT64_C(0)
/** The lease of keys that are attached to no lease and exist until they are deleted. */
#define RP_KV_NO_LEASE UINT64_C(0)

/** A transaction that is being built. */
struct rp_kv_txn;

/** Creates a transaction without conditions and changes. The caller passes it to rp_kv_txn_submit
 * or to rp_kv_txn_discard. */
struct rp_kv_txn *rp_kv_txn_begin(void);
/** Adds the condition that `key` was last changed at `revision`, or with RP_KV_ABSENT that it
 * does not exist. */
void rp_kv_txn_if(struct rp_kv_txn *txn, const char *key, uint64_t revision);
/** Adds a change: `key` is set to `value`, and exists as long as `lease` does, or with
 * RP_KV_NO_LEASE until it is deleted. Takes ownership of `value`. */
void rp_kv_txn_put(struct rp_kv_txn *txn, const char *key, json_t *value, uint64_t lease);
/** Adds a change: `key` is deleted. It is no error if the key does not exist. */
void rp_kv_txn_delete(struct rp_kv_txn *txn, const char *key);
/** The number of changes so far; the store limits it (`kv_limits_lowest.txn_ops` in the settings).
 */
size_t rp_kv_txn_n_ops(const struct rp_kv_txn *txn);
/** The request's body, as text that the caller frees; the transaction is not changed. */
char *rp_kv_txn_encode(const struct rp_kv_txn *txn);
/** Frees a transaction, submitted or not. */
void rp_kv_txn_discard(struct rp_kv_txn *txn);

#endif
