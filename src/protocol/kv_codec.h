/** @file
 * What is sent to the key-value store and comes back: items, lists, changes, transactions, leases.
 * Called by src/store alone, which gives the other modules its own interface. */
#ifndef RP_PROTOCOL_KV_CODEC_H
#define RP_PROTOCOL_KV_CODEC_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A key with its value, or a change of one. Lives as long as the body from which it was read. */
struct rp_kv_item {
    const char *key;
    json_t *value;     /**< borrowed; NULL for a deletion */
    uint64_t revision; /**< of the key's latest change */
    uint64_t lease;    /**< on which the key hangs; 0: none, and always 0 for a change */
};

/** The store's revision as of a response; 0 when it tells none. */
uint64_t rp_kv_codec_read_revision(const json_t *body);

/** Reads the response to a read of one key. Returns false when it is malformed. */
bool rp_kv_codec_read_item(const json_t *body, struct rp_kv_item *out);

/** The number of items on a page of a list, and whether there is another page. */
size_t rp_kv_codec_n_items(const json_t *body, bool *more);

/** Reads item `index` of a page. Returns false when it is malformed. */
bool rp_kv_codec_read_item_at(const json_t *body, size_t index, struct rp_kv_item *out);

/** The number of changes in the response to a watch. */
size_t rp_kv_codec_n_events(const json_t *body);

/** Reads change `index`, in the order of revisions. Returns false when it is malformed. */
bool rp_kv_codec_read_event_at(const json_t *body, size_t index, struct rp_kv_item *out);

/** Whether a failed transaction's response names `key` among those whose condition failed. */
bool rp_kv_codec_has_failed_condition(const json_t *body, const char *key);

/** The lease in the response to a request for one; 0 when there is none. */
uint64_t rp_kv_codec_read_lease(const json_t *body);

/** A transaction without conditions and changes; the caller must json_decref it. */
json_t *rp_kv_codec_begin_txn(void);

/** Adds the condition that `key` has this revision; 0: that it doesn't exist. */
void rp_kv_codec_add_condition(json_t *txn, const char *key, uint64_t revision);

/** Adds a change of `key`; takes `value` over. `lease` 0: it hangs on none. */
void rp_kv_codec_add_put(json_t *txn, const char *key, json_t *value, uint64_t lease);

/** Adds the deletion of `key`. */
void rp_kv_codec_add_delete(json_t *txn, const char *key);

/** The number of changes, deletions among them; conditions don't count. */
size_t rp_kv_codec_n_changes(const json_t *txn);

/** Writes a request for a lease of `ttl_s` seconds. The caller frees the text. */
char *rp_kv_codec_write_lease_request(double ttl_s);

#endif
