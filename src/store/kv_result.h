/** @file
 * What a request to the key-value store came to: its outcome, and its answer's items, events and
 * numbers. Callers of store/kv_client.h ask here instead of reading the answer's JSON; the words on
 * the wire are known to protocol/ only.
 *
 * A result, and all that is read from it, belongs to the client and lives until the call-back that
 * got it returns. */
#ifndef RP_STORE_KV_RESULT_H
#define RP_STORE_KV_RESULT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "protocol/kv_codec.h"

/** What is known of a request once it has ended. Which answers can come depends on the request; all
 * of them can end as RP_KV_REFUSED or RP_KV_UNKNOWN. */
enum rp_kv_outcome {
    /** Carried out: what was asked for is in the answer, all changes are made. */
    RP_KV_OK,
    /** The key or the lease doesn't exist (404). */
    RP_KV_NOT_FOUND,
    /** A condition of a transaction failed, and nothing was changed (409). The answer names the
     * conditions that failed: rp_kv_result_failed_on. */
    RP_KV_CONDITION_FAILED,
    /** The changes that a watch asked for are no longer kept: what it follows has to be read anew
     * (410). */
    RP_KV_COMPACTED,
    /** Not carried out, and the same request will never be: too large, too many changes, or
     * attached to a lease that doesn't exist (400). */
    RP_KV_BAD_REQUEST,
    /** Certainly not carried out; may be tried again: 429 or 503, or there was no budget for it in
     * this node. */
    RP_KV_REFUSED,
    /** No answer came: it may have been carried out, or may be yet. What it was to change has to be
     * read before anything is concluded. */
    RP_KV_UNKNOWN
};

/** An outcome's name for log lines, such as "condition-failed". */
const char *rp_kv_outcome_name(enum rp_kv_outcome outcome);

/** A finished request. */
struct rp_kv_result {
    enum rp_kv_outcome outcome;
    json_t *body; /* of the answer, for this module; NULL when there is none */
};

/** The item that was read. False unless the outcome is RP_KV_OK and the answer holds one. */
bool rp_kv_result_item(const struct rp_kv_result *result, struct rp_kv_item *out);

/** The number of items on this page of a list. */
size_t rp_kv_result_n_items(const struct rp_kv_result *result);
/** Item `index` of the page; false, and `out` undefined, when it is malformed. */
bool rp_kv_result_item_at(const struct rp_kv_result *result, size_t index, struct rp_kv_item *out);
/** Whether there are items after this page. */
bool rp_kv_result_has_more(const struct rp_kv_result *result);

/** The number of changes that a watch was answered with, oldest first. */
size_t rp_kv_result_n_events(const struct rp_kv_result *result);
/** Change `index`; its value is NULL when the key was deleted. False when it is malformed. */
bool rp_kv_result_event_at(const struct rp_kv_result *result, size_t index, struct rp_kv_item *out);

/** The store's revision as of the answer; for a transaction, the one at which it was made. */
uint64_t rp_kv_result_revision(const struct rp_kv_result *result);
/** The lease that was granted; RP_KV_NO_LEASE when the answer names none. */
uint64_t rp_kv_result_lease(const struct rp_kv_result *result);
/** Whether the condition on `key` is one of those that failed. */
bool rp_kv_result_failed_on(const struct rp_kv_result *result, const char *key);

#endif
