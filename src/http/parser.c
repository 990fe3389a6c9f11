#include "http/parser.h"

#include <ctype.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

void rp_http_parser_init(struct rp_http_parser *parser, enum rp_http_role role,
                         size_t max_body_bytes) {
    memset(parser, 0, sizeof *parser);
    parser->role = role;
    parser->max_body_bytes = max_body_bytes;
}

static void free_line(struct rp_http_parser *parser) {
    free(parser->line);
    parser->line = NULL;
    parser->line_len = 0;
}

void rp_http_parser_free(struct rp_http_parser *parser) {
    free_line(parser);
    free(parser->target);
    parser->target = NULL;
    free(parser->body);
    parser->body = NULL;
    parser->body_len = parser->body_capacity = 0;
}

void rp_http_parser_reset(struct rp_http_parser *parser) {
    rp_http_parser_free(parser);
    parser->state = RP_HTTP_START_LINE;
    parser->error = 0;
    parser->header_bytes = 0;
    parser->has_length = parser->is_chunked = false;
    parser->method[0] = '\0';
    parser->status = parser->minor_version = parser->retry_after = 0;
    parser->should_close = parser->expects_continue = false;
    parser->bytes_left = 0;
}

bool rp_http_parser_is_idle(const struct rp_http_parser *parser) {
    return parser->state == RP_HTTP_START_LINE && parser->line_len == 0;
}

/* The only function that changes the parser's state. */
static void set_state(struct rp_http_parser *parser, enum rp_http_state state) {
    parser->state = state;
    parser->line_len = 0;
    if (state == RP_HTTP_DONE || state == RP_HTTP_FAILED)
        free_line(parser);
}

static void fail(struct rp_http_parser *parser, int status) {
    parser->error = status;
    set_state(parser, RP_HTTP_FAILED);
}

