/** @file
 * Incremental parser of HTTP/1.1 messages with strict limits (RFC 9112). Independent of sockets.
 * The server uses it for requests and the client for responses: one parser for each connection,
 * which parses one message after the other. */
#ifndef RP_HTTP_PARSER_H
#define RP_HTTP_PARSER_H

#include <stdbool.h>
#include <stddef.h>

/** Size in bytes of the buffer for a start line, a header line or the line with a chunk's size,
 * with its NUL; a longer line is refused. */
#define RP_HTTP_LINE_MAX 4096
/** Maximum bytes of a message's start line, header lines and trailers together. */
#define RP_HTTP_HEADERS_MAX 8192
/** Size in bytes of the buffer for a request's method with its NUL; a longer method is refused. All
 * methods that nodes accept are shorter. */
#define RP_HTTP_METHOD_MAX 16

/** States of the parser: the part of the message that it expects next. */
enum rp_http_state {
    RP_HTTP_START_LINE,
    RP_HTTP_HEADERS,
    RP_HTTP_BODY_SIZED,       /**< a body whose length is given by Content-Length */
    RP_HTTP_BODY_UNTIL_CLOSE, /**< a response's body that ends when the peer closes */
    RP_HTTP_CHUNK_SIZE,
    RP_HTTP_CHUNK_DATA,
    RP_HTTP_CHUNK_END, /**< the line end after a chunk's data */
    RP_HTTP_TRAILERS,
    RP_HTTP_DONE,  /**< the message is complete */
    RP_HTTP_FAILED /**< the message is malformed or exceeds a limit, see `error` */
};

/** The kind of message that is parsed. */
enum rp_http_role { RP_HTTP_REQUEST, RP_HTTP_RESPONSE };

/** A parser and the message that it has parsed so far. The line buffer is allocated for each
 * message and not for each connection: a node has a connection to each of thousands of workers, and
 * nearly all of them are idle. */
struct rp_http_parser {
    enum rp_http_state state;
    enum rp_http_role role;
    size_t max_body_bytes;
    int error; /**< HTTP status that describes the failure: 400, 413, 414, 431, 501, 503, 505 */

    char *line; /**< RP_HTTP_LINE_MAX bytes while a message is being parsed, else NULL */
    size_t line_len;
    size_t header_bytes; /**< bytes of all lines so far, except those of chunk sizes and ends */
    bool has_length;     /**< the message has a Content-Length header */
    bool is_chunked;     /**< the message has the header Transfer-Encoding: chunked */

    char method[RP_HTTP_METHOD_MAX];
    char *target;          /**< target of a request whose start line has been parsed, else NULL */
    int status;            /**< status of a response */
    int minor_version;     /**< minor version of the message: the x of HTTP/1.x */
    bool should_close;     /**< the connection is to be closed after this message */
    int retry_after;       /**< Retry-After in seconds, 0 when absent */
    bool expects_continue; /**< the request has the header Expect: 100-continue */

    size_t bytes_left; /**< bytes of the body or the chunk that have not been received */
    char *body;        /**< NUL-terminated; NULL when there is none */
    size_t body_len, body_capacity;
};

/** Initializes a parser for the messages of one connection. A message whose body is longer than
 * `max_body_bytes` fails. The caller must free the parser. */
void rp_http_parser_init(struct rp_http_parser *parser, enum rp_http_role role,
                         size_t max_body_bytes);

/** Prepares the parser for the next message of the connection. */
void rp_http_parser_reset(struct rp_http_parser *parser);

/** Frees what the parser has allocated. */
void rp_http_parser_free(struct rp_http_parser *parser);

/** Parses bytes until the message is complete or has failed. Returns the number of bytes used;
 * the other bytes belong to the next message, and the caller must keep them. */
size_t rp_http_parser_feed(struct rp_http_parser *parser, const char *data, size_t len);

/** Handles the end of the connection: completes a message whose body has no length, and fails any
 * other message that is not complete. */
void rp_http_parser_eof(struct rp_http_parser *parser);

/** Whether no byte of a message has been received yet. */
bool rp_http_parser_is_idle(const struct rp_http_parser *parser);

/** The reason phrase of an HTTP status; "Unknown" for a status that nodes never send. */
const char *rp_http_reason(int status);

#endif
