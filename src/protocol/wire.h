/** @file
 * All outside words: the only module that knows the protocol's names. */
#ifndef RP_PROTOCOL_WIRE_H
#define RP_PROTOCOL_WIRE_H

#include <jansson.h>
#include "model/model.h"

/** Paths, in the protocol's words. */
#define RP_PATH_JOBS "/v1/jobs"
#define RP_PATH_HEALTH "/healthz"
#define RP_PATH_HEARTBEAT "/checkin"
#define RP_PATH_DIRECT "/do"
#define RP_PATH_SHOW "/show"
#define RP_PATH_TYPES "/catalog"
#define RP_PATH_MACHINES "/machines"
#define RP_PATH_DELETE "/machines/release"

/* ---- users ---- */

/** The id of a submission, as far as one can be read: known jobs are answered before anything is
 * found wrong with the rest. Returns false when there is none. */
bool rp_wire_submission_id(const char *body, size_t len, char id[RP_ID_MAX]);
bool rp_wire_id_valid(const char *id);
/** Reads a submission; on failure `why` tells what is wrong and false is returned. */
bool rp_wire_submission(const char *body, size_t len, struct rp_job_spec *out, char why[128]);
void rp_job_spec_free(struct rp_job_spec *spec);
/** Caller frees. `done` and `running` are told when the job is neither done nor cancelled. */
char *rp_wire_job_status(const struct rp_job_status *status);
char *rp_wire_error(const char *text);

/** ---- stored and outside form of a job are the same object ---- */
json_t *rp_wire_spec_json(const struct rp_job_spec *spec);
bool rp_wire_spec_read(json_t *object, struct rp_job_spec *out, char why[128]);

/** ---- workers ---- */
bool rp_wire_report(const char *body, size_t len, struct rp_heartbeat *out);
void rp_heartbeat_free(struct rp_heartbeat *report);
char *rp_wire_report_answer(uint64_t token, const struct rp_command *commands, size_t n);
char *rp_wire_direct(uint64_t token, uint64_t incarnation, const struct rp_command *commands,
                     size_t n);
/** `leader` NULL: none known. */
char *rp_wire_not_here(const char *leader);

/* ---- cloud ---- */
/** Machine types as the cloud tells them, which is also their stored form; false when there are
 * none.
 */
bool rp_wire_catalog_read(const json_t *value, struct rp_catalog *out);
bool rp_wire_catalog(const char *body, size_t len, struct rp_catalog *out);
char *rp_wire_rent(const char *request, const char *type, const char *zone, bool spot,
                   unsigned count);
/** Machine names; caller frees. NULL when the body is not an answer to a rental. */
char (*rp_wire_rented(const char *body, size_t len, size_t *n))[RP_TEXT_MAX];
bool rp_wire_no_capacity(const char *body, size_t len);
char *rp_wire_delete(const char *const *machines, size_t n);
struct rp_listed_machine *rp_wire_listed(const char *body, size_t len, size_t *n, bool *more);

/** ---- state service ---- */
struct rp_kv_item {
    const char *key;
    json_t *value; /* borrowed; NULL for a deletion */
    uint64_t revision;
    uint64_t lease;
};
/** Parses any answer of the state service; NULL when it isn't an object. */
json_t *rp_wire_parse(const char *body, size_t len);
uint64_t rp_wire_revision(const json_t *body);
bool rp_wire_item(json_t *body, struct rp_kv_item *out);
size_t rp_wire_items(json_t *body, bool *more); /* number of listed items */
bool rp_wire_items_at(json_t *body, size_t i, struct rp_kv_item *out);
size_t rp_wire_events(json_t *body);
bool rp_wire_event_at(json_t *body, size_t i, struct rp_kv_item *out);
bool rp_wire_failed_key(json_t *body, const char *key);
uint64_t rp_wire_lease(const json_t *body);
json_t *rp_wire_txn(void);
void rp_wire_txn_if(json_t *txn, const char *key, uint64_t version);
/** Steals `value`. `lease` 0: none. */
void rp_wire_txn_put(json_t *txn, const char *key, json_t *value, uint64_t lease);
void rp_wire_txn_delete(json_t *txn, const char *key);
size_t rp_wire_txn_ops(const json_t *txn);
char *rp_wire_lease_request(double ttl_s);

#endif
