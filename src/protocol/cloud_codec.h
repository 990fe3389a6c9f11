/** @file
 * Codec of the messages of the cloud's interface: the catalog of machine types, provision and
 * release requests, and the list of machines. The catalog's record in the key-value store has the
 * same form. Called by src/cloud and src/cluster. */
#ifndef RP_PROTOCOL_CLOUD_CODEC_H
#define RP_PROTOCOL_CLOUD_CODEC_H

#include "model/catalog.h"
#include "model/listed_machine.h"
#include "protocol/codec.h"

/** Path of the catalog of machine types. */
#define RP_PATH_CATALOG "/catalog"
/** Path of the list of machines (GET) and of provision requests (POST). */
#define RP_PATH_MACHINES "/machines"
/** Path of release requests. */
#define RP_PATH_RELEASE "/machines/release"

/** Reads a catalog. Types and zones beyond the model's bounds are left out, and `n_left_out` counts
 * them. Returns false when the catalog has no type or a malformed one. */
bool rp_cloud_codec_read_catalog(const json_t *value, struct rp_catalog *out);

/** Reads a catalog from a response's body, as rp_cloud_codec_read_catalog does. */
bool rp_cloud_codec_parse_catalog(const char *body, size_t len, struct rp_catalog *out);

/** Writes a request for `count` machines of a type in a zone. `request` is the request's name, by
 * which the cloud recognizes a retry. The caller frees the text. */
char *rp_cloud_codec_write_provision_request(const char *request, const char *type,
                                             const char *zone, bool spot, unsigned count);

/** Reads the names of the machines from the response to a provision request. Returns `n` names that
 * the caller frees, or NULL when the body is not such a response. */
char (*rp_cloud_codec_parse_provisioned(const char *body, size_t len, size_t *n))[RP_TEXT_MAX];

/** Whether a response reports that the cloud has no free machine of the requested type and zone. */
bool rp_cloud_codec_is_no_capacity(const char *body, size_t len);

/** Writes a request to release `n` machines. The caller frees the text. */
char *rp_cloud_codec_write_release(const char *const *machines, size_t n);

/** Reads a page of the list of machines. Sets `has_more` to whether there is another page. Returns
 * `n` machines that the caller frees, or NULL when the body is not a list. Machines without a name,
 * a type or a zone are left out. A machine whose state is unknown to this version is read as
 * running. */
struct rp_listed_machine *rp_cloud_codec_parse_machine_list(const char *body, size_t len, size_t *n,
                                                            bool *has_more);

#endif
