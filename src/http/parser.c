#include "http/parser.h"

#include <ctype.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

void rp_http_parser_init(struct rp_http_parser *p, enum rp_http_role role, size_t body_max) {
    memset(p, 0, sizeof *p);
    p->role = role;
    p->body_max = body_max;
}

static void free_line(struct rp_http_parser *p) {
    free(p->line);
    p->line = NULL;
    p->line_len = 0;
}

void rp_http_parser_free(struct rp_http_parser *p) {
    free_line(p);
    free(p->target);
    p->target = NULL;
    free(p->body);
    p->body = NULL;
    p->body_len = p->body_cap = 0;
}

void rp_http_parser_reset(struct rp_http_parser *p) {
    rp_http_parser_free(p);
    p->state = RP_HTTP_START_LINE;
    p->error = 0;
    p->header_bytes = 0;
    p->has_length = p->chunked = p->has_host = false;
    p->method[0] = '\0';
    p->status = p->minor = p->retry_after = 0;
    p->close = p->expect_continue = false;
    p->left = 0;
}

bool rp_http_parser_idle(const struct rp_http_parser *p) {
    return p->state == RP_HTTP_START_LINE && p->line_len == 0;
}

/* The one place where the parser changes its state. */
static void set_state(struct rp_http_parser *p, enum rp_http_state state) {
    p->state = state;
    p->line_len = 0;
    if (state == RP_HTTP_DONE || state == RP_HTTP_FAILED)
        free_line(p);
}

static void fail(struct rp_http_parser *p, int status) {
    p->error = status;
    set_state(p, RP_HTTP_FAILED);
}

