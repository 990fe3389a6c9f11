/** @file
 * Non-blocking TCP sockets: addresses, listening, connecting, sending. Independent of HTTP. Called
 * by the server and the client of this directory; the caller that receives a descriptor closes it.
 */
#ifndef RP_HTTP_SOCKET_H
#define RP_HTTP_SOCKET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

/** Size in bytes of the longest "host:port" that can be parsed, with its NUL. */
#define RP_SOCKET_ADDRESS_MAX 64

/** Parses "a.b.c.d:port", with a port from 1 to 65535. Returns false for anything else; host names
 * are not resolved, since that would block the event loop. */
bool rp_socket_parse_address(const char *text, struct sockaddr_in *out);

/** Opens a listening socket. Returns its descriptor, or -errno. */
int rp_socket_listen(const struct sockaddr_in *address);

/** Opens a socket and begins to connect it. Returns its descriptor, or -errno. Once the descriptor
 * is writable, rp_socket_is_connected returns whether the connection was established. */
int rp_socket_connect(const struct sockaddr_in *address);

/** Whether rp_socket_connect succeeded, after the event loop has reported `events` for `fd`. */
bool rp_socket_is_connected(int fd, unsigned events);

/** Accepts the next connection of a listening socket. Returns its descriptor, or -1 if there is
 * none or the process is at its limit of descriptors. */
int rp_socket_accept(int listening_fd);

/** Disables Nagle's algorithm: small messages are sent at once, without waiting for the peer's
 * acknowledgement of earlier ones. */
void rp_socket_set_no_delay(int fd);

/** Outcome of rp_send_buffer_send. */
enum rp_send_outcome {
    RP_SEND_COMPLETE,   /**< the kernel has accepted all bytes */
    RP_SEND_INCOMPLETE, /**< the kernel's buffer is full; retry when the descriptor is writable */
    RP_SEND_BROKEN      /**< the connection has failed and must be closed */
};

/** Bytes waiting to be sent. */
struct rp_send_buffer {
    char *data; /**< owned */
    size_t len;
    size_t sent; /**< how many of the `len` bytes have been sent */
};

/** Sends as many bytes as the kernel accepts. Clears the buffer when all have been sent. */
enum rp_send_outcome rp_send_buffer_send(struct rp_send_buffer *buffer, int fd);

/** Frees the bytes, sent or not. */
void rp_send_buffer_clear(struct rp_send_buffer *buffer);

#endif
