/** @file
 * How the parts of a node reach other hosts. The program plugs in the HTTP client; the tests plug
 * in a simulated network. */
#ifndef RP_BASE_NET_H
#define RP_BASE_NET_H

#include <stdbool.h>
#include <stddef.h>

/** The answer to a call. `status` 0: no whole answer came, the request may have been carried out
 * or may still be, unless `unsent`: no byte of it has left. `body` is NUL-terminated and lives only
 * during the call-back. */
struct rp_answer {
    int status;
    bool unsent;
    const char *body;
    size_t len;
    int retry_after;
};

typedef void (*rp_answer_fn)(void *arg, const struct rp_answer *answer);

struct rp_net {
    void *ctx;
    /* Sends one request; `fn` is called exactly once, never before `call` has returned. */
    void (*call)(void *ctx, const char *addr, const char *method, const char *target,
                 const char *body, double timeout_s, rp_answer_fn fn, void *arg);
    /* The same on a connection of its own: where none can be made, the request is known not to have
     * been sent. */
    void (*call_once)(void *ctx, const char *addr, const char *method, const char *target,
                      const char *body, double timeout_s, rp_answer_fn fn, void *arg);
};

/** A request that a node has received and answers now or later, exactly once, by `respond`. */
struct rp_request {
    const char *method;
    const char *target;
    const char *body;
    size_t len;
    void (*respond)(struct rp_request *req, int status, const char *body, int retry_after);
};

typedef void (*rp_request_fn)(void *arg, struct rp_request *req);

#endif