static bool is_token_char(unsigned char c) {
    return isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool parse_version(struct rp_http_parser *p, const char *text) {
    if (strncmp(text, "HTTP/", 5) != 0 || !isdigit((unsigned char)text[5]) || text[6] != '.' ||
        !isdigit((unsigned char)text[7]) || (text[8] != '\0' && text[8] != ' ')) {
        fail(p, 400);
        return false;
    }
    if (text[5] != '1') {
        fail(p, 505);
        return false;
    }
    p->minor = text[7] - '0';
    p->close = p->minor == 0;
    return true;
}

static void request_line(struct rp_http_parser *p) {
    char *method_end = strchr(p->line, ' ');
    char *target_end = method_end ? strchr(method_end + 1, ' ') : NULL;
    if (!target_end || strchr(target_end + 1, ' ')) {
        fail(p, 400);
        return;
    }
    size_t method_len = (size_t)(method_end - p->line);
    size_t target_len = (size_t)(target_end - method_end - 1);
    if (method_len == 0 || method_len >= sizeof p->method || target_len == 0 ||
        method_end[1] != '/') {
        fail(p, 400);
        return;
    }
    for (size_t i = 0; i < method_len; i++)
        if (!is_token_char((unsigned char)p->line[i])) {
            fail(p, 400);
            return;
        }
    for (size_t i = 0; i < target_len; i++)
        if ((unsigned char)method_end[1 + i] <= ' ' || method_end[1 + i] == 0x7f) {
            fail(p, 400);
            return;
        }
    memcpy(p->method, p->line, method_len);
    p->method[method_len] = '\0';
    p->target = strndup(method_end + 1, target_len);
    if (!p->target)
        fail(p, 503);
    else if (parse_version(p, target_end + 1))
        set_state(p, RP_HTTP_HEADERS);
}

static void status_line(struct rp_http_parser *p) {
    const char *code = p->line + 9;
    if (!parse_version(p, p->line))
        return;
    if (p->line_len < 12 || p->line[8] != ' ' || !isdigit((unsigned char)code[0]) ||
        !isdigit((unsigned char)code[1]) || !isdigit((unsigned char)code[2]) ||
        (code[3] != '\0' && code[3] != ' ')) {
        fail(p, 400);
        return;
    }
    p->status = (code[0] - '0') * 100 + (code[1] - '0') * 10 + (code[2] - '0');
    set_state(p, RP_HTTP_HEADERS);
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
    /* Extensions of a chunk are allowed and ignored. */
    if (*text != '\0' && !(base == 16 && *text == ';'))
        return false;
    *out = value;
    return true;
}

static void content_length(struct rp_http_parser *p, const char *value) {
    size_t length;
    /* Two lengths, or a length beside chunks, are how requests get smuggled: refused. */
    if (!parse_size(value, 10, &length) || p->chunked || (p->has_length && p->left != length)) {
        fail(p, 400);
        return;
    }
    if (length > p->body_max) {
        fail(p, 413);
        return;
    }
    p->has_length = true;
    p->left = length;
}

static void header_value(struct rp_http_parser *p, const char *name, const char *value) {
    if (strcasecmp(name, "content-length") == 0) {
        content_length(p, value);
    } else if (strcasecmp(name, "transfer-encoding") == 0) {
        if (strcasecmp(value, "chunked") != 0)
            fail(p, 501);
        else if (p->has_length || p->chunked)
            fail(p, 400);
        else
            p->chunked = true;
    } else if (strcasecmp(name, "connection") == 0) {
        if (strcasestr(value, "close"))
            p->close = true;
        else if (strcasestr(value, "keep-alive"))
            p->close = false;
    } else if (strcasecmp(name, "retry-after") == 0) {
        size_t seconds;
        if (parse_size(value, 10, &seconds) && seconds < 3600)
            p->retry_after = (int)seconds;
    } else if (strcasecmp(name, "expect") == 0) {
        p->expect_continue = strcasecmp(value, "100-continue") == 0;
    } else if (strcasecmp(name, "host") == 0) {
        p->has_host = true;
    }
}

static void header_line(struct rp_http_parser *p) {
    char *colon = strchr(p->line, ':');
    if (!colon || colon == p->line) {
        fail(p, 400);
        return;
    }
    for (const char *c = p->line; c < colon; c++)
        if (!is_token_char((unsigned char)*c)) {
            fail(p, 400);
            return;
        }
    *colon = '\0';
    char *value = colon + 1;
    while (*value == ' ' || *value == '\t')
        value++;
    char *end = p->line + p->line_len;
    while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
        *--end = '\0';
    header_value(p, p->line, value);
    if (p->state != RP_HTTP_FAILED)
        set_state(p, RP_HTTP_HEADERS);
}

static void headers_end(struct rp_http_parser *p) {
    if (p->role == RP_HTTP_RESPONSE && p->status / 100 == 1) {
        set_state(p, RP_HTTP_START_LINE); /* an interim answer: the real one follows */
        return;
    }
    if (p->role == RP_HTTP_RESPONSE && (p->status == 204 || p->status == 304))
        set_state(p, RP_HTTP_DONE);
    else if (p->chunked)
        set_state(p, RP_HTTP_CHUNK_SIZE);
    else if (p->has_length)
        set_state(p, p->left ? RP_HTTP_BODY_SIZED : RP_HTTP_DONE);
    else if (p->role == RP_HTTP_RESPONSE) {
        p->close = true;
        set_state(p, RP_HTTP_BODY_UNTIL_CLOSE);
    } else
        set_state(p, RP_HTTP_DONE);
}

static void chunk_size(struct rp_http_parser *p) {
    size_t size;
    if (!parse_size(p->line, 16, &size)) {
        fail(p, 400);
        return;
    }
    if (size > p->body_max - p->body_len) {
        fail(p, 413);
        return;
    }
    p->left = size;
    set_state(p, size ? RP_HTTP_CHUNK_DATA : RP_HTTP_TRAILERS);
}

static void whole_line(struct rp_http_parser *p) {
    p->line[p->line_len] = '\0';
    if (strlen(p->line) != p->line_len) {
        fail(p, 400); /* a NUL byte inside */
        return;
    }
    switch (p->state) {
    case RP_HTTP_START_LINE:
        if (p->line_len == 0) { /* tolerated before a message (RFC 9112, 2.2) */
            free_line(p);
            return;
        }
        if (p->role == RP_HTTP_REQUEST)
            request_line(p);
        else
            status_line(p);
        break;
    case RP_HTTP_HEADERS:
        if (p->line_len == 0)
            headers_end(p);
        else
            header_line(p);
        break;
    case RP_HTTP_CHUNK_SIZE:
        chunk_size(p);
        break;
    case RP_HTTP_CHUNK_END:
        if (p->line_len)
            fail(p, 400);
        else
            set_state(p, RP_HTTP_CHUNK_SIZE);
        break;
    default: /* RP_HTTP_TRAILERS */
        set_state(p, p->line_len ? RP_HTTP_TRAILERS : RP_HTTP_DONE);
        break;
    }
}

static size_t feed_line(struct rp_http_parser *p, const char *data, size_t len) {
    const char *newline = memchr(data, '\n', len);
    size_t used = newline ? (size_t)(newline - data) + 1 : len;
    size_t text = newline ? used - 1 : used;
    p->header_bytes += used;
    if (p->state != RP_HTTP_CHUNK_SIZE && p->state != RP_HTTP_CHUNK_END &&
        p->header_bytes > RP_HTTP_HEADERS_MAX) {
        fail(p, 431);
        return used;
    }
    if (p->line_len + text >= RP_HTTP_LINE_MAX) {
        fail(p, p->state == RP_HTTP_START_LINE ? 414 : 431);
        return used;
    }
    if (!p->line && !(p->line = malloc(RP_HTTP_LINE_MAX))) {
        fail(p, 503);
        return used;
    }
    memcpy(p->line + p->line_len, data, text);
    p->line_len += text;
    if (!newline)
        return used;
    if (p->line_len > 0 && p->line[p->line_len - 1] == '\r')
        p->line_len--;
    whole_line(p);
    return used;
}

static bool grow_body(struct rp_http_parser *p, size_t more) {
    size_t need = p->body_len + more + 1;
    if (need <= p->body_cap)
        return true;
    size_t cap = p->body_cap * 2 > need ? p->body_cap * 2 : need;
    char *body = realloc(p->body, cap);
    if (!body) {
        fail(p, 413);
        return false;
    }
    p->body = body;
    p->body_cap = cap;
    return true;
}

static size_t feed_body(struct rp_http_parser *p, const char *data, size_t len) {
    bool open_end = p->state == RP_HTTP_BODY_UNTIL_CLOSE;
    size_t take = !open_end && len > p->left ? p->left : len;
    if (open_end && take > p->body_max - p->body_len) {
        fail(p, 413);
        return len;
    }
    if (!grow_body(p, take))
        return len;
    memcpy(p->body + p->body_len, data, take);
    p->body_len += take;
    p->body[p->body_len] = '\0';
    if (open_end)
        return take;
    p->left -= take;
    if (p->left == 0)
        set_state(p, p->state == RP_HTTP_CHUNK_DATA ? RP_HTTP_CHUNK_END : RP_HTTP_DONE);
    return take;
}

size_t rp_http_parser_feed(struct rp_http_parser *p, const char *data, size_t len) {
    size_t used = 0;
    while (used < len && p->state != RP_HTTP_DONE && p->state != RP_HTTP_FAILED) {
        bool body = p->state == RP_HTTP_BODY_SIZED || p->state == RP_HTTP_BODY_UNTIL_CLOSE ||
                    p->state == RP_HTTP_CHUNK_DATA;
        used +=
            body ? feed_body(p, data + used, len - used) : feed_line(p, data + used, len - used);
    }
    return used;
}

void rp_http_parser_eof(struct rp_http_parser *p) {
    if (p->state == RP_HTTP_BODY_UNTIL_CLOSE)
        set_state(p, RP_HTTP_DONE);
    else if (p->state != RP_HTTP_DONE)
        fail(p, 400);
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
