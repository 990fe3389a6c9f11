/** @file
 * How the modules of a node reach other hosts, and are reached. An interface only: main.c plugs in
 * the HTTP client and server, the tests a simulated network. */
#ifndef RP_BASE_NET_H
#define RP_BASE_NET_H

#include <stdbool.h>
#include <stddef.h>

/** The response to a call. `body` lives only during the call-back. */
struct rp_answer {
    int status;  /**< HTTP status; 0: no complete response came, see `unsent` */
    bool unsent; /**< with status 0: no byte of the request has left. Else it may have been carried
                  * out, or may still be. */
    const char *body; /**< NUL-terminated, never NULL */
    size_t len;       /**< of the body, in bytes */
    int retry_after;  /**< seconds that the host asks to wait; 0: none */
};

/** Called with the response to a call. It may make calls in turn. */
typedef void (*rp_answer_fn)(void *arg, const struct rp_answer *answer);

/** A way to call other hosts. */
struct rp_net {
    void *ctx; /**< first argument of the functions */
    /** Sends a request to "host:port"; `body` NULL: none. All texts are copied. `fn` is called
     * exactly once, at the latest after `timeout_s`, and never before `call` has returned. */
    void (*call)(void *ctx, const char *addr, const char *method, const char *target,
                 const char *body, double timeout_s, rp_answer_fn fn, void *arg);
    /** The same on a connection of its own: where none can be made, the request is known not to
     * have been sent. */
    void (*call_once)(void *ctx, const char *addr, const char *method, const char *target,
                      const char *body, double timeout_s, rp_answer_fn fn, void *arg);
};

/** A request that a node has received. Whoever handles it must respond exactly once, now or later,
 * also when the peer has gone meanwhile; the request ends with that. */
struct rp_request {
    const char *method;
    const char *target; /**< path and query */
    const char *body;   /**< NUL-terminated, never NULL */
    size_t len;         /**< of the body, in bytes */
    /** Sends a response with a JSON body, or none if `body` is NULL. `retry_after` above 0: the
     * peer is told to come back after so many seconds. */
    void (*respond)(struct rp_request *req, int status, const char *body, int retry_after);
};

/** Handles a request. */
typedef void (*rp_request_fn)(void *arg, struct rp_request *req);

#endif
