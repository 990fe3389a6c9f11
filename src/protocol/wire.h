/** @file
 * All outside words: the only module that knows the protocol's names. */
#ifndef RP_PROTOCOL_WIRE_H
#define RP_PROTOCOL_WIRE_H

#include <jansson.h>
#include "model/catalog.h"
#include "model/command.h"
#include "model/heartbeat.h"
#include "model/job_spec.h"
#include "model/job_status.h"
#include "model/listed_machine.h"

/** Paths, in the protocol's words. */
#define RP_PATH_JOBS "/v1/jobs"
#define RP_PATH_HEALTH "/healthz"
#define RP_PATH_HEARTBEAT "/checkin"
#define RP_PATH_DIRECT "/do"
#define RP_PATH_PROBE "/show"
#define RP_PATH_CATALOG "/catalog"
#define RP_PATH_MACHINES "/machines"
#define RP_PATH_RELEASE "/machines/release"

/* ---- users ---- */

/** The id of a submission, as far as one can be read: known jobs are answered before anything is
 * found wrong with the rest. Returns false when there is none. */
bool rp_user_codec_parse_submission_id(const char *body, size_t len, char id[RP_ID_MAX]);
bool rp_job_codec_is_id(const char *id);
/** Reads a submission; on failure `why` tells what is wrong and false is returned. */
bool rp_user_codec_parse_submission(const char *body, size_t len, struct rp_job_spec *out,
                                    char why[128]);
void rp_job_spec_free(struct rp_job_spec *spec);
/** Caller frees. `done` and `running` are told when the job is neither done nor cancelled. */
char *rp_user_codec_write_job_status(const struct rp_job_status *status);
char *rp_codec_write_error(const char *text);

/** ---- stored and outside form of a job are the same object ---- */
json_t *rp_job_codec_write_spec(const struct rp_job_spec *spec);
bool rp_job_codec_read_spec(json_t *object, struct rp_job_spec *out, char why[128]);

/** ---- workers ---- */
bool rp_worker_codec_parse_heartbeat(const char *body, size_t len, struct rp_heartbeat *out);
void rp_heartbeat_free(struct rp_heartbeat *report);
char *rp_worker_codec_write_heartbeat_response(uint64_t token, const struct rp_command *commands,
                                               size_t n);
char *rp_worker_codec_write_direct_commands(uint64_t token, uint64_t incarnation,
                                            const struct rp_command *commands, size_t n);
/** `leader` NULL: none known. */
char *rp_worker_codec_write_leader_hint(const char *leader);

/* ---- cloud ---- */
/** Machine types as the cloud tells them, which is also their stored form; false when there are
 * none.
 */
bool rp_cloud_codec_read_catalog(const json_t *value, struct rp_catalog *out);
bool rp_cloud_codec_parse_catalog(const char *body, size_t len, struct rp_catalog *out);
char *rp_cloud_codec_write_provision_request(const char *request, const char *type,
                                             const char *zone, bool spot, unsigned count);
/** Machine names; caller frees. NULL when the body is not an answer to a rental. */
char (*rp_cloud_codec_parse_provisioned(const char *body, size_t len, size_t *n))[RP_TEXT_MAX];
bool rp_cloud_codec_is_no_capacity(const char *body, size_t len);
char *rp_cloud_codec_write_release(const char *const *machines, size_t n);
struct rp_listed_machine *rp_cloud_codec_parse_machine_list(const char *body, size_t len, size_t *n,
                                                            bool *more);

/** ---- state service ---- */
struct rp_kv_item {
    const char *key;
    json_t *value; /* borrowed; NULL for a deletion */
    uint64_t revision;
    uint64_t lease;
};
/** Parses any answer of the state service; NULL when it isn't an object. */
json_t *rp_codec_parse_object(const char *body, size_t len);
uint64_t rp_kv_codec_read_revision(const json_t *body);
bool rp_kv_codec_read_item(json_t *body, struct rp_kv_item *out);
size_t rp_kv_codec_n_items(json_t *body, bool *more); /* number of listed items */
bool rp_kv_codec_read_item_at(json_t *body, size_t i, struct rp_kv_item *out);
size_t rp_kv_codec_n_events(json_t *body);
bool rp_kv_codec_read_event_at(json_t *body, size_t i, struct rp_kv_item *out);
bool rp_kv_codec_has_failed_condition(json_t *body, const char *key);
uint64_t rp_kv_codec_read_lease(const json_t *body);
json_t *rp_kv_codec_begin_txn(void);
void rp_kv_codec_add_condition(json_t *txn, const char *key, uint64_t version);
/** Steals `value`. `lease` 0: none. */
void rp_kv_codec_add_put(json_t *txn, const char *key, json_t *value, uint64_t lease);
void rp_kv_codec_add_delete(json_t *txn, const char *key);
size_t rp_kv_codec_n_changes(const json_t *txn);
char *rp_kv_codec_write_lease_request(double ttl_s);

#endif
