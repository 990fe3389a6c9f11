/** @file
 * The result of a request to the key-value store: its outcome, and the items, events and numbers in
 * its response. Callers of store/kv_client.h use this module instead of reading the response's
 * JSON; the names on the wire occur in protocol/ only.
 *
 * A result, and everything that is read from it, belongs to the client and is valid until the
 * call-back that received it returns. */
#ifndef RP_STORE_KV_RESULT_H
#define RP_STORE_KV_RESULT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "protocol/kv_codec.h"

/** The outcome of a request that has ended. Which outcomes are possible depends on the request; any
 * request can end as RP_KV_REFUSED or RP_KV_UNKNOWN. */
enum rp_kv_outcome {
    /** Carried out: the response holds the requested data, and all changes are made. */
    RP_KV_OK,
    /** The key or the lease does not exist (404). */
    RP_KV_NOT_FOUND,
    /** A condition of a transaction failed, and nothing was changed (409). The response names the
     * conditions that failed (rp_kv_result_has_failed_condition). */
    RP_KV_CONDITION_FAILED,
    /** The changes that a watch requested are no longer stored: the watched keys have to be read
     * again (410). */
    RP_KV_COMPACTED,
    /** Not carried out, and the same request never will be: it is too large, makes too many
     * changes, or attaches a key to a lease that does not exist (400). */
    RP_KV_BAD_REQUEST,
    /** Certainly not carried out, and may be retried: the response was 429 or 503, or this node had
     * no request budget for it. */
    RP_KV_REFUSED,
    /** No usable response was received: the request may have been carried out, or may still be. The
     * keys that it changes have to be read before anything is concluded. */
    RP_KV_UNKNOWN
};

/** An outcome's name for log lines, such as "condition-failed". */
const char *rp_kv_outcome_name(enum rp_kv_outcome outcome);

/** A finished request. */
struct rp_kv_result {
    enum rp_kv_outcome outcome;
    json_t *body; /* body of the response, for this module only; NULL when there is none */
};

/** The item that was read. False unless the outcome is RP_KV_OK and the response holds one. */
bool rp_kv_result_item(const struct rp_kv_result *result, struct rp_kv_item *out);

/** The number of items on this page of a list. */
size_t rp_kv_result_n_items(const struct rp_kv_result *result);
/** Item `index` of the page; false, and `out` undefined, when it is malformed. */
bool rp_kv_result_item_at(const struct rp_kv_result *result, size_t index, struct rp_kv_item *out);
/** Whether there are items after this page. */
bool rp_kv_result_has_more(const struct rp_kv_result *result);

/** The number of changes in the response to a watch; the oldest is first. */
size_t rp_kv_result_n_events(const struct rp_kv_result *result);
/** Change `index`; its value is NULL when the key was deleted. False when it is malformed. */
bool rp_kv_result_event_at(const struct rp_kv_result *result, size_t index, struct rp_kv_item *out);

/** The store's revision as of the response; for a transaction, the revision of its changes. */
uint64_t rp_kv_result_revision(const struct rp_kv_result *result);
/** The lease that was granted; RP_KV_NO_LEASE when the response names none. */
uint64_t rp_kv_result_lease(const struct rp_kv_result *result);
/** Whether the condition on `key` is one of those that failed. */
bool rp_kv_result_has_failed_condition(const struct rp_kv_result *result, const char *key);

#endif
