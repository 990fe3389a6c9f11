/** @file
 * What is sent to the cloud's interface and comes back: the catalog of machine types, requests for
 * machines and their release, the list of machines. The catalog is stored in the same form. Called
 * by src/cloud and src/cluster. */
#ifndef RP_PROTOCOL_CLOUD_CODEC_H
#define RP_PROTOCOL_CLOUD_CODEC_H

#include "model/catalog.h"
#include "model/listed_machine.h"
#include "protocol/codec.h"

/** Path of the catalog of machine types. */
#define RP_PATH_CATALOG "/catalog"
/** Path of the list of machines (GET) and of provision requests (POST). */
#define RP_PATH_MACHINES "/machines"
/** Path to which machines are given back. */
#define RP_PATH_RELEASE "/machines/release"

/** Reads a catalog. Types and zones beyond the model's bounds are left out and counted. Returns
 * false when there is no type or one is malformed. */
bool rp_cloud_codec_read_catalog(const json_t *value, struct rp_catalog *out);

/** The same from a response's body. */
bool rp_cloud_codec_parse_catalog(const char *body, size_t len, struct rp_catalog *out);

/** Writes a request for `count` machines of a type in a zone. `request` is its name, by which the
 * cloud recognises a repetition. The caller frees the text. */
char *rp_cloud_codec_write_provision_request(const char *request, const char *type,
                                             const char *zone, bool spot, unsigned count);

/** Reads the names of the machines that a provision request brought. Returns `n` names that the
 * caller frees, or NULL when the body is not a response to one. */
char (*rp_cloud_codec_parse_provisioned(const char *body, size_t len, size_t *n))[RP_TEXT_MAX];

/** Whether a response says that the cloud has no machine of the type in the zone. */
bool rp_cloud_codec_is_no_capacity(const char *body, size_t len);

/** Writes a request to take `n` machines back. The caller frees the text. */
char *rp_cloud_codec_write_release(const char *const *machines, size_t n);

/** Reads a page of the list of machines, and whether there is another. Returns `n` machines that
 * the caller frees, or NULL when the body is not a list. Machines without a name, a type or a zone
 * are left out; one in a state that this version doesn't know counts as running. */
struct rp_listed_machine *rp_cloud_codec_parse_machine_list(const char *body, size_t len, size_t *n,
                                                            bool *more);

#endif
