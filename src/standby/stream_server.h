/** @file
 * The leader's side of the stream: records each change of a machine in a log, and responds to
 * standbys with the changes after the last one that they have applied, or with a snapshot of all
 * machines. The leader does not wait for standbys and keeps no state of them. A node that does not
 * lead also responds (standby.c): it reports which leader it follows and for how long that leader
 * has been silent.
 *
 * standby.c begins and ends the terms and passes requests on. The cluster state (cluster/cluster.h)
 * reports the changes of machines. */
#ifndef RP_STANDBY_STREAM_SERVER_H
#define RP_STANDBY_STREAM_SERVER_H

#include "cluster/cluster.h"
#include "config/settings.h"
#include "standby/change_log.h"
#include "standby/stream_message.h"

/** The server. It owns the log; the cluster state and the settings belong to the node. */
struct rp_stream_server {
    const struct rp_settings *settings;
    struct rp_cluster *cluster;
    struct rp_change_log log;  /* empty, with term 0, unless this node leads */
    unsigned long n_snapshots; /* snapshots sent */
};

/** Initializes the server and subscribes it to changes of the cluster's machines. */
void rp_stream_server_init(struct rp_stream_server *server, struct rp_cluster *cluster,
                           const struct rp_settings *settings);
/** Unsubscribes the server from changes and frees the log. */
void rp_stream_server_close(struct rp_stream_server *server);
/** Empties the log when this node's term begins, while its cluster state is still empty, or with
 * `term` 0 when this node's term has ended. */
void rp_stream_server_begin_term(struct rp_stream_server *server, uint64_t term);
/** The leader's response to a request: changes, or a snapshot if some of them are no longer in the
 * log or the request is of another term. The caller must free `out` by rp_stream_message_free. */
void rp_stream_server_answer(struct rp_stream_server *server,
                             const struct rp_stream_request *request,
                             struct rp_stream_message *out);

#endif
