#include "http/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum number of connections not yet accepted: after a failover, all workers connect at once. */
#define BACKLOG 4096

bool rp_socket_parse_address(const char *text, struct sockaddr_in *out) {
    char host[RP_SOCKET_ADDRESS_MAX];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof host)
        return false;
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    char *end;
    long port = strtol(colon + 1, &end, 10);
    if (*end || end == colon + 1 || port < 1 || port > UINT16_MAX)
        return false;
    memset(out, 0, sizeof *out);
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static int open_stream_socket(void) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    return fd < 0 ? -errno : fd;
}

int rp_socket_listen(const struct sockaddr_in *address) {
    const struct sockaddr *generic = (const struct sockaddr *)address;
    int one = 1;
    int fd = open_stream_socket();
    if (fd < 0)
        return fd;
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) < 0 ||
        bind(fd, generic, sizeof *address) < 0 || listen(fd, BACKLOG) < 0) {
        int error = errno;
        close(fd);
        return -error;
    }
    return fd;
}

int rp_socket_connect(const struct sockaddr_in *address) {
    const struct sockaddr *generic = (const struct sockaddr *)address;
    int fd = open_stream_socket();
    if (fd < 0)
        return fd;
    rp_socket_set_no_delay(fd);
    if (connect(fd, generic, sizeof *address) < 0 && errno != EINPROGRESS) {
        int error = errno;
        close(fd);
        return -error;
    }
    return fd;
}

bool rp_socket_is_connected(int fd, unsigned events) {
    int error = 0;
    socklen_t len = sizeof error;
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error)
        return false;
    return (events & (EPOLLERR | EPOLLHUP)) == 0;
}

int rp_socket_accept(int listening_fd) {
    return accept4(listening_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

void rp_socket_set_no_delay(int fd) {
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

void rp_send_buffer_clear(struct rp_send_buffer *buffer) {
    free(buffer->data);
    memset(buffer, 0, sizeof *buffer);
}

enum rp_send_outcome rp_send_buffer_send(struct rp_send_buffer *buffer, int fd) {
    while (buffer->sent < buffer->len) {
        ssize_t n = send(fd, buffer->data + buffer->sent, buffer->len - buffer->sent, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return errno == EAGAIN || errno == EWOULDBLOCK ? RP_SEND_INCOMPLETE : RP_SEND_BROKEN;
        buffer->sent += (size_t)n;
    }
    rp_send_buffer_clear(buffer);
    return RP_SEND_COMPLETE;
}
