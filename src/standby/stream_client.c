#include "standby/stream_client.h"

#include "base/log.h"

#define HTTP_OK 200

void rp_stream_client_request(const struct rp_stream_client *client, const char *addr,
                              const struct rp_stream_request *request, double timeout_s,
                              rp_response_fn on_response, void *arg) {
    char target[RP_STREAM_TARGET_MAX];
    rp_stream_request_encode(request, target);
    client->net.call(client->net.ctx, addr, "GET", target, NULL, timeout_s, on_response, arg);
}

bool rp_stream_client_read(struct rp_stream_client *client, const struct rp_response *answer,
                           struct rp_stream_message *out) {
    struct rp_stream_error error;
    if (answer->status != HTTP_OK)
        return false;
    if (rp_stream_decode(answer->body, answer->len, out, &error))
        return true;
    if (client->n_refused[error.fault]++ == 0)
        rp_error("stream message refused: reason=%s field=%s", rp_stream_fault_name(error.fault),
                 error.field);
    return false;
}

unsigned long rp_stream_client_n_refused(const struct rp_stream_client *client) {
    unsigned long n = 0;
    for (int fault = 0; fault < RP_STREAM_FAULTS; fault++)
        n += client->n_refused[fault];
    return n;
}
