/** @file
 * Questions to other nodes for their stream, and the reading of their answers. What can't be read
 * is refused, counted by its fault, and told in the log once for each fault: a node of another
 * version would fill the log otherwise. leader_suspicion.c and standby.c ask. */
#ifndef RP_STANDBY_STREAM_CLIENT_H
#define RP_STANDBY_STREAM_CLIENT_H

#include "base/net.h"
#include "standby/stream_message.h"

/** Asks, and counts what was refused. */
struct rp_stream_client {
    struct rp_net net;
    unsigned long n_refused[RP_STREAM_FAULTS]; /* messages, by their fault */
};

/** Asks the node at `addr`; `on_response` is called exactly once, later. `request` NULL: the node
 * is only asked what it knows of the leader. */
void rp_stream_client_ask(const struct rp_stream_client *client, const char *addr,
                          const struct rp_stream_request *request, double timeout_s,
                          rp_answer_fn on_response, void *arg);
/** Reads an answer. On success the caller must free `out` by rp_stream_message_free; on failure
 * nothing is to be freed. */
bool rp_stream_client_read(struct rp_stream_client *client, const struct rp_answer *answer,
                           struct rp_stream_message *out);
/** How many messages were refused in all. */
unsigned long rp_stream_client_n_refused(const struct rp_stream_client *client);

#endif