static bool is_token_char(unsigned char byte) {
    return isalnum(byte) || (byte && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

static bool parse_version(struct rp_http_parser *parser, const char *text) {
    if (strncmp(text, "HTTP/", 5) != 0 || !isdigit((unsigned char)text[5]) || text[6] != '.' ||
        !isdigit((unsigned char)text[7]) || (text[8] != '\0' && text[8] != ' ')) {
        fail(parser, 400);
        return false;
    }
    if (text[5] != '1') {
        fail(parser, 505);
        return false;
    }
    parser->minor_version = text[7] - '0';
    parser->should_close = parser->minor_version == 0;
    return true;
}

static void parse_request_line(struct rp_http_parser *parser) {
    char *method_end = strchr(parser->line, ' ');
    char *target_end = method_end ? strchr(method_end + 1, ' ') : NULL;
    if (!target_end || strchr(target_end + 1, ' ')) {
        fail(parser, 400);
        return;
    }
    size_t method_len = (size_t)(method_end - parser->line);
    size_t target_len = (size_t)(target_end - method_end - 1);
    if (method_len == 0 || method_len >= sizeof parser->method || target_len == 0 ||
        method_end[1] != '/') {
        fail(parser, 400);
        return;
    }
    for (size_t i = 0; i < method_len; i++)
        if (!is_token_char((unsigned char)parser->line[i])) {
            fail(parser, 400);
            return;
        }
    for (size_t i = 0; i < target_len; i++)
        if ((unsigned char)method_end[1 + i] <= ' ' || method_end[1 + i] == 0x7f) {
            fail(parser, 400);
            return;
        }
    memcpy(parser->method, parser->line, method_len);
    parser->method[method_len] = '\0';
    parser->target = strndup(method_end + 1, target_len);
    if (!parser->target)
        fail(parser, 503);
    else if (parse_version(parser, target_end + 1))
        set_state(parser, RP_HTTP_HEADERS);
}

static void parse_status_line(struct rp_http_parser *parser) {
    const char *code = parser->line + 9;
    if (!parse_version(parser, parser->line))
        return;
    if (parser->line_len < 12 || parser->line[8] != ' ' || !isdigit((unsigned char)code[0]) ||
        !isdigit((unsigned char)code[1]) || !isdigit((unsigned char)code[2]) ||
        (code[3] != '\0' && code[3] != ' ')) {
        fail(parser, 400);
        return;
    }
    parser->status = (code[0] - '0') * 100 + (code[1] - '0') * 10 + (code[2] - '0');
    set_state(parser, RP_HTTP_HEADERS);
}

static bool parse_size(const char *text, int base, size_t *out) {
    size_t value = 0;
    if (!isxdigit((unsigned char)*text) || (base == 10 && !isdigit((unsigned char)*text)))
        return false;
    for (; isxdigit((unsigned char)*text); text++) {
        int digit =
            isdigit((unsigned char)*text) ? *text - '0' : tolower((unsigned char)*text) - 'a' + 10;
        if (digit >= base || value > (SIZE_MAX >> 8))
            return false;
        value = value * (size_t)base + (size_t)digit;
    }
    while (*text == ' ' || *text == '\t')
        text++;
    /* Chunk extensions are allowed and ignored. */
    if (*text != '\0' && !(base == 16 && *text == ';'))
        return false;
    *out = value;
    return true;
}

static void parse_content_length(struct rp_http_parser *parser, const char *value) {
    size_t length;
    /* Two different lengths, or a length together with chunked encoding, allow request smuggling
     * and are refused. */
    if (!parse_size(value, 10, &length) || parser->is_chunked ||
        (parser->has_length && parser->bytes_left != length)) {
        fail(parser, 400);
        return;
    }
    if (length > parser->max_body_bytes) {
        fail(parser, 413);
        return;
    }
    parser->has_length = true;
    parser->bytes_left = length;
}

static void parse_header_value(struct rp_http_parser *parser, const char *name, const char *value) {
    if (strcasecmp(name, "content-length") == 0) {
        parse_content_length(parser, value);
    } else if (strcasecmp(name, "transfer-encoding") == 0) {
        if (strcasecmp(value, "chunked") != 0)
            fail(parser, 501);
        else if (parser->has_length || parser->is_chunked)
            fail(parser, 400);
        else
            parser->is_chunked = true;
    } else if (strcasecmp(name, "connection") == 0) {
        if (strcasestr(value, "close"))
            parser->should_close = true;
        else if (strcasestr(value, "keep-alive"))
            parser->should_close = false;
    } else if (strcasecmp(name, "retry-after") == 0) {
        size_t seconds;
        if (parse_size(value, 10, &seconds) && seconds < 3600)
            parser->retry_after = (int)seconds;
    } else if (strcasecmp(name, "expect") == 0) {
        parser->expects_continue = strcasecmp(value, "100-continue") == 0;
    }
}

static void parse_header_line(struct rp_http_parser *parser) {
    char *colon = strchr(parser->line, ':');
    if (!colon || colon == parser->line) {
        fail(parser, 400);
        return;
    }
    for (const char *c = parser->line; c < colon; c++)
        if (!is_token_char((unsigned char)*c)) {
            fail(parser, 400);
            return;
        }
    *colon = '\0';
    char *value = colon + 1;
    while (*value == ' ' || *value == '\t')
        value++;
    char *end = parser->line + parser->line_len;
    while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
        *--end = '\0';
    parse_header_value(parser, parser->line, value);
    if (parser->state != RP_HTTP_FAILED)
        set_state(parser, RP_HTTP_HEADERS);
}

static void on_headers_end(struct rp_http_parser *parser) {
    if (parser->role == RP_HTTP_RESPONSE && parser->status / 100 == 1) {
        set_state(parser, RP_HTTP_START_LINE); /* interim response; the final one follows */
        return;
    }
    if (parser->role == RP_HTTP_RESPONSE && (parser->status == 204 || parser->status == 304))
        set_state(parser, RP_HTTP_DONE);
    else if (parser->is_chunked)
        set_state(parser, RP_HTTP_CHUNK_SIZE);
    else if (parser->has_length)
        set_state(parser, parser->bytes_left ? RP_HTTP_BODY_SIZED : RP_HTTP_DONE);
    else if (parser->role == RP_HTTP_RESPONSE) {
        parser->should_close = true;
        set_state(parser, RP_HTTP_BODY_UNTIL_CLOSE);
    } else
        set_state(parser, RP_HTTP_DONE);
}

static void parse_chunk_size(struct rp_http_parser *parser) {
    size_t size;
    if (!parse_size(parser->line, 16, &size)) {
        fail(parser, 400);
        return;
    }
    if (size > parser->max_body_bytes - parser->body_len) {
        fail(parser, 413);
        return;
    }
    parser->bytes_left = size;
    set_state(parser, size ? RP_HTTP_CHUNK_DATA : RP_HTTP_TRAILERS);
}

static void parse_line(struct rp_http_parser *parser) {
    parser->line[parser->line_len] = '\0';
    if (strlen(parser->line) != parser->line_len) {
        fail(parser, 400); /* the line contains a NUL byte */
        return;
    }
    switch (parser->state) {
    case RP_HTTP_START_LINE:
        if (parser->line_len == 0) { /* empty lines before a message are ignored (RFC 9112, 2.2) */
            free_line(parser);
            return;
        }
        if (parser->role == RP_HTTP_REQUEST)
            parse_request_line(parser);
        else
            parse_status_line(parser);
        break;
    case RP_HTTP_HEADERS:
        if (parser->line_len == 0)
            on_headers_end(parser);
        else
            parse_header_line(parser);
        break;
    case RP_HTTP_CHUNK_SIZE:
        parse_chunk_size(parser);
        break;
    case RP_HTTP_CHUNK_END:
        if (parser->line_len)
            fail(parser, 400);
        else
            set_state(parser, RP_HTTP_CHUNK_SIZE);
        break;
    default: /* RP_HTTP_TRAILERS */
        set_state(parser, parser->line_len ? RP_HTTP_TRAILERS : RP_HTTP_DONE);
        break;
    }
}

/* Appends bytes to the current line and parses it once its end has been received. Returns the
 * number of bytes used. */
static size_t feed_line_bytes(struct rp_http_parser *parser, const char *data, size_t len) {
    const char *newline = memchr(data, '\n', len);
    size_t used = newline ? (size_t)(newline - data) + 1 : len;
    size_t text_len = newline ? used - 1 : used;
    parser->header_bytes += used;
    if (parser->state != RP_HTTP_CHUNK_SIZE && parser->state != RP_HTTP_CHUNK_END &&
        parser->header_bytes > RP_HTTP_HEADERS_MAX) {
        fail(parser, 431);
        return used;
    }
    if (parser->line_len + text_len >= RP_HTTP_LINE_MAX) {
        fail(parser, parser->state == RP_HTTP_START_LINE ? 414 : 431);
        return used;
    }
    if (!parser->line && !(parser->line = malloc(RP_HTTP_LINE_MAX))) {
        fail(parser, 503);
        return used;
    }
    memcpy(parser->line + parser->line_len, data, text_len);
    parser->line_len += text_len;
    if (!newline)
        return used;
    if (parser->line_len > 0 && parser->line[parser->line_len - 1] == '\r')
        parser->line_len--;
    parse_line(parser);
    return used;
}

/* Makes the body's buffer large enough for `n_added` more bytes and a NUL. Fails the message and
 * returns false when memory is exhausted. */
static bool grow_body(struct rp_http_parser *parser, size_t n_added) {
    size_t required = parser->body_len + n_added + 1;
    if (required <= parser->body_capacity)
        return true;
    size_t capacity = parser->body_capacity * 2 > required ? parser->body_capacity * 2 : required;
    char *body = realloc(parser->body, capacity);
    if (!body) {
        fail(parser, 413);
        return false;
    }
    parser->body = body;
    parser->body_capacity = capacity;
    return true;
}

/* Appends bytes to the body, up to the end of the body or of the current chunk. Returns the number
 * of bytes used. */
static size_t feed_body_bytes(struct rp_http_parser *parser, const char *data, size_t len) {
    bool is_until_close = parser->state == RP_HTTP_BODY_UNTIL_CLOSE;
    size_t used = !is_until_close && len > parser->bytes_left ? parser->bytes_left : len;
    if (is_until_close && used > parser->max_body_bytes - parser->body_len) {
        fail(parser, 413);
        return len;
    }
    if (!grow_body(parser, used))
        return len;
    memcpy(parser->body + parser->body_len, data, used);
    parser->body_len += used;
    parser->body[parser->body_len] = '\0';
    if (is_until_close)
        return used;
    parser->bytes_left -= used;
    if (parser->bytes_left == 0)
        set_state(parser, parser->state == RP_HTTP_CHUNK_DATA ? RP_HTTP_CHUNK_END : RP_HTTP_DONE);
    return used;
}

size_t rp_http_parser_feed(struct rp_http_parser *parser, const char *data, size_t len) {
    size_t used = 0;
    while (used < len && parser->state != RP_HTTP_DONE && parser->state != RP_HTTP_FAILED) {
        bool is_in_body = parser->state == RP_HTTP_BODY_SIZED ||
                          parser->state == RP_HTTP_BODY_UNTIL_CLOSE ||
                          parser->state == RP_HTTP_CHUNK_DATA;
        used += is_in_body ? feed_body_bytes(parser, data + used, len - used)
                           : feed_line_bytes(parser, data + used, len - used);
    }
    return used;
}

void rp_http_parser_eof(struct rp_http_parser *parser) {
    if (parser->state == RP_HTTP_BODY_UNTIL_CLOSE)
        set_state(parser, RP_HTTP_DONE);
    else if (parser->state != RP_HTTP_DONE)
        fail(parser, 400);
}

const char *rp_http_reason(int status) {
    static const struct {
        int status;
        const char *text;
    } reasons[] = {{200, "OK"},
                   {201, "Created"},
                   {400, "Bad Request"},
                   {404, "Not Found"},
                   {405, "Method Not Allowed"},
                   {408, "Request Timeout"},
                   {409, "Conflict"},
                   {413, "Content Too Large"},
                   {414, "URI Too Long"},
                   {421, "Misdirected Request"},
                   {422, "Unprocessable Content"},
                   {429, "Too Many Requests"},
                   {431, "Request Header Fields Too Large"},
                   {500, "Internal Server Error"},
                   {501, "Not Implemented"},
                   {503, "Service Unavailable"},
                   {505, "HTTP Version Not Supported"}};
    for (size_t i = 0; i < sizeof reasons / sizeof reasons[0]; i++)
        if (reasons[i].status == status)
            return reasons[i].text;
    return "Unknown";
}
