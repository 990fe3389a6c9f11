/** @file
 * Codec of the messages of the key-value store: items, lists, watch events, transactions and
 * leases. Called only by src/store, whose interface the other modules use. */
#ifndef RP_PROTOCOL_KV_CODEC_H
#define RP_PROTOCOL_KV_CODEC_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A key with its value, or a change of a key. Valid until the body from which it was read is
 * released. */
struct rp_kv_item {
    const char *key;
    json_t *value;     /**< borrowed; NULL for a deletion */
    uint64_t revision; /**< revision of the key's latest change */
    uint64_t lease;    /**< lease to which the key is attached, or 0; always 0 for a change */
};

/** Returns the store's revision at the time of a response, or 0 when the response contains none. */
uint64_t rp_kv_codec_read_revision(const json_t *body);

/** Reads the response to a read of one key. Returns false when it is malformed. */
bool rp_kv_codec_read_item(const json_t *body, struct rp_kv_item *out);

/** Returns the number of items on a page of a list. Sets `has_more` to whether there is another
 * page. */
size_t rp_kv_codec_n_items(const json_t *body, bool *has_more);

/** Reads item `index` of a page. Returns false when it is malformed. */
bool rp_kv_codec_read_item_at(const json_t *body, size_t index, struct rp_kv_item *out);

/** Returns the number of events, which are changes of keys, in the response to a watch. */
size_t rp_kv_codec_n_events(const json_t *body);

/** Reads event `index` of the response to a watch. Events are in the order of their revisions.
 * Returns false when the event is malformed. */
bool rp_kv_codec_read_event_at(const json_t *body, size_t index, struct rp_kv_item *out);

/** Whether a failed transaction's response names `key` among the keys whose condition failed. */
bool rp_kv_codec_has_failed_condition(const json_t *body, const char *key);

/** Returns the lease from the response to a lease request, or 0 when the response contains none. */
uint64_t rp_kv_codec_read_lease(const json_t *body);

/** Creates a transaction without conditions and changes. The caller must json_decref it. */
json_t *rp_kv_codec_begin_txn(void);

/** Adds the condition that `key` has this revision. Revision 0: the key does not exist. */
void rp_kv_codec_add_condition(json_t *txn, const char *key, uint64_t revision);

/** Adds a write of `key`. Takes ownership of `value`. With a `lease` other than 0, the key is
 * attached to that lease. */
void rp_kv_codec_add_put(json_t *txn, const char *key, json_t *value, uint64_t lease);

/** Adds the deletion of `key`. */
void rp_kv_codec_add_delete(json_t *txn, const char *key);

/** Returns the number of writes and deletions in a transaction, without its conditions. */
size_t rp_kv_codec_n_changes(const json_t *txn);

/** Writes a request for a lease of `ttl_s` seconds. The caller frees the text. */
char *rp_kv_codec_write_lease_request(double ttl_s);

#endif
