/** @file
 * HTTP/1.1 messages, parsed as their bytes arrive, with strict limits (RFC 9112). Knows nothing of
 * sockets. Called by the server for requests and by the client for responses: one parser for each
 * connection, one message after the other. */
#ifndef RP_HTTP_PARSER_H
#define RP_HTTP_PARSER_H

#include <stdbool.h>
#include <stddef.h>

/** Bytes of a start line, a header line, or the line with a chunk's size, at most. */
#define RP_HTTP_LINE_MAX 4096
/** Bytes of all header lines together, at most. */
#define RP_HTTP_HEADERS_MAX 8192
/** Bytes of a request's method, with its NUL: more than any registered method has. */
#define RP_HTTP_METHOD_MAX 16

/** What the parser expects next. */
enum rp_http_state {
    RP_HTTP_START_LINE,
    RP_HTTP_HEADERS,
    RP_HTTP_BODY_SIZED,       /**< a body whose length was given */
    RP_HTTP_BODY_UNTIL_CLOSE, /**< a response's body that ends with the connection */
    RP_HTTP_CHUNK_SIZE,
    RP_HTTP_CHUNK_DATA,
    RP_HTTP_CHUNK_END, /**< the line end behind a chunk */
    RP_HTTP_TRAILERS,
    RP_HTTP_DONE,  /**< the message is complete */
    RP_HTTP_FAILED /**< the message is malformed or beyond a limit: see `error` */
};

/** Which kind of message is parsed. */
enum rp_http_role { RP_HTTP_REQUEST, RP_HTTP_RESPONSE };

/** A message, as far as it has been parsed. The buffers for lines belong to a message, not to a
 * connection: a node has a connection to each of thousands of workers, and nearly all are idle. */
struct rp_http_parser {
    enum rp_http_state state;
    enum rp_http_role role;
    size_t max_body_bytes;
    int error; /**< HTTP status that describes the failure: 400, 413, 414, 431, 501, 503, 505 */

    char *line; /**< RP_HTTP_LINE_MAX bytes while a message is being read, else NULL */
    size_t line_len;
    size_t header_bytes;
    bool has_length; /**< Content-Length was given */
    bool chunked;    /**< Transfer-Encoding: chunked was given */

    char method[RP_HTTP_METHOD_MAX];
    char *target;    /**< of a request whose start line has been read, else NULL */
    int status;      /**< of a response */
    int minor;       /**< HTTP/1.minor */
    bool close;      /**< the peer ends the connection after this message */
    int retry_after; /**< seconds, 0 when absent */
    bool expect_continue;

    size_t bytes_left; /**< still missing of the body or the chunk */
    char *body;        /**< NUL-terminated; NULL when there is none */
    size_t body_len, body_capacity;
};

/** Makes a parser for the messages of one connection. A body of more than `max_body_bytes` fails
 * its message. The caller must free the parser. */
void rp_http_parser_init(struct rp_http_parser *parser, enum rp_http_role role,
                         size_t max_body_bytes);

/** Makes the parser ready for the next message of the connection. */
void rp_http_parser_reset(struct rp_http_parser *parser);

/** Frees what the parser has allocated. */
void rp_http_parser_free(struct rp_http_parser *parser);

/** Takes bytes until the message is complete or has failed. Returns how many it used; the caller
 * must keep the others for the next message. */
size_t rp_http_parser_feed(struct rp_http_parser *parser, const char *data, size_t len);

/** Tells that the connection has ended: a body without a length is complete then, any other message
 * fails. */
void rp_http_parser_eof(struct rp_http_parser *parser);

/** Whether no byte of a message has come yet. */
bool rp_http_parser_is_idle(const struct rp_http_parser *parser);

/** The reason phrase of an HTTP status; "Unknown" for one that a node never sends. */
const char *rp_http_reason(int status);

#endif
