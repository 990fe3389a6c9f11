/** @file
 * The leader's side of the stream: notes each change of a machine in a log, and answers standbys
 * with the changes after the one that they know, or with a snapshot of all machines. The leader
 * waits for no standby and keeps no state of any. A node that doesn't lead answers as well: it
 * tells which leader it follows and for how long that one has been silent.
 *
 * standby.c begins and ends the terms and passes requests on; machines' changes come from
 * cluster/cluster.h. */
#ifndef RP_STANDBY_STREAM_SERVER_H
#define RP_STANDBY_STREAM_SERVER_H

#include "cluster/cluster.h"
#include "config/settings.h"
#include "standby/change_log.h"
#include "standby/stream_message.h"

/** The server; the cluster state and the settings are the node's. */
struct rp_stream_server {
    const struct rp_settings *settings;
    struct rp_cluster *cluster;
    struct rp_change_log log; /* empty, of term 0, unless this node leads */
    unsigned long n_snapshots;
};

/** Begins to listen to changes of the cluster's machines. */
void rp_stream_server_init(struct rp_stream_server *server, struct rp_cluster *cluster,
                           const struct rp_settings *settings);
/** Stops listening, and frees the log. */
void rp_stream_server_close(struct rp_stream_server *server);
/** This node's term begins, without any machine; 0: its term has ended. */
void rp_stream_server_begin_term(struct rp_stream_server *server, uint64_t term);
/** The leader's answer to a request: changes, or a snapshot where they aren't kept. The caller must
 * free it by rp_stream_message_free. */
void rp_stream_server_answer(struct rp_stream_server *server,
                             const struct rp_stream_request *request,
                             struct rp_stream_message *out);

#endif
