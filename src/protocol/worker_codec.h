/** @file
 * Codec of the messages between nodes and workers: heartbeats and their responses, direct commands
 * and probes. Called by src/worker. */
#ifndef RP_PROTOCOL_WORKER_CODEC_H
#define RP_PROTOCOL_WORKER_CODEC_H

#include "model/command.h"
#include "model/heartbeat.h"
#include "protocol/codec.h"

/** Path on a node to which workers send heartbeats. */
#define RP_PATH_HEARTBEAT "/checkin"
/** Path on a worker to which direct commands are sent. */
#define RP_PATH_DIRECT "/do"
/** Path on a worker to which probes are sent. The response to a probe is a heartbeat. */
#define RP_PATH_PROBE "/show"

/** Reads a heartbeat. On success, the caller must rp_heartbeat_free `out`. Returns false when the
 * heartbeat is malformed. In that case `out` owns nothing. */
bool rp_worker_codec_parse_heartbeat(const char *body, size_t len, struct rp_heartbeat *out);

/** Frees what a heartbeat owns. Calling it twice is harmless. */
void rp_heartbeat_free(struct rp_heartbeat *heartbeat);

/** Writes the response to a heartbeat: the leader's fencing token and `n` commands. The caller
 * frees the text. */
char *rp_worker_codec_write_heartbeat_response(uint64_t fencing_token,
                                               const struct rp_command *commands, size_t n);

/** Writes commands for a worker in the given incarnation. In any other incarnation the worker
 * ignores them. The caller frees the text. */
char *rp_worker_codec_write_direct_commands(uint64_t fencing_token, uint64_t incarnation,
                                            const struct rp_command *commands, size_t n);

/** Writes the response of a node that does not lead. `leader` is the leader's address, or NULL when
 * the node has no known leader. The caller frees the text. */
char *rp_worker_codec_write_leader_hint(const char *leader);

#endif
