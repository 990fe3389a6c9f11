/** @file
 * What workers send and are sent: heartbeats with their responses, direct commands, probes. Called
 * by src/worker. */
#ifndef RP_PROTOCOL_WORKER_CODEC_H
#define RP_PROTOCOL_WORKER_CODEC_H

#include "model/command.h"
#include "model/heartbeat.h"
#include "protocol/codec.h"

/** Path of a node to which workers send heartbeats. */
#define RP_PATH_HEARTBEAT "/checkin"
/** Path of a worker to which direct commands are sent. */
#define RP_PATH_DIRECT "/do"
/** Path of a worker at which it is probed; the response is a heartbeat. */
#define RP_PATH_PROBE "/show"

/** Reads a heartbeat. Returns false when it is malformed, and `out` owns nothing then. Else the
 * caller must rp_heartbeat_free it. */
bool rp_worker_codec_parse_heartbeat(const char *body, size_t len, struct rp_heartbeat *out);

/** Frees what a heartbeat owns. May be called twice. */
void rp_heartbeat_free(struct rp_heartbeat *heartbeat);

/** Writes the response to a heartbeat: the leader's fencing token and `n` commands. The caller
 * frees the text. */
char *rp_worker_codec_write_heartbeat_response(uint64_t fencing_token,
                                               const struct rp_command *commands, size_t n);

/** Writes commands for a worker in the given incarnation; in any other one it ignores them. The
 * caller frees the text. */
char *rp_worker_codec_write_direct_commands(uint64_t fencing_token, uint64_t incarnation,
                                            const struct rp_command *commands, size_t n);

/** Writes the response of a node that doesn't lead: the leader's address, NULL when none is known.
 * The caller frees the text. */
char *rp_worker_codec_write_leader_hint(const char *leader);

#endif
