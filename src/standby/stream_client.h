/** @file
 * Sends requests for the stream to other nodes, and reads their responses. A message that cannot be
 * read is refused and counted by its fault. Only the first one of each fault is logged: a node of
 * another version would fill the log otherwise. Used by leader_suspicion.c and standby.c. */
#ifndef RP_STANDBY_STREAM_CLIENT_H
#define RP_STANDBY_STREAM_CLIENT_H

#include "base/net.h"
#include "standby/stream_message.h"

/** A client of the stream, with counts of the messages that it has refused. */
struct rp_stream_client {
    struct rp_net net;
    unsigned long n_refused[RP_STREAM_FAULTS]; /* refused messages, by their fault */
};

/** Requests the stream from the node at `addr`; `on_response` is called exactly once, after this
 * function has returned. `request` NULL: only requests the report about the leader. */
void rp_stream_client_request(const struct rp_stream_client *client, const char *addr,
                              const struct rp_stream_request *request, double timeout_s,
                              rp_response_fn on_response, void *arg);
/** Reads a response. Returns true on success: the caller must free `out` by rp_stream_message_free.
 * On failure there is nothing to free. */
bool rp_stream_client_read(struct rp_stream_client *client, const struct rp_response *answer,
                           struct rp_stream_message *out);
/** The number of messages refused, of all faults. */
unsigned long rp_stream_client_n_refused(const struct rp_stream_client *client);

#endif
