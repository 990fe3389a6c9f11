/* The key-value store of PROTOCOL, "Controller nodes -> state service". */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "platform.h"

#define KEYS_MAX 8192
#define LEASES_MAX 256
#define WAITING_MAX 64
#define RPS 200.0
#define WRITE_RPS 20.0
#define VALUE_BYTES (8 * 1024)
#define TXN_OPS 8
#define LIST_ITEMS_MAX 1000

struct key {
    char *path;
    json_t *value;
    uint64_t revision, lease;
};

struct lease {
    uint64_t id;
    double ttl_s, expires_at;
};

struct waiting {
    struct rp_request *req;
    char prefix[200];
    uint64_t from;
    double until;
};

struct store {
    struct platform *platform;
    struct key keys[KEYS_MAX];
    size_t n_keys;
    struct lease leases[LEASES_MAX];
    size_t n_leases;
    uint64_t next_lease, revision;
    json_t *changes; /* all changes of this run, the oldest first */
    struct waiting waiting[WAITING_MAX];
    size_t n_waiting;
    double tokens, write_tokens, refilled_at;
};

struct store *store_new(struct platform *platform, uint64_t first_revision) {
    struct store *store = calloc(1, sizeof *store);
    store->platform = platform;
    store->revision = first_revision;
    store->next_lease = 1;
    store->changes = json_array();
    store->tokens = RPS;
    store->write_tokens = WRITE_RPS;
    return store;
}

uint64_t store_revision(const struct store *store) {
    return store->revision;
}

static void respond(struct rp_request *req, int status, json_t *body) {
    char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
    req->respond(req, status, text ? text : "{}", 0);
    free(text);
    json_decref(body);
}

