/** @file
 * HTTP/1.1 messages, parsed as their bytes arrive, with strict limits. */
#ifndef RP_HTTP_PARSER_H
#define RP_HTTP_PARSER_H

#include <stdbool.h>
#include <stddef.h>

#define RP_HTTP_LINE_MAX 4096    /* start line, a header line, a chunk-size line */
#define RP_HTTP_HEADERS_MAX 8192 /* all header lines together */

enum rp_http_state {
    RP_HTTP_START_LINE,
    RP_HTTP_HEADERS,
    RP_HTTP_BODY_SIZED,
    RP_HTTP_BODY_UNTIL_CLOSE,
    RP_HTTP_CHUNK_SIZE,
    RP_HTTP_CHUNK_DATA,
    RP_HTTP_CHUNK_END,
    RP_HTTP_TRAILERS,
    RP_HTTP_DONE,
    RP_HTTP_FAILED
};

enum rp_http_role { RP_HTTP_REQUEST, RP_HTTP_RESPONSE };

/** The buffers for lines belong to a message, not to a connection: a node has a connection to each
 * of thousands of workers, and nearly all of them are idle. */
struct rp_http_parser {
    enum rp_http_state state;
    enum rp_http_role role;
    size_t body_max;
    int error; /* status that describes the failure: 400, 413, 414, 431, 501, 505 */

    char *line; /* RP_HTTP_LINE_MAX bytes while a message is being read, else NULL */
    size_t line_len;
    size_t header_bytes;
    bool has_length, chunked, has_host;

    char method[16];
    char *target; /* of a request whose start line has been read, else NULL */
    int status;
    int minor;       /* HTTP/1.minor */
    bool close;      /* the peer ends the connection after this message */
    int retry_after; /* seconds, 0 when absent */
    bool expect_continue;

    size_t left; /* bytes still missing of the body or the chunk */
    char *body;  /* NUL-terminated */
    size_t body_len, body_cap;
};

void rp_http_parser_init(struct rp_http_parser *parser, enum rp_http_role role, size_t body_max);
/** Makes the parser ready for the next message of the connection. */
void rp_http_parser_reset(struct rp_http_parser *parser);
void rp_http_parser_free(struct rp_http_parser *parser);
/** Takes bytes until the message is whole or has failed; returns how many it used. */
size_t rp_http_parser_feed(struct rp_http_parser *parser, const char *data, size_t len);
/** The connection has ended: a body without a length is whole now. */
void rp_http_parser_eof(struct rp_http_parser *parser);
/** True before the first byte of a message. */
bool rp_http_parser_idle(const struct rp_http_parser *parser);
const char *rp_http_reason(int status);

#endif
