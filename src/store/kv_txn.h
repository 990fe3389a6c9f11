/** @file
 * Compare-and-swap: a transaction that changes keys of the key-value store only if other keys have
 * given revisions. This module collects its conditions and changes; rp_kv_txn_submit
 * (store/kv_client.h) sends it. All its changes are made, at one revision, or none.
 *
 * Everything that a node writes goes through here. What a leader writes carries the condition that
 * the leader's key is still its own (rp_election_guard), so that late copies of a former leader's
 * writes fail. */
#ifndef RP_STORE_KV_TXN_H
#define RP_STORE_KV_TXN_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** The revision of a key that doesn't exist, for use in conditions. */
#define RP_KV_ABSENT UINT64_C(0)
/** For keys that are attached to no lease: they stay until they are deleted. */
#define RP_KV_NO_LEASE UINT64_C(0)

/** A transaction that is being built. */
struct rp_kv_txn;

/** A transaction without conditions and changes. The caller hands it to rp_kv_txn_submit or to
 * rp_kv_txn_discard. */
struct rp_kv_txn *rp_kv_txn_begin(void);
/** Adds the condition that `key` was last changed at `revision`, or with RP_KV_ABSENT that it
 * doesn't exist. */
void rp_kv_txn_if(struct rp_kv_txn *txn, const char *key, uint64_t revision);
/** Adds a change: `key` gets `value`, and exists as long as `lease` does, or with RP_KV_NO_LEASE
 * until it is deleted. Takes `value` over. */
void rp_kv_txn_put(struct rp_kv_txn *txn, const char *key, json_t *value, uint64_t lease);
/** Adds a change: `key` is deleted. That it doesn't exist is no error. */
void rp_kv_txn_delete(struct rp_kv_txn *txn, const char *key);
/** The number of changes so far; the store limits it (`kv_limits_lowest.txn_ops` in the settings).
 */
size_t rp_kv_txn_n_ops(const struct rp_kv_txn *txn);
/** The request's body, as text that the caller frees; the transaction stays as it is. */
char *rp_kv_txn_encode(const struct rp_kv_txn *txn);
/** Frees a transaction, submitted or not. */
void rp_kv_txn_discard(struct rp_kv_txn *txn);

#endif
