/** @file
 * Non-blocking TCP sockets: addresses, listening, connecting, sending. Knows nothing of HTTP.
 * Called by the server and the client of this directory; whoever gets a descriptor closes it. */
#ifndef RP_HTTP_SOCKET_H
#define RP_HTTP_SOCKET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

/** Size in bytes of the longest "host:port" that can be read, with its NUL. */
#define RP_SOCKET_ADDRESS_MAX 64

/** Reads "a.b.c.d:port", with a port from 1 to 65535. Returns false when it is anything else; host
 * names aren't resolved, since that would block the event loop. */
bool rp_socket_parse_address(const char *text, struct sockaddr_in *out);

/** Opens a listening socket. Returns its descriptor, or -errno. */
int rp_socket_listen(const struct sockaddr_in *address);

/** Opens a socket and begins to connect it. Returns its descriptor, or -errno; whether the
 * connection was made is told by rp_socket_is_connected once the descriptor is writable. */
int rp_socket_connect(const struct sockaddr_in *address);

/** The outcome of rp_socket_connect, after the event loop has reported `events` for `fd`. */
bool rp_socket_is_connected(int fd, unsigned events);

/** Takes the next connection of a listening socket. Returns its descriptor, or -1 when there is
 * none or the process has no descriptor free. */
int rp_socket_accept(int listening_fd);

/** Small messages leave at once, instead of waiting for the peer's acknowledgement of earlier ones
 * (Nagle's algorithm). */
void rp_socket_set_no_delay(int fd);

/** What rp_send_buffer_send found. */
enum rp_send_outcome {
    RP_SEND_COMPLETE,   /**< all bytes have been handed to the kernel */
    RP_SEND_INCOMPLETE, /**< the kernel's buffer is full: go on when the descriptor is writable */
    RP_SEND_BROKEN      /**< the connection is of no more use */
};

/** Bytes waiting to be sent. */
struct rp_send_buffer {
    char *data; /**< owned */
    size_t len;
    size_t sent; /**< how many of the `len` bytes have been sent */
};

/** Sends as much as the kernel takes. Empties the buffer when all of it has been sent. */
enum rp_send_outcome rp_send_buffer_send(struct rp_send_buffer *buffer, int fd);

/** Frees the bytes, sent or not. */
void rp_send_buffer_clear(struct rp_send_buffer *buffer);

#endif