static size_t position(const struct store *store, const char *path) {
    size_t low = 0;
    size_t high = store->n_keys;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (strcmp(store->keys[middle].path, path) < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

static struct key *find(struct store *store, const char *path) {
    size_t i = position(store, path);
    return i < store->n_keys && strcmp(store->keys[i].path, path) == 0 ? &store->keys[i] : NULL;
}

static struct lease *find_lease(struct store *store, uint64_t id) {
    for (size_t i = 0; i < store->n_leases; i++)
        if (store->leases[i].id == id)
            return &store->leases[i];
    return NULL;
}

const char *store_leader(struct store *store) {
    const struct key *key = find(store, "rp/main/leader");
    const char *name = key ? json_string_value(json_object_get(key->value, "node")) : NULL;
    return name ? name : "";
}

static void delete_key(struct store *store, struct key *key, uint64_t revision) {
    json_array_append_new(store->changes, json_pack("{s:s,s:I}", "delete", key->path, "key_rev",
                                                    (json_int_t)revision));
    free(key->path);
    json_decref(key->value);
    size_t i = (size_t)(key - store->keys);
    memmove(key, key + 1, (store->n_keys - i - 1) * sizeof *key);
    store->n_keys--;
}

static void put_key(struct store *store, const char *path, json_t *value, uint64_t lease,
                    uint64_t revision) {
    struct key *key = find(store, path);
    if (!key) {
        size_t i = position(store, path);
        if (store->n_keys == KEYS_MAX)
            platform_finish(store->platform, 2, "the store's stand-in is full");
        key = &store->keys[i];
        memmove(key + 1, key, (store->n_keys - i) * sizeof *key);
        store->n_keys++;
        *key = (struct key){.path = strdup(path)};
    }
    json_decref(key->value);
    key->value = json_incref(value);
    key->lease = lease;
    key->revision = revision;
    json_array_append_new(store->changes, json_pack("{s:s,s:O,s:I}", "write", path, "v", value,
                                                    "key_rev", (json_int_t)revision));
    if (strcmp(path, "rp/main/leader") == 0)
        platform_note(store->platform, "store: leader's key written, revision %" PRIu64 " %s",
                      revision, json_string_value(json_object_get(value, "node")));
}

static void end_lease(struct store *store, struct lease *lease) {
    uint64_t id = lease->id;
    bool has_keys = false;
    *lease = store->leases[--store->n_leases];
    for (size_t i = 0; i < store->n_keys; i++)
        has_keys |= store->keys[i].lease == id;
    if (!has_keys)
        return;
    store->revision++;
    for (size_t i = store->n_keys; i-- > 0;)
        if (store->keys[i].lease == id)
            delete_key(store, &store->keys[i], store->revision);
}

/* ---- watches ---- */

static json_t *changes_after(const struct store *store, const char *prefix, uint64_t from) {
    json_t *log = json_array();
    size_t n = json_array_size(store->changes);
    size_t first = n;
    while (first > 0 && (uint64_t)json_integer_value(json_object_get(
                            json_array_get(store->changes, first - 1), "key_rev")) > from)
        first--;
    for (; first < n; first++) {
        json_t *change = json_array_get(store->changes, first);
        const char *path = json_string_value(json_object_get(change, "write"));
        if (!path)
            path = json_string_value(json_object_get(change, "delete"));
        if (strncmp(path, prefix, strlen(prefix)) == 0)
            json_array_append(log, change);
    }
    return log;
}

static bool answer_watch(struct store *store, const struct waiting *watch, double now) {
    json_t *log = changes_after(store, watch->prefix, watch->from);
    if (json_array_size(log) == 0 && now < watch->until) {
        json_decref(log);
        return false;
    }
    respond(watch->req, 200,
            json_pack("{s:I,s:o}", "ledger_rev", (json_int_t)store->revision, "log", log));
    return true;
}

static void answer_watches(struct store *store, double now) {
    for (size_t i = store->n_waiting; i-- > 0;)
        if (answer_watch(store, &store->waiting[i], now))
            store->waiting[i] = store->waiting[--store->n_waiting];
}

/* ---- requests ---- */

/* The value of a parameter of the query; "" if it is missing. */
static void parameter(const char *target, const char *name, char *out, size_t size) {
    const char *at = strchr(target, '?');
    size_t len = strlen(name);
    out[0] = '\0';
    while (at) {
        at++;
        if (strncmp(at, name, len) == 0 && at[len] == '=') {
            size_t n = strcspn(at + len + 1, "&");
            snprintf(out, size, "%.*s", (int)n, at + len + 1);
            return;
        }
        at = strchr(at, '&');
    }
}

static json_t *row(const struct key *key) {
    json_t *value = json_pack("{s:s,s:O,s:I}", "path", key->path, "v", key->value, "key_rev",
                              (json_int_t)key->revision);
    if (key->lease)
        json_object_set_new(value, "lashing", json_integer((json_int_t)key->lease));
    return value;
}

static void get_key(struct store *store, struct rp_request *req, const char *path) {
    const struct key *key = find(store, path);
    if (key)
        respond(req, 200, row(key));
    else
        respond(req, 404, json_pack("{s:I}", "ledger_rev", (json_int_t)store->revision));
}

static void list_keys(struct store *store, struct rp_request *req) {
    char prefix[200];
    char from[200];
    char limit_text[32];
    parameter(req->target, "prefix", prefix, sizeof prefix);
    parameter(req->target, "from", from, sizeof from);
    parameter(req->target, "limit", limit_text, sizeof limit_text);
    size_t limit = strtoul(limit_text, NULL, 10);
    if (limit == 0 || limit > LIST_ITEMS_MAX)
        limit = LIST_ITEMS_MAX;
    json_t *rows = json_array();
    bool has_next = false;
    for (size_t i = 0; i < store->n_keys; i++) {
        const struct key *key = &store->keys[i];
        if (strncmp(key->path, prefix, strlen(prefix)) != 0 || strcmp(key->path, from) <= 0)
            continue;
        has_next = json_array_size(rows) == limit;
        if (has_next)
            break;
        json_array_append_new(rows, row(key));
    }
    respond(req, 200,
            json_pack("{s:o,s:b,s:I}", "rows", rows, "has_next", has_next, "ledger_rev",
                      (json_int_t)store->revision));
}

static void follow(struct store *store, struct rp_request *req, double now) {
    char from[32];
    char hold[32];
    struct waiting watch = {.req = req};
    parameter(req->target, "prefix", watch.prefix, sizeof watch.prefix);
    parameter(req->target, "from", from, sizeof from);
    parameter(req->target, "hold_ms", hold, sizeof hold);
    watch.from = strtoull(from, NULL, 10);
    watch.until = now + strtod(hold, NULL) / 1000;
    if (!answer_watch(store, &watch, now)) {
        if (store->n_waiting == WAITING_MAX)
            platform_finish(store->platform, 2, "too many watches");
        store->waiting[store->n_waiting++] = watch;
    }
}

/* The reason for which a transaction is malformed; NULL: it is well-formed. */
static const char *txn_error(struct store *store, const json_t *then) {
    size_t i;
    json_t *change;
    if (json_array_size(then) > TXN_OPS)
        return "too many changes";
    json_array_foreach(then, i, change) {
        json_t *value = json_object_get(change, "v");
        const json_t *lease = json_object_get(change, "lashing");
        if (value && json_dumpb(value, NULL, 0, JSON_COMPACT) > VALUE_BYTES)
            return "value too large";
        if (lease && !find_lease(store, (uint64_t)json_integer_value(lease)))
            return "no such lease";
    }
    return NULL;
}

static void transact(struct store *store, struct rp_request *req) {
    json_t *body = json_loadb(req->body, req->len, 0, NULL);
    json_t *when = json_object_get(body, "when");
    json_t *then = json_object_get(body, "then");
    json_t *failed = json_array();
    json_t *entry;
    size_t i;
    const char *error = body ? txn_error(store, then) : "not JSON";
    if (store->write_tokens < (double)json_array_size(then)) {
        respond(req, 429, NULL);
        goto out;
    }
    store->write_tokens -= (double)json_array_size(then);
    if (error) {
        respond(req, 400, json_pack("{s:s}", "error", error));
        goto out;
    }
    json_array_foreach(when, i, entry) {
        const char *path = json_string_value(json_object_get(entry, "path"));
        const struct key *key = find(store, path);
        if ((key ? key->revision : 0) !=
            (uint64_t)json_integer_value(json_object_get(entry, "key_rev")))
            json_array_append_new(failed, json_string(path));
    }
    if (json_array_size(failed) > 0) {
        respond(
            req, 409,
            json_pack("{s:O,s:I}", "failed", failed, "ledger_rev", (json_int_t)store->revision));
        goto out;
    }
    if (json_array_size(then) > 0)
        store->revision++;
    json_array_foreach(then, i, entry) {
        const char *written = json_string_value(json_object_get(entry, "write"));
        const char *deleted = json_string_value(json_object_get(entry, "delete"));
        if (written)
            put_key(store, written, json_object_get(entry, "v"),
                    (uint64_t)json_integer_value(json_object_get(entry, "lashing")),
                    store->revision);
        else if (deleted && find(store, deleted))
            delete_key(store, find(store, deleted), store->revision);
    }
    respond(req, 200, json_pack("{s:I}", "ledger_rev", (json_int_t)store->revision));
out:
    json_decref(failed);
    json_decref(body);
}

static void lease_request(struct store *store, struct rp_request *req, double now) {
    const char *id_text = strlen(req->target) > strlen("/leases/") ? req->target + 8 : "";
    struct lease *lease = find_lease(store, strtoull(id_text, NULL, 10));
    if (strcmp(req->method, "POST") == 0 && !*id_text) {
        json_t *body = json_loadb(req->body, req->len, 0, NULL);
        double ttl_s = json_number_value(json_object_get(body, "ttl_ms")) / 1000;
        json_decref(body);
        if (store->n_leases == LEASES_MAX)
            platform_finish(store->platform, 2, "too many leases");
        store->leases[store->n_leases++] =
            (struct lease){.id = store->next_lease, .ttl_s = ttl_s, .expires_at = now + ttl_s};
        respond(req, 200, json_pack("{s:I}", "lashing", (json_int_t)store->next_lease++));
    } else if (!lease) {
        respond(req, 404, NULL);
    } else if (strcmp(req->method, "DELETE") == 0) {
        end_lease(store, lease);
        respond(req, 200, NULL);
    } else {
        lease->expires_at = now + lease->ttl_s;
        respond(req, 200, json_pack("{s:I}", "lashing", (json_int_t)lease->id));
    }
}

static void refill(struct store *store, double now) {
    double since = now - store->refilled_at;
    store->refilled_at = now;
    store->tokens += since * RPS;
    store->write_tokens += since * WRITE_RPS;
    if (store->tokens > RPS)
        store->tokens = RPS;
    if (store->write_tokens > WRITE_RPS)
        store->write_tokens = WRITE_RPS;
}

void store_on_request(void *arg, struct rp_request *req) {
    struct platform *platform = arg;
    struct store *store = platform->store;
    double now = platform_now(platform);
    refill(store, now);
    store_step(store, now);
    if (store->tokens < 1) {
        respond(req, 429, NULL);
        return;
    }
    store->tokens--;
    if (strncmp(req->target, "/kv/", 4) == 0)
        get_key(store, req, req->target + 4);
    else if (strncmp(req->target, "/kv?", 4) == 0)
        list_keys(store, req);
    else if (strncmp(req->target, "/follow?", 8) == 0)
        follow(store, req, now);
    else if (strcmp(req->target, "/txn") == 0)
        transact(store, req);
    else if (strncmp(req->target, "/leases", 7) == 0)
        lease_request(store, req, now);
    else
        respond(req, 400, NULL);
    answer_watches(store, now);
}

void store_step(struct store *store, double now) {
    for (size_t i = store->n_leases; i-- > 0;)
        if (now > store->leases[i].expires_at)
            end_lease(store, &store->leases[i]);
    answer_watches(store, now);
}
