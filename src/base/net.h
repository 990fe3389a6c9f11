/** @file
 * Interface by which the modules of a node send requests to other hosts and receive requests from
 * them. main.c implements it by the HTTP client and server, the tests by a simulated network. */
#ifndef RP_BASE_NET_H
#define RP_BASE_NET_H

#include <stdbool.h>
#include <stddef.h>

/** The response to a call. `body` is valid only during the call-back. */
struct rp_response {
    int status;  /**< HTTP status; 0: no complete response was received, see `unsent` */
    bool unsent; /**< with status 0: true if no byte of the request was sent. If false, the host may
                  * have carried out the request, or may still do so. */
    const char *body; /**< NUL-terminated, never NULL */
    size_t len;       /**< length of the body, in bytes */
    int retry_after;  /**< seconds to wait before a retry (Retry-After header); 0: no such header */
};

/** Called with the response to a call. It may make further calls. */
typedef void (*rp_response_fn)(void *arg, const struct rp_response *response);

/** A network by which other hosts are called. */
struct rp_net {
    void *ctx; /**< passed to the functions as their first argument */
    /** Sends a request to "host:port", without a body if `body` is NULL. All texts are copied. `fn`
     * is called exactly once, at the latest after `timeout_s`, and never before `call` has
     * returned. */
    void (*call)(void *ctx, const char *addr, const char *method, const char *target,
                 const char *body, double timeout_s, rp_response_fn fn, void *arg);
    /** Like `call`, but on a new connection that no other call uses. If the connection cannot be
     * made, the request was certainly not sent (`unsent`). */
    void (*call_on_own_connection)(void *ctx, const char *addr, const char *method,
                                   const char *target, const char *body, double timeout_s,
                                   rp_response_fn fn, void *arg);
};

/** A request that a node has received. Its handler must call `respond` exactly once, immediately or
 * later, even if the peer has disconnected meanwhile. The request is invalid afterwards. */
struct rp_request {
    const char *method;
    const char *target; /**< path and query */
    const char *body;   /**< NUL-terminated, never NULL */
    size_t len;         /**< length of the body, in bytes */
    /** Sends a response with a JSON body, or without a body if `body` is NULL. If `retry_after` is
     * above 0, it is sent as the Retry-After header, in seconds. */
    void (*respond)(struct rp_request *req, int status, const char *body, int retry_after);
};

/** Handles a request. */
typedef void (*rp_request_fn)(void *arg, struct rp_request *req);

#endif
